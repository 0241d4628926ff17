package logs

import (
	"io"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that wait for an output that is slow.
const queueLines = 4096

// AsyncWriter passes lines on from a goroutine of its own. A writer never waits: lines
// that find the queue full are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	// done is closed when the goroutine has ended.
	done chan struct{}
}

// NewAsyncWriter starts passing lines on to an output.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one line.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// DroppedLines returns the number of lines that were dropped.
func (b *AsyncWriter) DroppedLines() int64 { return b.dropped.Load() }

// WrittenBytes returns the number of bytes that were passed on.
func (b *AsyncWriter) WrittenBytes() int64 { return b.written.Load() }

func (b *AsyncWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		if line == nil {
			return
		}
		n, err := b.out.Write(line)
		b.written.Add(int64(n))
		if err != nil {
			// There is nowhere left to tell of it but the counter.
			b.dropped.Add(1)
		}
	}
}

// closeTimeout bounds the wait for an output that nobody reads.
const closeTimeout = 200 * time.Millisecond

// Close passes on what waits, for closeTimeout at most. Lines that are written after it
// are dropped.
func (b *AsyncWriter) Close() {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case b.lines <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-b.done:
	case <-timeout.C:
	}
}
