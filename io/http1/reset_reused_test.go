package http1

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
)

// TestResetOnReusedConn guards against a reset that counts as an end on a connection that was idle and
// watched before, with parts that arrive one by one.
func TestResetOnReusedConn(t *testing.T) {
	random := rand.New(rand.NewPCG(66, 7))
	type plan struct {
		parts int
		gap   time.Duration
		wait  time.Duration
		read  bool
	}
	plans := make(chan plan, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := r.Header.Get("Id")
					if id == "first" {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: first\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					p := <-plans
					if p.read {
						go func() { _, _ = io.Copy(io.Discard, r.Body) }()
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\n\r\n")
					for range p.parts {
						_, _ = io.WriteString(c, "data: a\n\n")
						time.Sleep(p.gap)
					}
					time.Sleep(p.wait)
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
			}()
		}
	}()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	client := NewClient(testCodec{}, clock.System{}, time.Second)
	client.WatchIdleConns(func(ident.Upstream, netip.AddrPort) {})
	whole := 0
	for range 300 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		if a, f := client.Send(ctx, &Attempt{RequestID: "first", Upstream: "u-1", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("x")}); f != nil {
			t.Fatal(f)
		} else {
			_, _ = io.ReadAll(a.Body)
			_ = a.Body.Close()
		}
		p := plan{parts: random.IntN(4) + 1, gap: time.Duration(random.IntN(300)) * time.Microsecond, wait: time.Duration(random.IntN(2000)) * time.Microsecond, read: random.IntN(2) == 0}
		plans <- p
		size := []int{0, 100, 15 << 10, 300 << 10, 4 << 20}[random.IntN(5)]
		a, f := client.Send(ctx, &Attempt{RequestID: "q", Upstream: "u-1", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size), EventStream: random.IntN(2) == 0})
		if f == nil {
			if text, err := io.ReadAll(a.Body); err == nil {
				whole++
				t.Logf("%+v, %d bytes: %q", p, size, text)
			}
			_ = a.Body.Close()
		}
		cancel()
	}
	if whole > 0 {
		t.Errorf("%d of 300 answers that were reset are whole", whole)
	}
}
