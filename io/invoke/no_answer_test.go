package invoke_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/order"
	"arbutustrestle/core/result"
	"arbutustrestle/io/invoke"
)

// startTextUpstream starts an upstream that answers each request with a text and ends the connection.
func startTextUpstream(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestNoAnswer guards against bytes that break the grammar of an answer and reach a caller as one, or
// count as the load of an upstream or its consent to an order.
func TestNoAnswer(t *testing.T) {
	const (
		id    = "0123456789abcdef0123456789abcdef"
		sound = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 11\r\n\r\n{\"slots\":1}"
	)
	for name, c := range map[string]struct {
		text string
		good bool
	}{
		"sound":                          {sound, true},
		"blank in the length":            {strings.Replace(sound, "Length:", "Length :", 1), false},
		"blank in a name":                {strings.Replace(sound, "\r\n", "\r\nOdd Name: 1\r\n", 1), false},
		"control byte":                   {strings.Replace(sound, "\r\n", "\r\nOd\x01d: 1\r\n", 1), false},
		"status 000":                     {strings.Replace(sound, "200", "000", 1), false},
		"status 000, then 200":           {"HTTP/1.1 000 None\r\n\r\n" + sound, false},
		"status 600":                     {strings.Replace(sound, "200", "600", 1), false},
		"not-run in a head that is none": {strings.Replace(sound, "200 OK\r\n", "503 Full\r\nRun-Outcome: not-run\r\nOdd Name: 1\r\n", 1), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startTextUpstream(t, c.text)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			client := invoke.NewClient(time.Second, time.Second, maxAnswerBytes)
			defer client.Close()
			for _, repeatable := range []bool{false, true} {
				a := &invoke.Attempt{RequestID: id, Upstream: "u", Address: address, Method: http.MethodPost, Path: "/x", Repeatable: repeatable}
				var to sink
				_, failure := client.Do(ctx, a, &to)
				if (failure == nil) != c.good || !c.good && (failure.Outcome != result.Unknown || to.status != 0) {
					t.Errorf("status %d, %q, failure %v", to.status, to.body, failure)
				}
			}
			loads := invoke.NewLoadReader(clock.System{})
			defer loads.Close()
			if report, _, err := loads.Read(ctx, address); (err == nil) != c.good {
				t.Errorf("load %+v, error %v", report, err)
			}
			orders := invoke.NewOrderSender(clock.System{})
			defer orders.Close()
			got, err := orders.Send(ctx, address, order.Send{Upstream: "u", SendBy: time.Now().Add(time.Second)})
			if got.Accepted != c.good || !c.good && err == nil {
				t.Errorf("order %+v, error %v", got, err)
			}
		})
	}
}

// TestTwoIDs guards against an answer that names two requests and counts as that of the first, and against
// refusing one that names its request twice.
func TestTwoIDs(t *testing.T) {
	const (
		id   = "0123456789abcdef0123456789abcdef"
		line = "Request-Id: " + id + "\r\n"
	)
	for lines, good := range map[string]bool{line: true, line + line: true, line + "Request-Id: 0\r\n": false, line + "Request-Id:\r\nRequest-Id: 0\r\n": false, "Request-Id: 0\r\n" + line: false} {
		t.Run(lines, func(t *testing.T) {
			t.Parallel()
			address := startTextUpstream(t, "HTTP/1.1 200 OK\r\n"+lines+"Content-Length: 5\r\n\r\nwhole")
			client := invoke.NewClient(time.Second, time.Second, maxAnswerBytes)
			defer client.Close()
			var to sink
			_, failure := client.Do(t.Context(), &invoke.Attempt{RequestID: id, Upstream: "u", Address: address, Method: http.MethodPost, Path: "/x"}, &to)
			switch {
			case good && (failure != nil || string(to.body) != "whole"):
				t.Errorf("%q, %v", to.body, failure)
			case !good && (failure == nil || failure.Outcome != result.Unknown || failure.Reason != result.AnswerMismatch || to.status != 0):
				t.Errorf("status %d, %v", to.status, failure)
			}
		})
	}
}

// TestRedirect guards against an answer of another address that counts as that of an upstream: its load, or
// its consent to an order that it has sent elsewhere.
func TestRedirect(t *testing.T) {
	other := startTextUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"slots\":1}")
	for _, status := range []int{301, 302, 303, 307, 308} {
		address := startTextUpstream(t, fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/v1/load\r\nContent-Length: 0\r\n\r\n", status, other))
		loads := invoke.NewLoadReader(clock.System{})
		if report, _, err := loads.Read(t.Context(), address); err == nil {
			t.Errorf("status %d: load %+v", status, report)
		}
		loads.Close()
		orders := invoke.NewOrderSender(clock.System{})
		if got, err := orders.Send(t.Context(), address, order.Send{Upstream: "u", SendBy: time.Now().Add(time.Second)}); got.Accepted {
			t.Errorf("status %d: order %+v, error %v", status, got, err)
		}
		orders.Close()
	}
}

// TestRefusalOfOther guards against a refusal of another request, which comes late on a kept connection and counts
// as that of the present one, which may have run; and against a refusal that is none since it names its request
// or no one.
func TestRefusalOfOther(t *testing.T) {
	const (
		id   = "0123456789abcdef0123456789abcdef"
		line = "Request-Id: " + id + "\r\n"
	)
	for lines, notRun := range map[string]bool{line: true, line + line: true, "": true, "Request-Id: 0\r\n": false, line + "Request-Id: 0\r\n": false, "Request-Id:\r\n": false} {
		t.Run(lines, func(t *testing.T) {
			t.Parallel()
			address := startTextUpstream(t, "HTTP/1.1 503 Full\r\n"+lines+"Run-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			client := invoke.NewClient(time.Second, time.Second, maxAnswerBytes)
			defer client.Close()
			_, failure := client.Do(t.Context(), &invoke.Attempt{RequestID: id, Upstream: "u", Address: address, Method: http.MethodGet, Path: "/x", Repeatable: true}, &sink{})
			if failure == nil || (failure.Outcome == result.NotRun) != notRun || notRun != (failure.Reason == result.UpstreamRefused) {
				t.Errorf("%v", failure)
			}
		})
	}
}
