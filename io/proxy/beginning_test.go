package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/poison"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/metric"
)

// TestBeginning guards against an answer that acquits its request, or counts as running, before it has
// outlasted its beginning, and against one that never does.
func TestBeginning(t *testing.T) {
	now := clock.NewManual(time.Unix(1000, 0))
	p := &Proxy{Clock: now, Log: zerolog.Nop(), Metrics: metric.NewSet(), Poison: &poison.Detector{}}
	for _, c := range []struct {
		name   string
		events bool
		// before is the time from the head to the first event, and after the one from there to the
		// end of the upstream.
		before, after time.Duration
		want          poison.Progress
	}{
		{"no event", true, time.Minute, -1, poison.Waiting},
		{"first event", true, time.Second, 0, poison.JustBegun},
		{"just before its beginning is over", true, time.Second, beginningTime - time.Millisecond, poison.JustBegun},
		{"its beginning is over", true, time.Second, beginningTime, poison.Running},
		{"no stream, just after the head", false, beginningTime - time.Millisecond, -1, poison.Waiting},
		{"no stream, later", false, beginningTime, -1, poison.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, send := startAnswer(t, c.events)
			b := p.beginAnswer(&Call{}, answer)
			now.Advance(c.before)
			if c.after >= 0 {
				send("id: 1\ndata: a\n\n")
				if _, err := answer.Body.Read(make([]byte, 100)); err != nil {
					t.Fatal(err)
				}
				b.partArrived()
				now.Advance(c.after)
				b.partArrived()
			}
			if got := b.progress(); got != c.want || b.outlasted != (c.after >= beginningTime) {
				t.Errorf("progress %d, want %d; outlasted %v", got, c.want, b.outlasted)
			}
		})
	}
}

// startAnswer returns an answer of which the head has arrived, and a function that sends a part of it.
func startAnswer(t *testing.T, events bool) (*http1.Answer, func(part string)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conns := make(chan net.Conn, 1)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 1000\r\n\r\n")
			conns <- c
		}
	}()
	client := http1.NewClient(testUpstreamCodec{}, clock.System{}, time.Second)
	answer, failure := client.Send(t.Context(), &http1.Attempt{
		RequestID: "q", Upstream: "u", Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		Method: http.MethodGet, Target: "/", Host: "h", EventStream: events,
	})
	if failure != nil {
		t.Fatal(failure)
	}
	t.Cleanup(func() { _ = answer.Body.Close() })
	conn := <-conns
	t.Cleanup(func() { _ = conn.Close() })
	return answer, func(part string) { _, _ = io.WriteString(conn, part) }
}
