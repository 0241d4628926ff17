package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/fleet"
)

// own reports whether an answer is the whole one that the engine must have given to
// this request.
func own(q *bench.Request, a *bench.Answer) bool {
	return string(a.Text) == strings.Join(engine.ExpectedTokens(a.RequestID, q.Prompt, q.MaxTokens), "")
}

// answers counts how requests ended.
type answers struct {
	mu         sync.Mutex
	whole      int
	failed     map[string]int
	violations []string
}

// send sends a completion as a caller that checks nothing itself, and checks an
// answer that the entry says is done.
func (n *answers) send(w *world, e *fleet.Entry, tokens int) {
	q := completion("everywhere", tokens)
	body, ended := w.trusting(e, q)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case ended != result.Done.String():
		n.failed[ended]++
	case body.text != expected(body.requestID, q):
		n.violations = append(n.violations, fmt.Sprintf("%s gave %s another answer: %q", e.Name, body.requestID, body.text))
	default:
		n.whole++
	}
}

// received is an answer as it came.
type received struct {
	requestID string
	// text is the whole body.
	text string
}

// expected returns the body that an engine gives in answer to a request.
func expected(requestID string, q *bench.Request) string {
	var b strings.Builder
	for i, text := range engine.ExpectedTokens(requestID, q.Prompt, q.MaxTokens) {
		fmt.Fprintf(&b, "data: {\"id\":%q,\"index\":%d,\"text\":%q}\n\n", requestID, i, text)
	}
	return b.String() + "data: [DONE]\n\n"
}

// trusting sends a completion and returns the answer with the outcome that the entry
// told after it, or how it failed.
func (w *world) trusting(e *fleet.Entry, q *bench.Request) (received, string) {
	body, _ := json.Marshal(struct {
		Model     ident.Model `json:"model"`
		Prompt    string      `json:"prompt"`
		MaxTokens int         `json:"max-tokens"`
	}{q.Model, q.Prompt, q.MaxTokens})
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+e.Caller.String()+"/v1/completions", bytes.NewReader(body))
	w.must(err)
	request.Header.Set("Workspace", string(q.Workspace))
	request.Header.Set("Request-Class", table.Quick.String())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return received{}, "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	r := received{requestID: response.Header.Get("Request-Id"), text: string(text)}
	switch {
	case response.StatusCode != http.StatusOK:
		return r, response.Header.Get("Run-Outcome") + " " + response.Header.Get("Run-Reason")
	case err != nil:
		return r, "cut off"
	default:
		return r, response.Trailer.Get("Run-Outcome")
	}
}

// TestWholeOwnAnswers lets engines break their answers in every way while requests
// go through their own region's entries and through those of the other region.
func TestWholeOwnAnswers(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries:     []string{"west-1", "west-2", "north-1"},
		engines:     []string{"north-1", "north-2", "north-3", "north-4"},
		engineFlags: []string{"-step-time", "5ms"},
	})
	faults := []string{
		`"kind":"cut-after-frames","frames":3`,
		`"kind":"clean-end-without-done","frames":3`,
		`"kind":"duplicate-frames"`,
		`"kind":"wrong-request-id"`,
		`"kind":"wrong-request-id","part":"body"`,
		`"kind":"wrong-request-id","part":"header"`,
		`"kind":"reset","frames":2`,
		`"kind":"garbage"`,
		`"kind":"oversize"`,
		`"kind":"oversize","part":"header"`,
		`"kind":"close-after-read"`,
		`"kind":"slow","interval-ms":5`,
	}
	// Three engines break at a time, and the fourth never does.
	for broken := range slices.Chunk(faults, 3) {
		w.breakEngines(broken)
	}
	w.freezeForwarding()
}

// breakEngines sets one fault at each of the first engines, and sends requests until
// each has struck.
func (w *world) breakEngines(faults []string) {
	w.t.Helper()
	n := &answers{failed: map[string]int{}}
	before := make([]int, len(faults))
	for i, f := range faults {
		before[i] = w.hits(w.Upstreams[i])
		w.must(w.Upstreams[i].SetFault(w.ctx, `{"faults":[{`+f+`}]}`))
	}
	w.until(func() error {
		w.sendAll(n)
		for i, f := range faults {
			if w.hits(w.Upstreams[i]) == before[i] {
				return fmt.Errorf("%s has not struck", f)
			}
		}
		return nil
	})
	for i := range faults {
		w.must(w.Upstreams[i].SetFault(w.ctx, `{"faults":[]}`))
	}
	for _, v := range n.violations {
		w.t.Errorf("%s: %s", faults, v)
	}
	w.t.Logf("%s: %d whole, failed: %v", faults, n.whole, n.failed)
}

// hits counts the requests that a fault of an upstream has struck.
func (w *world) hits(u *fleet.Upstream) int {
	w.t.Helper()
	var state struct {
		Hits map[string]int `json:"hits"`
	}
	w.must(w.client.GetJSON(w.ctx, u.Address, "/v1/faults", &state))
	sum := 0
	for _, count := range state.Hits {
		sum += count
	}
	return sum
}

func (w *world) sendAll(n *answers) {
	var sent sync.WaitGroup
	for _, e := range w.Entries {
		for range 4 {
			sent.Go(func() { n.send(w, e, 12) })
		}
	}
	sent.Wait()
}

// freezeForwarding stops the forwarding entry in the middle of answers until the
// other region takes it for gone, and lets it go on.
func (w *world) freezeForwarding() {
	w.t.Helper()
	n := &answers{failed: map[string]int{}}
	west, north := w.entry("west-1"), w.entry("north-1")
	var sent sync.WaitGroup
	w.until(func() error {
		s, err := w.status(north)
		if err != nil || s.InFlight >= 2 {
			return err
		}
		// Those that there is no room for are refused at once.
		for range 2 {
			sent.Go(func() { n.send(w, west, 1000) })
		}
		return fmt.Errorf("%d in flight", s.InFlight)
	})
	west.Freeze()
	w.untilUsable(w.entry("west-2"), west, false)
	west.Thaw()
	sent.Wait()
	for _, v := range n.violations {
		w.t.Error(v)
	}
	w.t.Logf("frozen in the middle: %d whole, failed: %v", n.whole, n.failed)
	w.settle()
	again := &answers{failed: map[string]int{}}
	w.until(func() error {
		again.send(w, west, 12)
		if again.whole == 0 {
			return fmt.Errorf("%v", again.failed)
		}
		return nil
	})
}
