package trial

import (
	"container/heap"
	"time"
)

// virtualClock runs functions at simulated times, in the order of these times and,
// where they are equal, in the order of insertion.
type virtualClock struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

type event struct {
	// atNanos is the Unix time in nanoseconds.
	atNanos  int64
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].atNanos == h[j].atNanos {
		return h[i].sequence < h[j].sequence
	}
	return h[i].atNanos < h[j].atNanos
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// after schedules a function to run once the given time has passed.
func (s *virtualClock) after(wait time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.events, event{atNanos: s.now.Add(max(0, wait)).UnixNano(), sequence: s.lastSequence, run: run})
}

// every schedules a function to run periodically, the first time after the offset.
func (s *virtualClock) every(offset, period time.Duration, run func()) {
	s.after(offset, func() {
		run()
		s.every(period, period, run)
	})
}

// runUntil runs all functions that are due up to a time.
func (s *virtualClock) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].atNanos <= end.UnixNano() {
		e := heap.Pop(&s.events).(event)
		s.now = time.Unix(0, e.atNanos)
		e.run()
	}
	s.now = end
}
