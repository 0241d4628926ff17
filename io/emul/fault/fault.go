// Package fault defines the faults that can be switched on in the stand-in of an
// upstream, and injects them into connections.
package fault

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/io/emul"
)

// Kind identifies a fault.
type Kind uint8

// The faults, ordered by the stage of a request at which they occur.
const (
	None Kind = iota
	// RefuseBeforeRun responds with 503 and "Run-Outcome: not-run".
	RefuseBeforeRun
	// CloseBeforeRead closes the connection without reading the body.
	CloseBeforeRead
	// HangBeforeFirstByte reads the request, and neither runs it nor responds.
	HangBeforeFirstByte
	// CloseAfterRead reads and runs the request, then closes the connection without a
	// response.
	CloseAfterRead
	// HangAfterRun reads and runs the request, and never responds.
	HangAfterRun
	// Reset reads and runs the request, sends Rule.Frames frames and resets the
	// connection.
	Reset
	// Garbage runs the request and responds with bytes that are not HTTP.
	Garbage
	// Oversize runs the request and responds with an oversized header or body.
	Oversize
	// WrongRequestID responds with a request ID that belongs to no request.
	WrongRequestID
	// CutAfterFrames closes the connection after Rule.Frames frames.
	CutAfterFrames
	// CleanEndWithoutDone ends the body cleanly after Rule.Frames frames, without
	// the end marker.
	CleanEndWithoutDone
	// DuplicateFrames sends each frame of an engine, or the response of a plain
	// service, twice.
	DuplicateFrames
	// Trickle sends one byte of the body per Rule.Interval.
	Trickle
	// Slow waits for Rule.Interval before each frame.
	Slow

	kindCount
)

var kindNames = [kindCount]string{
	"none", "refuse-before-run", "close-before-read", "hang-before-first-byte", "close-after-read", "hang-after-run",
	"reset", "garbage", "oversize", "wrong-request-id", "cut-after-frames", "clean-end-without-done",
	"duplicate-frames", "trickle", "slow",
}

// String returns the kebab-case name of the fault.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return kindNames[None]
}

// Kinds returns all faults except None, in order.
func Kinds() []Kind {
	list := make([]Kind, 0, kindCount-1)
	for k := None + 1; k < kindCount; k++ {
		list = append(list, k)
	}
	return list
}

// MarshalText returns the name that String returns.
func (k Kind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText parses the name of a fault. An unknown name is a NotValid error.
func (k *Kind) UnmarshalText(text []byte) error {
	index := slices.Index(kindNames[:], string(text))
	if index < 0 {
		return errors.NotValidf("fault %q", text)
	}
	*k = Kind(index)
	return nil
}

// Part is the part of a response that a fault affects. Empty means the body, and
// for WrongRequestID both parts.
type Part string

// The parts of a response.
const (
	Header Part = "header"
	Body   Part = "body"
)

// Rule is one fault that is switched on. Its zero value is no fault.
type Rule struct {
	Kind Kind
	// Count is the number of requests that the fault affects; 0 means all requests
	// until it is switched off.
	Count int
	// Frames is the number of whole frames that are sent before the fault.
	Frames int
	// Interval is the delay of Trickle and Slow; 0 means defaultInterval.
	Interval time.Duration
	// Part applies to Oversize and WrongRequestID only.
	Part Part
}

// defaultInterval is the delay of a rule that sets no interval.
const defaultInterval = 100 * time.Millisecond

type ruleJSON struct {
	Kind       Kind  `json:"kind"`
	Count      int   `json:"count,omitempty"`
	Frames     int   `json:"frames,omitempty"`
	IntervalMs int64 `json:"interval-ms,omitempty"`
	Part       Part  `json:"part,omitempty"`
}

// MarshalJSON encodes the rule, with the interval in milliseconds.
func (r Rule) MarshalJSON() ([]byte, error) {
	return json.Marshal(ruleJSON{r.Kind, r.Count, r.Frames, r.Interval.Milliseconds(), r.Part})
}

// UnmarshalJSON decodes and validates a rule that MarshalJSON encoded.
func (r *Rule) UnmarshalJSON(text []byte) error {
	var wire ruleJSON
	if err := json.Unmarshal(text, &wire); err != nil {
		return errors.Trace(err)
	}
	if wire.Count < 0 || wire.Frames < 0 || wire.IntervalMs < 0 {
		return errors.NotValidf("negative number in fault %s", wire.Kind)
	}
	if wire.Part != "" && wire.Part != Header && wire.Part != Body {
		return errors.NotValidf("part %q", wire.Part)
	}
	interval := time.Duration(wire.IntervalMs) * time.Millisecond
	*r = Rule{wire.Kind, wire.Count, wire.Frames, interval, wire.Part}
	return nil
}

// interval returns the interval of the rule, or the default.
func (r Rule) interval() time.Duration {
	if r.Interval > 0 {
		return r.Interval
	}
	return defaultInterval
}

// Set holds the faults of one upstream. Its zero value has none; it is safe for
// concurrent use.
type Set struct {
	mu sync.Mutex
	// rules apply in order: the first one is active until its count is used up.
	rules []Rule
	hits  [kindCount]int
}

// Replace replaces all rules. The hit counts are kept.
func (s *Set) Replace(rules ...Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = slices.Clone(rules)
}

// Next returns the rule for the next request, and counts the hit.
func (s *Set) Next() Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rules) == 0 {
		return Rule{}
	}
	rule := s.rules[0]
	s.hits[rule.Kind]++
	switch rule.Count {
	case 0:
	case 1:
		s.rules = s.rules[1:]
	default:
		s.rules[0].Count--
	}
	return rule
}

// Hits returns the number of requests that the fault affected.
func (s *Set) Hits(kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hits[kind]
}

// ServeHTTP serves /v1/faults: PUT {"faults":[…]} replaces the rules, DELETE
// removes them, and all methods return the remaining rules and the hits by kind.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Faults []Rule       `json:"faults"`
		Hits   map[Kind]int `json:"hits"`
	}
	switch r.Method {
	case http.MethodPut:
		if !emul.ReadJSON(w, r, &body) {
			return
		}
		s.Replace(body.Faults...)
	case http.MethodDelete:
		s.Replace()
	}
	s.mu.Lock()
	body.Faults = append([]Rule{}, s.rules...)
	body.Hits = map[Kind]int{}
	for kind, hits := range s.hits {
		if hits > 0 {
			body.Hits[Kind(kind)] = hits
		}
	}
	s.mu.Unlock()
	emul.WriteJSON(w, http.StatusOK, body)
}
