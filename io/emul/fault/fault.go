// Package fault holds the faults that an upstream stand-in can be told to show,
// and carries them out on a connection.
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

// Kind names one fault.
type Kind uint8

// The faults, in the order of the path of a request.
const (
	None Kind = iota
	// RefuseBeforeRun answers 503 with "Run-Outcome: not-run".
	RefuseBeforeRun
	// CloseBeforeRead closes the connection without reading the body.
	CloseBeforeRead
	// HangBeforeFirstByte reads the request and neither runs nor answers it.
	HangBeforeFirstByte
	// CloseAfterRead reads and runs the request, then closes without an answer.
	CloseAfterRead
	// HangAfterRun reads and runs the request, and never answers.
	HangAfterRun
	// Reset reads and runs the request, sends the set number of frames and resets
	// the connection.
	Reset
	// Garbage runs the request and answers with bytes that are not HTTP.
	Garbage
	// Oversize runs the request and answers with a header or body without end.
	Oversize
	// WrongRequestID answers with the request id of nobody.
	WrongRequestID
	// CutAfterFrames closes the connection after the set number of frames.
	CutAfterFrames
	// CleanEndWithoutDone ends the body cleanly after the set number of frames,
	// without the end marker.
	CleanEndWithoutDone
	// DuplicateFrames sends each frame, or a plain answer, twice.
	DuplicateFrames
	// Trickle sends one byte of the body per interval.
	Trickle
	// Slow waits for the interval before each frame.
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

// Kinds returns every fault but None, in order.
func Kinds() []Kind {
	list := make([]Kind, 0, kindCount-1)
	for k := None + 1; k < kindCount; k++ {
		list = append(list, k)
	}
	return list
}

// MarshalText gives the form of String.
func (k Kind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText reads what MarshalText writes; anything else is a NotValid error.
func (k *Kind) UnmarshalText(text []byte) error {
	index := slices.Index(kindNames[:], string(text))
	if index < 0 {
		return errors.NotValidf("fault %q", text)
	}
	*k = Kind(index)
	return nil
}

// Part says which part of an answer a fault strikes; empty means the body, and
// for WrongRequestID both.
type Part string

// The parts of an answer.
const (
	Header Part = "header"
	Body   Part = "body"
)

// Rule is one fault that is switched on. Its zero value is no fault.
type Rule struct {
	Kind Kind
	// Count is the number of requests that meet the fault; 0 means all until it is
	// switched off.
	Count int
	// Frames is the number of whole frames that go out before the fault.
	Frames int
	// Interval is the pause of Trickle and Slow; 0 means defaultInterval.
	Interval time.Duration
	// Part is read by Oversize and WrongRequestID.
	Part Part
}

// defaultInterval is the pause of a rule that sets none.
const defaultInterval = 100 * time.Millisecond

type wireRule struct {
	Kind       Kind  `json:"kind"`
	Count      int   `json:"count,omitempty"`
	Frames     int   `json:"frames,omitempty"`
	IntervalMs int64 `json:"interval-ms,omitempty"`
	Part       Part  `json:"part,omitempty"`
}

// MarshalJSON writes the interval in milliseconds.
func (r Rule) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireRule{r.Kind, r.Count, r.Frames, r.Interval.Milliseconds(), r.Part})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (r *Rule) UnmarshalJSON(text []byte) error {
	var wire wireRule
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

// pause returns the interval in force.
func (r Rule) pause() time.Duration {
	if r.Interval > 0 {
		return r.Interval
	}
	return defaultInterval
}

// Set holds the faults of one upstream. Its zero value has none; it is safe for
// concurrent use.
type Set struct {
	mu sync.Mutex
	// rules are met in order: the first one left strikes.
	rules []Rule
	hits  [kindCount]int
}

// Replace replaces all rules. The counts of hits stay.
func (s *Set) Replace(rules ...Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = slices.Clone(rules)
}

// Next returns the fault that the next request meets.
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

// Hits returns the number of requests that met the fault.
func (s *Set) Hits(kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hits[kind]
}

// ServeHTTP answers /v1/faults: PUT {"faults":[…]} replaces the rules, DELETE
// removes them, and all methods return the rules left and the hits by kind.
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
