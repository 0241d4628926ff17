package proxy

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/memory"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
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
	budget := &memory.Budget{Limit: link.MaxBufferBytes}
	first := &blockedSink{resumed: make(chan struct{}), aborted: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		_, err := (&relaySink{Sink: first, budget: budget}).Write([]byte("x"))
		done <- err
	}()
	for began := time.Now(); budget.Used() != link.MaxBufferBytes; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d bytes held", budget.Used())
		}
	}
	second := &blockedSink{resumed: make(chan struct{}), aborted: make(chan struct{})}
	if _, err := (&relaySink{Sink: second, budget: budget}).Write([]byte("x")); !errors.Is(err, http1.ErrNoMemory) {
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
