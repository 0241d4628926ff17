package engine

import (
	"container/heap"
	"slices"
	"sync/atomic"
)

// sequence is a request in the queue or in the batch.
type sequence struct {
	// priority is 0 to 9; 0 is scheduled first.
	priority int
	// order is the sequence's number in the order of arrival.
	order uint64
	// wanted is the number of tokens to generate.
	wanted int64
	// prefixes holds the hashes of the prompt's whole blocks.
	prefixes []uint64
	// prefill is the number of prompt tokens left to prefill.
	prefill int
	// decoding is set in the steps that generate a token for the sequence.
	decoding bool

	// generated is the number of tokens generated so far; it never exceeds wanted.
	generated atomic.Int64
	// started is closed when the sequence enters the batch.
	started chan struct{}
	// ready holds a signal if generated has grown since the last receive.
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

// generate adds generated tokens and signals ready.
func (s *sequence) generate(tokens int64) {
	s.generated.Add(tokens)
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// queue is a heap of the waiting sequences, by priority number, then by order of
// arrival.
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

// batch holds the state of continuous batching. It has no clock and no lock.
type batch struct {
	slots int
	// chunk is the maximum number of prompt tokens that one step prefills.
	chunk   int
	running []*sequence
	waiting queue
	// added counts the sequences added, and numbers them.
	added uint64
	// tokens counts the tokens generated for all sequences.
	tokens int64
}

// add appends a sequence to the queue.
func (b *batch) add(s *sequence) {
	b.added++
	s.order = b.added
	heap.Push(&b.waiting, s)
}

// remove removes a sequence from the queue or the batch, if it is in either.
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

// prefill divides the step's chunk among the prompts, in the order of the batch, and
// returns the number of tokens prefilled. Sequences whose prompt is complete decode
// in this step.
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

// finish ends a step: it generates one token for each decoding sequence, or all of
// its tokens if whole is set, and removes the completed sequences from the batch.
func (b *batch) finish(whole bool) {
	kept := b.running[:0]
	for _, s := range b.running {
		if s.decoding {
			tokens := int64(1)
			if whole {
				tokens = s.wanted - s.generated.Load()
			}
			b.tokens += tokens
			s.generate(tokens)
		}
		if s.generated.Load() < s.wanted {
			kept = append(kept, s)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
}
