package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/clock"
)

// TestLongBodyReadLate guards against the loss of a connection to an upstream that lives and doesn't
// read the body of a request for longer than the user timeout. The kernel counts that time from the
// first probe of the closed window, although the upstream's kernel answers the probes.
func TestLongBodyReadLate(t *testing.T) {
	for _, size := range []int{200 << 10, longBodyBytes} {
		for name, early := range map[string]bool{"answer_after_body": false, "answer_before_body": true} {
			t.Run(fmt.Sprintf("%d_bytes/%s", size, name), func(t *testing.T) {
				t.Parallel()
				testLongBodyReadLate(t, size, early)
			})
		}
	}
}

func testLongBodyReadLate(t *testing.T, size int, early bool) {
	t.Helper()
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 5\r\n\r\n"
	start, rest := "", head+"whole"
	if early {
		start, rest = head+"wh", "ole"
	}
	read := make(chan int64, 1)
	u := startEarlyUpstream(t, start, func(c *net.TCPConn, body io.Reader) {
		time.Sleep(userTimeout + 6*time.Second)
		n, _ := io.Copy(io.Discard, body)
		read <- n
		_, _ = io.WriteString(c, strings.ReplaceAll(rest, "ID", "q"))
	})
	client := NewClient(testCodec{}, clock.System{}, time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	began := time.Now()
	answer, failure := client.Send(ctx, &Attempt{
		RequestID: "q", Upstream: "u-1", Address: u.address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size),
	})
	if failure != nil {
		t.Errorf("after %s: %v", time.Since(began), failure)
	} else {
		defer func() { _ = answer.Body.Close() }()
		if text, err := io.ReadAll(answer.Body); err != nil || string(text) != "whole" {
			t.Errorf("after %s: %q, error %v, fault %v", time.Since(began), text, err, answer.Fault())
		}
	}
	if n := <-read; n != int64(size) {
		t.Errorf("the upstream has read %d of %d bytes", n, size)
	}
}
