package trial

import (
	"container/heap"
	"time"
)

// schedule is a virtual clock: the functions run in the order of their times, and
// of being added where these are the same.
type schedule struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	// at is in nanoseconds of the Unix time.
	at     int64
	number uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].number < h[j].number
	}
	return h[i].at < h[j].at
}

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// after runs a function once the time has passed.
func (s *schedule) after(wait time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(max(0, wait)).UnixNano(), number: s.count, run: run})
}

// every runs a function again and again, first after the offset.
func (s *schedule) every(offset, period time.Duration, run func()) {
	s.after(offset, func() {
		run()
		s.every(period, period, run)
	})
}

// until runs everything that is due up to a time.
func (s *schedule) until(end time.Time) {
	for len(s.events) > 0 && s.events[0].at <= end.UnixNano() {
		e := heap.Pop(&s.events).(event)
		s.now = time.Unix(0, e.at)
		e.run()
	}
	s.now = end
}
