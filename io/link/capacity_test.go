package link

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/wire"
)

// sink is a handler that counts notices.
type sink struct {
	Handler
	received atomic.Int64
}

// Notify counts one notice.
func (s *sink) Notify(Identity, *wire.Notice) { s.received.Add(1) }

// countingListener counts the bytes and the write calls of a listener's connections.
type countingListener struct {
	net.Listener
	bytes, writes *atomic.Int64
}

// Accept returns a connection whose reads and writes are counted.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c.bytes, c.writes}, err
}

type countingConn struct {
	net.Conn
	bytes, writes *atomic.Int64
}

// Read counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes and the call.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

const (
	// idleTime is the time of one measurement. It is longer than the keep-alive
	// interval.
	idleTime = 20 * time.Second
	// headerBytes is the size of the TCP and IP headers with the timestamp option.
	headerBytes = 52
)

// BenchmarkIdle measures the cost of idle links: the bytes and writes per second at the
// server's end, an estimate of the traffic with headers, and the memory of both ends.
func BenchmarkIdle(b *testing.B) {
	for _, links := range []int{1, 8, 25, 119} {
		b.Run("links="+strconv.Itoa(links), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, links)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureIdle(b *testing.B, links int) {
	var bytes, writes atomic.Int64
	address, _, stop := listen(b, &bytes, &writes)
	defer stop()
	before := memoryInUse()
	pools := make([]Pool, links)
	for i := range pools {
		pools[i].Self = identity(i + 2)
		defer pools[i].Close()
		if err := pools[i].Notify(context.Background(), address, notice(100)); err != nil {
			b.Fatal(err)
		}
	}
	held := memoryInUse() - before
	bytes.Store(0)
	writes.Store(0)
	time.Sleep(idleTime)
	seconds := idleTime.Seconds()
	b.ReportMetric(float64(bytes.Load())/seconds, "B/s")
	b.ReportMetric(float64(writes.Load())/seconds, "writes/s")
	// Each write is one segment, and both ends write equally often. Each segment may
	// be acknowledged by another one, so that there are 4 segments for each write of
	// one end.
	b.ReportMetric((float64(bytes.Load())+4*headerBytes*float64(writes.Load()))/seconds/float64(links), "B/s/link-with-headers")
	b.ReportMetric(float64(held)/float64(links), "B-held/link")
}

// BenchmarkNotify measures the time of both ends for sending and receiving one notice of
// the size of a heartbeat.
func BenchmarkNotify(b *testing.B) {
	for _, size := range []int{100, 400, 1600, 6400} {
		b.Run("payload="+strconv.Itoa(size), func(b *testing.B) {
			var bytes, writes atomic.Int64
			address, handler, stop := listen(b, &bytes, &writes)
			defer stop()
			pool := Pool{Self: identity(2)}
			defer pool.Close()
			n := notice(size)
			b.ReportAllocs()
			for sent := int64(1); b.Loop(); sent++ {
				if err := pool.Notify(context.Background(), address, n); err != nil {
					b.Fatal(err)
				}
				for handler.received.Load() < sent {
					runtime.Gosched()
				}
			}
		})
	}
}

func identity(start int) Identity {
	return Identity{Incarnation: ident.Incarnation{Instance: "entry-r00-001", Start: uint64(start)}, Zone: "zone", Region: "region"}
}

func notice(payload int) *wire.Notice {
	return &wire.Notice{Kind: &wire.Notice_Heartbeat{Heartbeat: &wire.Heartbeat{Incarnation: "entry-r00-001~1", Payload: make([]byte, payload)}}}
}

func listen(b *testing.B, bytes, writes *atomic.Int64) (netip.AddrPort, *sink, func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	handler := &sink{}
	server := Server{Self: identity(1), Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, countingListener{l, bytes, writes})
	}()
	stop := func() {
		cancel()
		<-done
	}
	return l.Addr().(*net.TCPAddr).AddrPort(), handler, stop
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
