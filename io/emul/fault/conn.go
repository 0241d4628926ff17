package fault

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/io/emul"
)

// maxOversizeBytes bounds an answer "without end".
const maxOversizeBytes = 1 << 30

// rawWriteTimeout bounds a write to a caller that does not read.
const rawWriteTimeout = 30 * time.Second

// foreignID is the request id that WrongRequestID puts in place of the right one.
const foreignID = "request-of-nobody"

// InjectBeforeRead carries out the faults that come before the body is read. It
// reports whether the request is over.
func (r Rule) InjectBeforeRead(w http.ResponseWriter) bool {
	switch r.Kind {
	case RefuseBeforeRun:
		w.Header().Set("Run-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return true
	case CloseBeforeRead:
		Close(w)
		return true
	default:
		return false
	}
}

// InjectBeforeRun carries out the faults between reading and running. It reports
// whether the request is over.
func (r Rule) InjectBeforeRun(ctx context.Context, w http.ResponseWriter) bool {
	if r.Kind != HangBeforeFirstByte {
		return false
	}
	hang(ctx, w)
	return true
}

// hang waits until the caller has gone or the stand-in stops, and closes.
func hang(ctx context.Context, w http.ResponseWriter) {
	select {
	case <-ctx.Done():
	case <-emul.Stopping(ctx):
	}
	Close(w)
}

// InjectBeforeAnswer carries out the faults that take the place of the whole answer to
// a request that has run. It reports whether the request is over.
func (r Rule) InjectBeforeAnswer(ctx context.Context, w http.ResponseWriter) bool {
	switch r.Kind {
	case CloseAfterRead:
		Close(w)
		return true
	case HangAfterRun:
		hang(ctx, w)
		return true
	case Reset:
		if r.Frames > 0 {
			return false
		}
		ResetConn(w)
		return true
	case Garbage:
		raw(w, bytes.Repeat([]byte{0x00, 0xff, '\r', '\n', 0x7f, 'x'}, 64))
		return true
	case Oversize:
		oversize(w, r.Part)
		return true
	default:
		return false
	}
}

// HeaderID returns the request id to answer with.
func (r Rule) HeaderID(id string) string {
	if r.Kind == WrongRequestID && r.Part != Body {
		return foreignID
	}
	return id
}

// BodyID returns the request id to put into the body.
func (r Rule) BodyID(id string) string {
	if r.Kind == WrongRequestID && r.Part != Header {
		return foreignID
	}
	return id
}

// Pause waits for the interval of Slow. It returns false when the context ended
// first.
func (r Rule) Pause(ctx context.Context) bool {
	if r.Kind != Slow {
		return true
	}
	return clock.Sleep(ctx, r.pause())
}

// Write sends the bytes and flushes, one by one under Trickle. It returns false
// when the caller has gone.
func (r Rule) Write(ctx context.Context, w http.ResponseWriter, body []byte) bool {
	flusher := w.(http.Flusher)
	if r.Kind != Trickle {
		_, err := w.Write(body)
		flusher.Flush()
		return err == nil
	}
	for i := range body {
		if _, err := w.Write(body[i : i+1]); err != nil {
			return false
		}
		flusher.Flush()
		if !clock.Sleep(ctx, r.pause()) {
			return false
		}
	}
	return true
}

// hijack takes the connection from the server, or returns nil.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(rawWriteTimeout))
	return conn
}

// Close closes the connection of a request; what was flushed is delivered.
func Close(w http.ResponseWriter) {
	if conn := hijack(w); conn != nil {
		_ = conn.Close()
	}
}

// ResetConn closes the connection of a request with a TCP reset.
func ResetConn(w http.ResponseWriter) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// raw writes the bytes to the connection as they are and closes it.
func raw(w http.ResponseWriter, body []byte) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	_, _ = conn.Write(body)
	_ = conn.Close()
}

// oversize writes a header or a body of maxOversizeBytes, or until the caller
// closes.
func oversize(w http.ResponseWriter, part Part) {
	conn := hijack(w)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	start := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "
	filler := bytes.Repeat([]byte("x"), 1<<14)
	if part == Header {
		start = "HTTP/1.1 200 OK\r\n"
		filler = bytes.Repeat([]byte("X-Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"), 256)
	}
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	for sent := 0; sent < maxOversizeBytes; sent += len(filler) {
		if _, err := conn.Write(filler); err != nil {
			return
		}
	}
}

// AbortConn ends the connection in the middle of an answer: with a TCP reset under
// Reset, else with a close.
func (r Rule) AbortConn(w http.ResponseWriter) {
	if r.Kind == Reset {
		ResetConn(w)
		return
	}
	Close(w)
}

// AnswerTwice writes a whole answer twice on the connection, so that the second
// one could be taken for the answer to the next request.
func AnswerTwice(w http.ResponseWriter, header http.Header, body []byte) {
	var once bytes.Buffer
	header.Set("Content-Length", strconv.Itoa(len(body)))
	once.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&once) // a buffer does not fail
	once.WriteString("\r\n")
	once.Write(body)
	raw(w, bytes.Repeat(once.Bytes(), 2))
}
