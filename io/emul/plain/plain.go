// Package plain is a stand-in for a replica of a plain service, for tests: it responds
// to any call and logs each run, so that a test can check which calls ran and how
// often.
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
	// DefaultSlots is the default capacity, in concurrent calls, that /v1/load reports.
	DefaultSlots = 64
	// maxBodyBytes is the maximum size of the body of a call.
	maxBodyBytes = 8 << 20
)

// Settings holds the identity, capacity and timing of a service.
type Settings struct {
	ID ident.Upstream
	// WorkTime is the duration of a call.
	WorkTime time.Duration
	// Slots is the capacity that /v1/load reports. It is not enforced.
	Slots int
	// Clock defaults to the system clock. WorkTime always uses the system clock.
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

// Handler serves calls on every path except the control paths /v1/load, /v1/runs,
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

// Faults returns the set of faults, by which a test switches them on and off.
func (s *Service) Faults() *fault.Set {
	return &s.faults
}

// Runs returns the log of the calls that the service received.
func (s *Service) Runs() *emul.RunLog {
	return &s.runs
}

// SetLeaving makes the service announce that it is leaving, in /v1/load and in the
// header "Leaving: true" of its responses. It still accepts calls, so that its log
// shows which ones are sent to it afterwards.
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

// BodyHash returns the hash of a body, as written to the log and the response.
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
	s.writeAnswer(r.Context(), w, rule, run)
}

// work runs the call to its end, even if the caller has disconnected.
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

// Answer is the JSON body of a response.
type Answer struct {
	ID        ident.Upstream `json:"id"`
	RequestID string         `json:"request-id"`
	// Run is the sequence number of the run in the log.
	Run            uint64 `json:"run"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"key,omitempty"`
	BodyHash       string `json:"body-hash"`
}

// writeAnswer writes the response, with the faults that change its content.
func (s *Service) writeAnswer(ctx context.Context, w http.ResponseWriter, rule fault.Rule, run emul.Run) {
	body, _ := json.Marshal(Answer{ // encoding a struct of strings and numbers cannot fail
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
