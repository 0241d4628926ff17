// Package plain is a stand-in for a plain service replica: it answers any call
// and keeps a log of each run, so that a test sees what ran and how often.
package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

const (
	// DefaultSlots is the number of calls that are reported as the capacity.
	DefaultSlots = 64
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 8 << 20
)

// Settings of a service.
type Settings struct {
	ID ident.Upstream
	// WorkTime is how long a call runs.
	WorkTime time.Duration
	// Slots is reported by /v1/load; calls above it run all the same.
	Slots int
	// Clock is the machine's when nil. WorkTime takes the machine's time always.
	Clock clock.Clock
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	settings Settings
	faults   fault.Set
	runs     emul.RunLog
	running  atomic.Int64
	leaving  atomic.Bool
}

// New returns an idle service.
func New(settings Settings) *Service {
	if settings.Slots <= 0 {
		settings.Slots = DefaultSlots
	}
	if settings.Clock == nil {
		settings.Clock = clock.System{}
	}
	return &Service{settings: settings}
}

// Handler serves calls on every path but the control paths /v1/load, /v1/runs,
// /v1/faults and /v1/leaving.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/load", s.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/leaving", s.serveLeaving).Methods(http.MethodPut)
	router.Handle("/v1/runs", &s.runs).Methods(http.MethodGet)
	router.Handle("/v1/faults", &s.faults)
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return router
}

// Faults returns the set of faults, to be switched on and off.
func (s *Service) Faults() *fault.Set {
	return &s.faults
}

// Runs returns the log of what reached the service.
func (s *Service) Runs() *emul.RunLog {
	return &s.runs
}

// SetLeaving makes the service say that it is leaving, in /v1/load and in the
// header "Leaving: true" of its answers. It goes on taking work, so that its log
// shows what still comes.
func (s *Service) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
}

func (s *Service) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	if !emul.ReadJSON(w, r, &body) {
		return
	}
	s.SetLeaving(body.Leaving)
	emul.WriteJSON(w, http.StatusOK, body)
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	emul.WriteJSON(w, http.StatusOK, struct {
		ID      ident.Upstream `json:"id"`
		Running int64          `json:"running"`
		Waiting int            `json:"waiting"`
		Slots   int            `json:"slots"`
		Leaving bool           `json:"leaving"`
		AsOf    time.Time      `json:"as-of"`
	}{ID: s.settings.ID, Running: s.running.Load(), Slots: s.settings.Slots, Leaving: s.leaving.Load(), AsOf: s.settings.Clock.Now()})
}

// BodyHash returns the hash under which a body stands in the log and the answer.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	rule := s.faults.Next()
	if rule.InjectBeforeRead(w) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set("Run-Outcome", "not-run")
		http.Error(w, "body was cut off or is too large", http.StatusBadRequest)
		return
	}
	run := emul.Run{
		RequestID:      r.Header.Get("Request-Id"),
		State:          emul.Received,
		Time:           s.settings.Clock.Now(),
		Workspace:      emul.MarkedWorkspace(string(body)),
		Leaving:        s.leaving.Load(),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		BodyHash:       BodyHash(body),
	}
	run.Sequence = s.runs.Add(run)
	if rule.InjectBeforeRun(r.Context(), w) {
		return
	}
	s.work(r.Context(), run)
	if rule.InjectBeforeAnswer(r.Context(), w) || !rule.Pause(r.Context()) {
		return
	}
	s.answer(r.Context(), w, rule, run)
}

// work runs the call to its end, also when the caller has gone.
func (s *Service) work(ctx context.Context, run emul.Run) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.runs.SetState(run.Sequence, emul.Running, 0)
	if s.settings.WorkTime > 0 {
		time.Sleep(s.settings.WorkTime)
	}
	state := emul.Done
	if ctx.Err() != nil {
		state = emul.Cancelled
	}
	s.runs.SetState(run.Sequence, state, 0)
}

// Answer is the JSON body of an answer.
type Answer struct {
	ID        ident.Upstream `json:"id"`
	RequestID string         `json:"request-id"`
	// Run is the number of the run in the log.
	Run            uint64 `json:"run"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"key,omitempty"`
	BodyHash       string `json:"body-hash"`
}

// answer writes the answer with the faults that shape it.
func (s *Service) answer(ctx context.Context, w http.ResponseWriter, rule fault.Rule, run emul.Run) {
	body, _ := json.Marshal(Answer{ // a struct of strings and numbers always has a JSON form
		ID: s.settings.ID, RequestID: rule.BodyID(run.RequestID), Run: run.Sequence,
		Method: run.Method, Path: run.Path, IdempotencyKey: run.IdempotencyKey, BodyHash: run.BodyHash,
	})
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Request-Id", rule.HeaderID(run.RequestID))
	if run.Leaving {
		header.Set("Leaving", "true")
	}
	switch rule.Kind {
	case fault.DuplicateFrames:
		fault.AnswerTwice(w, header, body)
	case fault.CleanEndWithoutDone:
		rule.Write(ctx, w, body[:len(body)/2])
	case fault.CutAfterFrames, fault.Reset:
		header.Set("Content-Length", strconv.Itoa(len(body)))
		rule.Write(ctx, w, body[:len(body)/2])
		rule.AbortConn(w)
	default:
		header.Set("Content-Length", strconv.Itoa(len(body)))
		rule.Write(ctx, w, body)
	}
}
