package logs

import (
	"io"
	"sync/atomic"
	"time"
)

// queueLines is the number of lines that may wait for a slow output.
const queueLines = 4096

// AsyncWriter writes lines to an output in a goroutine of its own. Write never blocks:
// if the queue is full, the line is dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	// stopped is closed when the goroutine has ended.
	stopped chan struct{}
}

// NewAsyncWriter starts the goroutine that writes to an output.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{out: out, lines: make(chan []byte, queueLines), stopped: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line. It never fails.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// DroppedLines returns the number of dropped lines.
func (b *AsyncWriter) DroppedLines() int64 { return b.dropped.Load() }

// WrittenBytes returns the number of bytes written to the output.
func (b *AsyncWriter) WrittenBytes() int64 { return b.written.Load() }

func (b *AsyncWriter) run() {
	defer close(b.stopped)
	for line := range b.lines {
		if line == nil {
			return
		}
		n, err := b.out.Write(line)
		b.written.Add(int64(n))
		if err != nil {
			// The error can only be reported by the counter.
			b.dropped.Add(1)
		}
	}
}

// closeTimeout bounds the wait for an output that is not read.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, for closeTimeout at most. Lines written after it are
// dropped.
func (b *AsyncWriter) Close() {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case b.lines <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-b.stopped:
	case <-timeout.C:
	}
}
