package intake

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// bufferBytes returns the sizes of the receive buffers of all connections.
func bufferBytes(t *testing.T, g *Gate) []int {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var sizes []int
	for c := range g.conns {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) {
			size, _ := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
			// The kernel counts twice what is asked for.
			sizes = append(sizes, size/2)
		}); err != nil {
			t.Fatal(err)
		}
	}
	return sizes
}

// TestReceiveBuffers guards against bytes of a crowd that the kernel holds without a bound, and against buffers
// that are small, and slow for long bodies, while there are few connections.
func TestReceiveBuffers(t *testing.T) {
	t.Parallel()
	const maxConns, few, many = 64, 8, 9
	g := &Gate{MaxConns: maxConns, UnreadBytes: 72 * 20_000}
	r := startRig(t, g, func(http.ResponseWriter, *http.Request) {})
	var callers []*caller
	dial := func(total int) {
		for len(callers) < total {
			callers = append(callers, r.dial())
		}
		until(t, "accepted", func() bool { return g.Conns() == total })
	}
	dial(few)
	for _, size := range bufferBytes(t, g) {
		if size <= 20_000 {
			t.Errorf("%d connections, a buffer of %d bytes", few, size)
		}
	}
	for _, total := range []int{many, maxConns} {
		dial(total)
		for _, size := range bufferBytes(t, g) {
			if size != 20_000 {
				t.Errorf("%d connections, a buffer of %d bytes", total, size)
			}
		}
	}
	for _, c := range callers[2:] {
		_ = c.Close()
	}
	until(t, "closed", func() bool { return g.Conns() == 2 })
	for _, size := range bufferBytes(t, g) {
		if size <= 20_000 {
			t.Errorf("2 connections, a buffer of %d bytes", size)
		}
	}
}

// TestGrownBuffer guards against a receive buffer that the kernel has made large for a long body, and that fills up while
// the request is at an upstream. That of a short body, and that of a long one while it arrives, are left to the kernel.
func TestGrownBuffer(t *testing.T) {
	t.Parallel()
	g := &Gate{MaxConns: 64, UnreadBytes: 72 * 20_000}
	var sizes [2]int
	r := startRig(t, g, func(w http.ResponseWriter, q *http.Request) {
		reading := StartBody(q, nil)
		sizes[0] = bufferBytes(t, g)[0]
		_, _ = io.Copy(io.Discard, q.Body)
		reading.End()
		sizes[1] = bufferBytes(t, g)[0]
	})
	c := r.dial()
	for _, size := range []int{1000, 4 * grownBytes} {
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		c.expect(http.StatusOK, "")
		if sizes[0] == largeBufferBytes {
			t.Errorf("body of %d bytes: its size is set while it arrives", size)
		}
		if grown := size > grownBytes; grown != (sizes[1] == largeBufferBytes) {
			t.Errorf("body of %d bytes: a buffer of %d bytes behind it", size, sizes[1])
		}
	}
}
