package intake

import (
	"io"
	"net"
	"net/http"
	"testing"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/io/strict"
)

// BenchmarkRequests shows what a gate adds to a request on a kept connection.
func BenchmarkRequests(b *testing.B) {
	for _, gated := range []bool{false, true} {
		name := "plain"
		if gated {
			name = "gated"
		}
		b.Run(name, func(b *testing.B) {
			g := &Gate{Clock: clock.System{}, Memory: &memory.Budget{Limit: 46 << 20}, MaxConns: 3000}
			g.Start()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			address := l.Addr().String()
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
			server.ConnState, server.ConnContext = strict.ConnState, strict.ConnContext
			if gated {
				l = g.Listen(l)
				server.ConnContext = ConnContext
				server.ConnState = func(c net.Conn, state http.ConnState) {
					strict.ConnState(c, state)
					ConnState(c, state, strict.AtHead(c))
				}
			} else {
				server.ReadHeaderTimeout = defaultHeadTimeout
			}
			go func() { _ = server.Serve(strict.Listener{Listener: l}) }()
			defer func() { _ = server.Close() }()
			request := []byte("GET /e/1 HTTP/1.1\r\nHost: trips.example\r\nRequest-Id: 9c41d07be2a35f68\r\nRequest-Timeout: 10000ms\r\nModel: m\r\n\r\n")
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				buffer := make([]byte, 1<<10)
				for pb.Next() {
					if _, err := conn.Write(request); err != nil {
						b.Error(err)
						return
					}
					if _, err := conn.Read(buffer); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
