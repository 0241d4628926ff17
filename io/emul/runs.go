package emul

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RunState is the stage that a request has reached at an upstream.
type RunState string

// The states of a run. A Refused request was received and never ran.
const (
	Received  RunState = "received"
	Refused   RunState = "refused"
	Running   RunState = "running"
	Done      RunState = "done"
	Cancelled RunState = "cancelled"
)

// Run is the log entry of a request whose body an upstream has read.
type Run struct {
	// Sequence is the number of the run at its upstream, from 1 without gaps.
	Sequence  uint64    `json:"seq"`
	RequestID string    `json:"request-id"`
	State     RunState  `json:"state"`
	Time      time.Time `json:"time"`
	// Workspace is the workspace of the marker in the prompt or body.
	Workspace string `json:"workspace,omitempty"`
	// Leaving is set if the upstream had announced before that it is leaving.
	Leaving bool `json:"leaving,omitempty"`

	// The next fields are set by a plain service.
	Method         string `json:"method,omitempty"`
	Path           string `json:"path,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	BodyHash       string `json:"body-hash,omitempty"`

	// The next fields are set by an engine. Frames is the number of tokens written to
	// the caller.
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Priority int    `json:"priority,omitempty"`
	Frames   int    `json:"frames,omitempty"`
}

// Started reports whether any part of the request ran.
func (r Run) Started() bool {
	return r.State == Running || r.State == Done || r.State == Cancelled
}

// maxRuns is the maximum length of a log; the oldest runs are dropped.
const maxRuns = 1 << 16

// RunLog is the log of the requests that an upstream received. Its zero value is an
// empty log. It is safe for concurrent use.
type RunLog struct {
	mu sync.Mutex
	// runs holds the newest runs; run number n has the index (n-1) % maxRuns.
	runs []Run
	last uint64
}

// Add appends a run and returns its number.
func (l *RunLog) Add(run Run) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	run.Sequence = l.last
	if len(l.runs) < maxRuns {
		l.runs = append(l.runs, run)
	} else {
		*l.at(l.last) = run
	}
	return l.last
}

// SetState sets the state of a run and its number of frames.
func (l *RunLog) SetState(sequence uint64, state RunState, frames int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.at(sequence)
	if run.Sequence != sequence {
		return // already dropped
	}
	run.State = state
	run.Frames = frames
}

func (l *RunLog) at(sequence uint64) *Run {
	return &l.runs[(sequence-1)%maxRuns]
}

// Runs returns the runs numbered above after, in ascending order.
func (l *RunLog) Runs(after uint64) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.last - uint64(len(l.runs))
	list := []Run{}
	for n := max(after, oldest) + 1; n <= l.last; n++ {
		list = append(list, *l.at(n))
	}
	return list
}

// ServeHTTP serves GET /v1/runs?after=n.
func (l *RunLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	WriteJSON(w, http.StatusOK, struct {
		Runs []Run `json:"runs"`
	}{l.Runs(after)})
}
