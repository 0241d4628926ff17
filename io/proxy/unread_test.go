package proxy

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/unread"
)

// blockedSink is a caller who doesn't read until resumed is closed.
type blockedSink struct {
	resumed, aborted chan struct{}
}

func (*blockedSink) WriteHead(AnswerHead) error { return nil }

func (s *blockedSink) Write(p []byte) (int, error) {
	select {
	case <-s.resumed:
		return len(p), nil
	case <-s.aborted:
		return 0, errors.New("aborted")
	}
}

func (s *blockedSink) Abort() { close(s.aborted) }

// TestUnreadRelay guards against callers who don't read answers that another instance relays, which
// stay in the buffers of the link: each takes memory, and the one for which there is none is ended.
func TestUnreadRelay(t *testing.T) {
	budget, waiting := &memory.Budget{Limit: link.MaxBufferBytes}, &unread.Writes{}
	first := &blockedSink{resumed: make(chan struct{}), aborted: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		_, err := (&relaySink{Sink: first, budget: budget, unread: waiting, clock: clock.System{}}).Write([]byte("x"))
		done <- err
	}()
	for began := time.Now(); budget.Used() != link.MaxBufferBytes; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d bytes held", budget.Used())
		}
	}
	second := &blockedSink{resumed: make(chan struct{}), aborted: make(chan struct{})}
	if _, err := (&relaySink{Sink: second, budget: budget, unread: waiting, clock: clock.System{}}).Write([]byte("x")); !errors.Is(err, http1.ErrNoMemory) {
		t.Errorf("error %v", err)
	}
	close(first.resumed)
	if err := <-done; err != nil {
		t.Errorf("a caller who reads again: %v", err)
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes never given back", budget.Used())
	}
}

// TestUnreadRelayGivesWay guards against callers who have read nothing for a long time and keep the memory, so that
// another caller who pauses for a moment loses its answer.
func TestUnreadRelayGivesWay(t *testing.T) {
	now := clock.NewManual(time.Unix(1000, 0))
	waiting := &unread.Writes{}
	budget := &memory.Budget{Limit: 2 * link.MaxBufferBytes, MakeRoom: func(needed, _ int64) bool { return waiting.MakeRoom(now.Now(), needed) }}
	waitUsed := func(bytes int64) {
		t.Helper()
		for began := time.Now(); budget.Used() != bytes; time.Sleep(time.Millisecond) {
			if time.Since(began) > 10*time.Second {
				t.Fatalf("%d bytes held", budget.Used())
			}
		}
	}
	var sinks []*blockedSink
	var ends []chan error
	begin := func() {
		sink := &blockedSink{resumed: make(chan struct{}), aborted: make(chan struct{})}
		end := make(chan error, 1)
		write := &relaySink{Sink: sink, budget: budget, unread: waiting, clock: now}
		go func() {
			_, err := write.Write([]byte("x"))
			end <- err
		}()
		sinks, ends = append(sinks, sink), append(ends, end)
	}
	begin()
	waitUsed(link.MaxBufferBytes)
	now.Advance(time.Second)
	begin()
	waitUsed(2 * link.MaxBufferBytes)
	now.Advance(yield.Patience - time.Second)
	begin()
	if err := <-ends[0]; !errors.Is(err, http1.ErrNoMemory) {
		t.Errorf("the first one: %v", err)
	}
	waitUsed(2 * link.MaxBufferBytes)
	for n, sink := range sinks[1:] {
		close(sink.resumed)
		if err := <-ends[n+1]; err != nil {
			t.Errorf("number %d: %v", n+1, err)
		}
	}
	waitUsed(0)
	if waiting.Len() != 0 {
		t.Errorf("%d writes are still known", waiting.Len())
	}
}
