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

// sink takes every notice.
type sink struct {
	Handler
	heard atomic.Int64
}

// Notify counts a notice.
func (s *sink) Notify(Identity, *wire.Notice) { s.heard.Add(1) }

// counted counts what a listener's connections read and write.
type counted struct {
	net.Listener
	bytes, writes *atomic.Int64
}

// Accept returns a connection that is counted.
func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countedConn{conn, c.bytes, c.writes}, err
}

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

const (
	// idleTime is several keep-alive intervals.
	idleTime = 20 * time.Second
	// headerBytes are those of TCP and IP, with the time option.
	headerBytes = 52
)

// BenchmarkIdle gives what links cost on which nothing is said: bytes a second of
// the server's end in both directions, with the headers of what it sends, and what
// both ends hold.
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
	before := inUse()
	pools := make([]Pool, links)
	for i := range pools {
		pools[i].Self = identity(i + 2)
		defer pools[i].Close()
		if err := pools[i].Notify(context.Background(), address, notice(100)); err != nil {
			b.Fatal(err)
		}
	}
	held := inUse() - before
	bytes.Store(0)
	writes.Store(0)
	time.Sleep(idleTime)
	seconds := idleTime.Seconds()
	b.ReportMetric(float64(bytes.Load())/seconds, "B/s")
	b.ReportMetric(float64(writes.Load())/seconds, "writes/s")
	// Each write of one end is a segment, and both ends write alike; each segment
	// may be acknowledged by one of its own.
	b.ReportMetric((float64(bytes.Load())+4*headerBytes*float64(writes.Load()))/seconds/float64(links), "B/s/link-with-headers")
	b.ReportMetric(float64(held)/float64(links), "B-held/link")
}

// BenchmarkNotify gives the time of both ends for one notice of the size of a
// heartbeat.
func BenchmarkNotify(b *testing.B) {
	for _, size := range []int{100, 400, 1600, 6400} {
		b.Run("payload="+strconv.Itoa(size), func(b *testing.B) {
			var bytes, writes atomic.Int64
			address, taken, stop := listen(b, &bytes, &writes)
			defer stop()
			pool := Pool{Self: identity(2)}
			defer pool.Close()
			n := notice(size)
			b.ReportAllocs()
			for sent := int64(1); b.Loop(); sent++ {
				if err := pool.Notify(context.Background(), address, n); err != nil {
					b.Fatal(err)
				}
				for taken.heard.Load() < sent {
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
	taken := &sink{}
	server := Server{Self: identity(1), Handler: taken}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, counted{l, bytes, writes})
	}()
	stop := func() {
		cancel()
		<-done
	}
	return l.Addr().(*net.TCPAddr).AddrPort(), taken, stop
}

func inUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
