package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

const (
	// maxPromptBytes bounds the body of a request for a completion.
	maxPromptBytes = 8 << 20
	// maxTokens bounds an answer.
	maxTokens   = 1 << 16
	maxPriority = 9
)

// doneFrame ends a whole answer.
const doneFrame = "data: [DONE]\n\n"

// request is the body of /v1/completions.
type request struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
	Priority  int    `json:"priority"`
}

// name returns "model@version".
func (q request) name() string {
	return q.Model + "@" + q.Version
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	rule := e.faults.Next()
	if rule.InjectBeforeRead(w) {
		return
	}
	query, ok := readRequest(w, r)
	if !ok {
		return
	}
	id := r.Header.Get("Request-Id")
	leaving := e.isLeaving()
	run := e.runs.Add(emul.Run{
		RequestID: id, State: emul.Received, Time: e.settings.Clock.Now(), Leaving: leaving,
		Workspace: emul.MarkedWorkspace(query.Prompt), Model: query.Model, Version: query.Version, Priority: query.Priority,
	})
	if rule.InjectBeforeRun(r.Context(), w) {
		return
	}
	w.Header().Set("Request-Id", rule.HeaderID(id))
	if leaving {
		w.Header().Set("Leaving", "true")
	}
	if !e.serves(query.name()) {
		e.runs.SetState(run, emul.Refused, 0)
		refuse(w, http.StatusServiceUnavailable, "model is not loaded")
		return
	}
	s := newSequence(query.Priority, promptTokens(query.Prompt), query.MaxTokens)
	if !e.submit(s, PrefixHashes(query.name(), query.Prompt)) {
		e.runs.SetState(run, emul.Refused, 0)
		refuse(w, http.StatusTooManyRequests, "queue is full")
		return
	}
	defer e.cancel(s)
	a := newAnswer(w, rule, id, textSeed(id, query.Prompt))
	state := e.stream(r.Context(), s, a, run)
	e.runs.SetState(run, state, a.frames)
}

// readRequest reads and checks the body; on failure it has answered.
func readRequest(w http.ResponseWriter, r *http.Request) (request, bool) {
	var query request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err := decoder.Decode(&query); err != nil {
		refuse(w, http.StatusBadRequest, "body is not a request: "+err.Error())
		return query, false
	}
	if query.MaxTokens <= 0 {
		query.MaxTokens = DefaultMaxTokens
	}
	if query.MaxTokens > maxTokens || query.Priority < 0 || query.Priority > maxPriority {
		refuse(w, http.StatusBadRequest, fmt.Sprintf("max-tokens is above %d or priority is not 0 to %d", maxTokens, maxPriority))
		return query, false
	}
	return query, true
}

// refuse answers a request that does not run.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Run-Outcome", "not-run")
	if status != http.StatusBadRequest {
		w.Header().Set("Retry-After", "1")
	}
	http.Error(w, message, status)
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// loadHeader returns the value of the Engine-Load header.
func (e *Engine) loadHeader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("running=%d waiting=%d slots=%d", len(e.batch.running), len(e.batch.waiting), e.settings.Slots)
}

// stream writes the tokens as they are generated and returns how the run ended.
func (e *Engine) stream(ctx context.Context, s *sequence, a *answer, run uint64) emul.RunState {
	select {
	case <-s.started:
	case <-ctx.Done():
		return emul.Received
	}
	e.runs.SetState(run, emul.Running, 0)
	for sent := int64(0); sent < s.wanted; {
		select {
		case <-s.ready:
		case <-ctx.Done():
			return emul.Cancelled
		}
		granted := s.granted.Load()
		if sent == 0 {
			if a.rule.InjectBeforeAnswer(ctx, a.w) {
				return emul.Done
			}
			a.begin(e.loadHeader())
		}
		for ; sent < granted; sent++ {
			if !a.token(ctx, int(sent)) {
				return emul.Cancelled
			}
		}
	}
	a.end(ctx)
	return emul.Done
}

// answer writes the frames of one answer, with its fault.
type answer struct {
	w    http.ResponseWriter
	rule fault.Rule
	seed uint64
	// start is the part of a frame before its index.
	start  []byte
	buffer []byte
	// frames counts the whole frames written.
	frames int
}

func newAnswer(w http.ResponseWriter, rule fault.Rule, id string, seed uint64) *answer {
	quoted, _ := json.Marshal(rule.BodyID(id)) // a string always has a JSON form
	start := append([]byte(`data: {"id":`), quoted...)
	return &answer{w: w, rule: rule, seed: seed, start: append(start, `,"index":`...)}
}

// begin sets the header of the answer.
func (a *answer) begin(load string) {
	header := a.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Engine-Load", load)
}

// token writes one frame. It returns false when the answer is over before its
// end, by a fault or because the caller has gone.
func (a *answer) token(ctx context.Context, index int) bool {
	if a.broken() || !a.rule.Pause(ctx) {
		return false
	}
	a.buffer = append(a.buffer[:0], a.start...)
	a.buffer = strconv.AppendInt(a.buffer, int64(index), 10)
	a.buffer = append(a.buffer, `,"text":"`...)
	a.buffer = appendText(a.buffer, a.seed, index)
	a.buffer = append(a.buffer, "\"}\n\n"...)
	if a.rule.Kind == fault.DuplicateFrames {
		a.buffer = append(a.buffer, a.buffer...)
	}
	if !a.rule.Write(ctx, a.w, a.buffer) {
		return false
	}
	a.frames++
	return true
}

// broken ends the answer when its fault comes before the next frame.
func (a *answer) broken() bool {
	if a.frames < a.rule.Frames {
		return false
	}
	switch a.rule.Kind {
	case fault.CutAfterFrames, fault.Reset:
		a.w.(http.Flusher).Flush()
		a.rule.AbortConn(a.w)
	case fault.CleanEndWithoutDone:
	default:
		return false
	}
	return true
}

// end writes the end marker.
func (a *answer) end(ctx context.Context) {
	if a.broken() {
		return
	}
	a.rule.Write(ctx, a.w, []byte(doneFrame))
}
