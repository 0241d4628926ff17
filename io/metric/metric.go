// Package metric counts the events of an instance, with expvar.
package metric

import (
	"expvar"
	"net/http"

	"arbutustrestle/core/result"
)

// Set holds the counters of one instance. It is not published under expvar's global
// names, so that one process can hold several sets; ServeHTTP serves it.
type Set struct {
	root *expvar.Map

	// Requests counts finished requests by outcome.
	Requests *expvar.Map
	// Refusals counts requests that ended without a complete answer, by reason.
	Refusals *expvar.Map
	// Retries counts the attempts and forwards of a request after its first one, by the
	// reason for which the previous one failed.
	Retries *expvar.Map
	// Events counts other events by name, such as platform reads and link failures.
	Events *expvar.Map
	// InFlight is the number of requests in progress.
	InFlight *expvar.Int
}

// NewSet returns counters set to zero, one for each reason and outcome.
func NewSet() *Set {
	s := &Set{
		root:     new(expvar.Map),
		Requests: new(expvar.Map),
		Refusals: new(expvar.Map),
		Retries:  new(expvar.Map),
		Events:   new(expvar.Map),
		InFlight: new(expvar.Int),
	}
	s.root.Set("requests", s.Requests)
	s.root.Set("refusals", s.Refusals)
	s.root.Set("retries", s.Retries)
	s.root.Set("events", s.Events)
	s.root.Set("in-flight", s.InFlight)
	for _, r := range result.Reasons() {
		s.Refusals.Add(r.String(), 0)
		s.Retries.Add(r.String(), 0)
	}
	for _, o := range []result.Outcome{result.Done, result.NotRun, result.Unknown} {
		s.Requests.Add(o.String(), 0)
	}
	return s
}

// Func adds a value that is computed each time the counters are served.
func (s *Set) Func(name string, value func() any) {
	s.root.Set(name, expvar.Func(value))
}

// CountRequest counts one finished request; f is nil if it was answered completely.
func (s *Set) CountRequest(f *result.Failure) {
	if f == nil {
		s.Requests.Add(result.Done.String(), 1)
		return
	}
	s.Requests.Add(f.Outcome.String(), 1)
	s.Refusals.Add(f.Reason.String(), 1)
}

// CountRetry counts one further attempt after the failure f.
func (s *Set) CountRetry(f *result.Failure) {
	s.Retries.Add(f.Reason.String(), 1)
}

// ServeHTTP serves all counters as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.root.String()))
}
