package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestUnreadAnswer guards against callers who read nothing and hold a request, and what it holds at an
// upstream, for ever.
func TestUnreadAnswer(t *testing.T) {
	t.Parallel()
	c, _ := pair(t)
	c.writes.checkTime = 50 * time.Millisecond
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		done <- err
	}()
	select {
	case err := <-done:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("still writing")
	}
}

// TestSlowReader guards against an answer that is cut although its caller reads it, but so slowly that
// the kernel's buffer takes longer than the deadline to have room again.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	c, far := pair(t)
	_ = far.(*net.TCPConn).SetReadBuffer(64 << 10)
	c.writes.checkTime = 300 * time.Millisecond
	answer := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		if n, err := c.Write(answer); n != len(answer) || err != nil {
			t.Errorf("%d written, %v", n, err)
		}
		_ = c.Close()
	}()
	var got bytes.Buffer
	for range 200 {
		_, _ = io.CopyN(&got, far, 4<<10)
		time.Sleep(25 * time.Millisecond)
	}
	_, _ = io.Copy(&got, far)
	if !bytes.Equal(got.Bytes(), answer) {
		t.Errorf("%d bytes arrived of %d", got.Len(), len(answer))
	}
}

// TestAbortedWrite guards against a write that goes on although the server has ended it from another
// goroutine.
func TestAbortedWrite(t *testing.T) {
	t.Parallel()
	c, _ := pair(t)
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_ = c.SetWriteDeadline(past)
	select {
	case err := <-done:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("still writing")
	}
}
