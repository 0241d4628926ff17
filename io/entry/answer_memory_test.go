package entry

import (
	"errors"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
)

// TestKeptAnswerMemory guards against answers that are kept whole in memory which others hold, and against ones inside
// the limits that are cut off.
func TestKeptAnswerMemory(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		name string
		size int
		// free is the part of the budget that nobody holds.
		free int64
		want error
	}{
		{"empty", 0, 0, nil},
		{"small", 4 << 10, 0, nil},
		{"at_limit", limit, 3 * limit, nil},
		{"no_memory", limit, limit, invoke.ErrAnswerMemory},
		{"over_limit", limit + 1, 4 * limit, errTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := &memory.Budget{Limit: 1 << 20, Free: 4 << 10}
			budget.NewShare().Grow(budget.Limit - c.free + budget.Free)
			share := budget.NewShare()
			sink := &captureSink{limit: limit, memory: share}
			text := strings.Repeat("a", c.size)
			var err error
			for part := []byte(text); err == nil && len(part) > 0; {
				n := min(len(part), 1000)
				err = sink.Write(part[:n])
				part = part[n:]
			}
			if !errors.Is(err, c.want) || err == nil && string(sink.answer().Body) != text {
				t.Errorf("%d bytes, error %v; want %v", len(sink.body), err, c.want)
			}
			share.Release()
			if used := budget.Used(); used != budget.Limit-c.free {
				t.Errorf("%d bytes are still held", used-budget.Limit+c.free)
			}
		})
	}
}

// blockedSink is a caller who doesn't read until resumed is closed.
type blockedSink struct {
	invoke.Sink
	resumed, aborted chan struct{}
}

func newBlockedSink() *blockedSink {
	return &blockedSink{resumed: make(chan struct{}), aborted: make(chan struct{})}
}

func (s *blockedSink) Write([]byte) error {
	select {
	case <-s.resumed:
		return nil
	case <-s.aborted:
		return errors.New("aborted")
	}
}

func (s *blockedSink) Abort() { close(s.aborted) }

// TestUnreadForward guards against callers who don't read answers that another instance passes on, which stay in the
// buffers of the link: each takes memory, and the one for which there is none is ended. One who reads again gets
// the rest.
func TestUnreadForward(t *testing.T) {
	server := &Server{Clock: clock.System{}, AnswerMemory: &memory.Budget{Limit: link.MaxBufferBytes}}
	server.AnswerMemory.MakeRoom = server.EndUnread
	f := &forwarder{server: server}
	first, second := newBlockedSink(), newBlockedSink()
	done := make(chan error, 1)
	go func() { done <- f.writeRelayed(first, []byte("x")) }()
	for began := time.Now(); server.AnswerMemory.Used() != link.MaxBufferBytes; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d bytes held", server.AnswerMemory.Used())
		}
	}
	if err := f.writeRelayed(second, []byte("x")); !errors.Is(err, invoke.ErrAnswerMemory) {
		t.Errorf("without memory: %v", err)
	}
	close(first.resumed)
	if err := <-done; err != nil {
		t.Errorf("a caller who reads again: %v", err)
	}
	if used := server.AnswerMemory.Used(); used != 0 {
		t.Errorf("%d bytes are still held", used)
	}
}
