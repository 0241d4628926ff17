package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// echo answers each connection of the listener with the byte that it sends, until the listener is
// closed.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go func() {
			defer func() { _ = conn.Close() }()
			_, _ = io.CopyN(conn, conn, 1)
		}()
	}
}

// exchangeByte opens a connection, sends a byte and reads it back. It returns false once the port is
// closed to new connections.
func exchangeByte(address string) (open bool, err error) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("dial: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write([]byte("x")); err != nil {
		return true, err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return true, err
}

// TestStopListenerUnderLoad guards against connections that are reset since they were opened between
// the last look of a listener that stops and its close.
func TestStopListenerUnderLoad(t *testing.T) {
	for round := range 5 {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := &stopListener{TCPListener: inner.(*net.TCPListener)}
		var server, callers sync.WaitGroup
		server.Go(func() { echo(listener) })
		cut := make(chan error, 64)
		for range 32 {
			callers.Go(func() {
				for {
					open, err := exchangeByte(inner.Addr().String())
					if err != nil {
						cut <- err
					}
					if !open || err != nil {
						return
					}
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		if err := listener.stop(); err != nil {
			t.Logf("round %d: %v", round, err)
		}
		server.Wait()
		callers.Wait()
		close(cut)
		for err := range cut {
			t.Errorf("round %d: an opened connection got no answer: %v", round, err)
		}
	}
}

// TestStopListenerWaiting guards against connections that are reset since a listener that stops is
// closed while they wait to be accepted.
func TestStopListenerWaiting(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &stopListener{TCPListener: inner.(*net.TCPListener)}
	results := make(chan error, 8)
	for range cap(results) {
		go func() {
			_, err := exchangeByte(inner.Addr().String())
			results <- err
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if err := listener.stop(); err != nil {
		t.Log(err)
	}
	echo(listener)
	for range cap(results) {
		if err := <-results; err != nil {
			t.Errorf("a connection that waited got no answer: %v", err)
		}
	}
}
