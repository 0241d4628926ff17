package engine

import (
	"container/heap"
	"slices"
	"sync/atomic"
)

// sequence is one request in the queue or in the batch.
type sequence struct {
	// priority is 0 to 9; 0 goes first.
	priority int
	// order numbers the sequences as they came.
	order uint64
	// wanted is the number of tokens to generate.
	wanted int64
	// prefixes are the hashes of the prompt's whole blocks.
	prefixes []uint64
	// prefill is the number of prompt tokens that are still to be prefilled.
	prefill int
	// decoding is set in the steps in which the sequence gets a token.
	decoding bool

	// granted is the number of tokens generated so far; it never exceeds wanted.
	granted atomic.Int64
	// started is closed when the sequence enters the batch.
	started chan struct{}
	// ready holds a signal while granted has grown since it was last read.
	ready chan struct{}
}

func newSequence(priority, promptTokens, wanted int) *sequence {
	return &sequence{
		priority: priority,
		wanted:   int64(wanted),
		prefill:  promptTokens,
		started:  make(chan struct{}),
		ready:    make(chan struct{}, 1),
	}
}

// grant generates tokens and signals them.
func (s *sequence) grant(tokens int64) {
	s.granted.Add(tokens)
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// queue is a heap of the waiting sequences: lowest priority number first, then the
// order in which they came.
type queue []*sequence

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is called by package heap only.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop is called by package heap only.
func (q *queue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// batch is the state of continuous batching, without time or locks.
type batch struct {
	slots int
	// chunk is the most prompt tokens that one step prefills.
	chunk   int
	running []*sequence
	waiting queue
	// added numbers the sequences.
	added uint64
	// tokens counts all tokens generated.
	tokens int64
}

// add puts a sequence into the queue.
func (b *batch) add(s *sequence) {
	b.added++
	s.order = b.added
	heap.Push(&b.waiting, s)
}

// remove takes a sequence out of the queue or the batch, wherever it is.
func (b *batch) remove(s *sequence) {
	if i := slices.Index(b.running, s); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		return
	}
	if i := slices.Index(b.waiting, s); i >= 0 {
		heap.Remove(&b.waiting, i)
	}
}

// admit moves sequences from the queue into free slots and returns them.
func (b *batch) admit() []*sequence {
	first := len(b.running)
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*sequence)
		b.running = append(b.running, s)
		close(s.started)
	}
	return b.running[first:]
}

// prefill spends the step's chunk on the prompts, oldest first, and returns the
// number of tokens spent. Sequences whose prompt is whole decode in this step.
func (b *batch) prefill() int {
	left := b.chunk
	for _, s := range b.running {
		spent := min(left, s.prefill)
		s.prefill -= spent
		left -= spent
		s.decoding = s.prefill == 0
	}
	return b.chunk - left
}

// finish ends a step: each decoding sequence gets one token, or all of its tokens
// when whole is set; those that have all leave the batch.
func (b *batch) finish(whole bool) {
	kept := b.running[:0]
	for _, s := range b.running {
		if s.decoding {
			tokens := int64(1)
			if whole {
				tokens = s.wanted - s.granted.Load()
			}
			b.tokens += tokens
			s.grant(tokens)
		}
		if s.granted.Load() < s.wanted {
			kept = append(kept, s)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
}
