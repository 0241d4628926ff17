package invoke

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
)

const benchRequestID = "0123456789abcdef0123456789abcdef"

// frameBody is an event stream that returns one frame per read and ends after a
// given number of frames.
type frameBody struct {
	frames, next int
	frame        []byte
}

func (b *frameBody) Read(p []byte) (int, error) {
	if b.next > b.frames {
		return 0, io.EOF
	}
	b.frame = append(b.frame[:0], closingFrame...)
	if b.next < b.frames {
		b.frame = append(b.frame[:0], `data: {"id":"`+benchRequestID+`","index":`...)
		b.frame = strconv.AppendInt(b.frame, int64(b.next), 10)
		b.frame = append(b.frame, `,"text":"w3f09ab "}`...)
	}
	b.next++
	return copy(p, append(b.frame, frameEnd...)), nil
}

func (b *frameBody) Close() error {
	return nil
}

// discardSink discards the response.
type discardSink struct{}

func (discardSink) Begin(ResponseHead) error { return nil }
func (discardSink) Write([]byte) error       { return nil }

// BenchmarkReceive measures the time to check and forward one frame of a response,
// without the network.
func BenchmarkReceive(b *testing.B) {
	client := NewClient(0, 0, 1<<40)
	attempt := &Attempt{RequestID: benchRequestID, Streamed: true}
	b.ReportAllocs()
	const frames = 1000
	for b.Loop() {
		r := &runner{client: client, attempt: attempt, sink: discardSink{}, idle: client.IdleTimeout}
		r.cancel = func(error) {}
		if f := r.receive(context.Background(), &http.Response{Body: &frameBody{frames: frames}}); f != nil {
			b.Fatal(f)
		}
		if r.report.Frames != frames {
			b.Fatalf("%d frames", r.report.Frames)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/frames, "ns/frame")
}
