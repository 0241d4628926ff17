// Package metric counts what an instance does, with expvar.
package metric

import (
	"expvar"
	"net/http"

	"arbutustrestle/core/result"
)

// Set holds the counters of one instance. It is not published under expvar's
// global names, so that one process can hold many; Handler shows it.
type Set struct {
	root *expvar.Map

	// Requests counts ended requests by outcome.
	Requests *expvar.Map
	// Refusals counts requests that ended without a whole answer, by reason.
	Refusals *expvar.Map
	// Retries counts attempts and forwards after the first one of a request, by the
	// reason for which the one before failed.
	Retries *expvar.Map
	// Events counts the rest, such as platform reads and link failures, by name.
	Events *expvar.Map
	// InFlight is the number of requests being served now.
	InFlight *expvar.Int
}

// NewSet returns counters that all stand at zero, one for each reason.
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

// Func adds a value that is computed whenever it is shown.
func (s *Set) Func(name string, value func() any) {
	s.root.Set(name, expvar.Func(value))
}

// CountRequest counts one request; the failure is nil when it was answered in whole.
func (s *Set) CountRequest(f *result.Failure) {
	if f == nil {
		s.Requests.Add(result.Done.String(), 1)
		return
	}
	s.Requests.Add(f.Outcome.String(), 1)
	s.Refusals.Add(f.Reason.String(), 1)
}

// CountRetry counts one further attempt after a failed one.
func (s *Set) CountRetry(f *result.Failure) {
	s.Retries.Add(f.Reason.String(), 1)
}

// ServeHTTP shows all counters as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(s.root.String()))
}
