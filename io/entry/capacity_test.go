package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"

	"arbutustrestle/core/clock"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/invoke"
)

// headerBytes is the size of the TCP and IP headers, with the timestamp option.
const headerBytes = 52

// countedConn counts the bytes and writes of one end of a connection.
type countedConn struct {
	net.Conn
	bytes, writes *atomic.Int64
}

// Read counts the bytes.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes and the call.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

// countedListener counts the bytes and writes of its connections.
type countedListener struct {
	net.Listener
	bytes, writes *atomic.Int64
}

// Accept returns a connection that is counted.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes, l.writes}, err
}

// BenchmarkPoll measures the cost of reading the load of an upstream: time and allocations
// of both ends, bytes in both directions with the TCP and IP headers of request, response
// and acknowledgement, and the memory of the idle connections at both ends.
func BenchmarkPoll(b *testing.B) {
	for _, upstreams := range []int{1, 5, 20, 60} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			var bytes, writes atomic.Int64
			before := memoryInUse()
			addresses := make([]netip.AddrPort, upstreams)
			for i := range addresses {
				server := httptest.NewUnstartedServer(engine.New(engine.Settings{Slots: 16}).Handler())
				server.Listener = countedListener{server.Listener, &bytes, &writes}
				server.Start()
				defer server.Close()
				addresses[i] = server.Listener.Addr().(*net.TCPAddr).AddrPort()
			}
			reader := invoke.NewLoadReader(clock.System{})
			defer reader.Close()
			poll := func(i int) {
				if _, _, err := reader.Read(context.Background(), addresses[i%upstreams]); err != nil {
					b.Fatal(err)
				}
			}
			for i := range addresses {
				poll(i)
			}
			held := float64(memoryInUse()-before) / float64(upstreams)
			bytes.Store(0)
			writes.Store(0)
			b.ReportAllocs()
			count := 0
			for b.Loop() {
				poll(count)
				count++
			}
			total := float64(bytes.Load()) + headerBytes*float64(2*writes.Load()+int64(count))
			b.ReportMetric(total/float64(count), "B-with-headers")
			b.ReportMetric(held, "B-held")
		})
	}
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
