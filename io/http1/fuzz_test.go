package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"regexp"
	"testing"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/result"
)

// answerSeeds holds the answers that further inputs are derived from.
var answerSeeds = []string{
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab",
	"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 1\r\n\r\ndata: a\n\nda",
	"HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nzHTTP/1.1 204 No\r\nId: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
}

// FuzzReadAnswer searches for inputs that checkAnswer fails on.
func FuzzReadAnswer(f *testing.F) {
	for _, text := range answerSeeds {
		f.Add(text, false)
		f.Add(text, true)
	}
	f.Fuzz(checkAnswer)
}

// saysNotRun matches an answer in which an upstream states that nothing ran: a line of a head with
// the field of testCodec, whose name has no case, or a status line with 421.
var saysNotRun = regexp.MustCompile(`(?im)^not-run:|HTTP/[0-9.]+ +421`)

// checkAnswer reads the bytes of an upstream as the answer to a request. Whatever they
// are, nothing that the upstream did not say to have not run counts as not run, a body is
// whole only by its framing, and a connection is reused only after a whole answer.
func checkAnswer(t *testing.T, text string, stream bool) {
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(far, text)
		_ = far.Close()
	}()
	bounded := &boundedConn{Conn: near}
	c := &conn{Conn: near, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes)}
	client := NewClient(testCodec{}, clock.System{}, 0)
	a := &Attempt{RequestID: "1", Method: "GET", Target: "/", Host: "h", EventStream: stream}
	x := &exchange{client: client, attempt: a, conn: c, stopCancel: func() bool { return true }, writeResult: make(chan error, 1)}
	// Nothing reads the request at the other end of the pipe.
	x.writeResult <- nil
	answer, failure := x.readAnswer(context.Background())
	if failure != nil {
		x.discard()
		if failure.Outcome == result.NotRun && !saysNotRun.MatchString(text) {
			t.Fatalf("not run: %v", failure)
		}
		return
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err == nil && answer.Framing == FramedByLength && answer.Length > 0 && int64(len(body)) != answer.Length {
		t.Fatalf("%d bytes of %d are whole", len(body), answer.Length)
	}
	if err == nil && stream && isSuccess(answer.Status) && answer.InsideEvent() {
		t.Fatalf("a stream that ends inside an event is whole: %q", body)
	}
	if errors.Is(err, io.EOF) {
		t.Fatalf("a cut body ends with io.EOF: %v", err)
	}
	if idle := len(client.conns.idle); idle > 0 && (err != nil || answer.Framing == FramedByClose) {
		t.Fatalf("connection reused after %q, error %v", body, err)
	}
}
