package http1

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutustrestle/core/result"
)

// answerEnd is what an upstream does behind a number of bytes of its answer.
type answerEnd uint8

const (
	endsInOrder answerEnd = iota
	resets
	resetsLater
	pauses
)

// cutAnswer is an answer that ends somewhere.
type cutAnswer struct {
	head, body string
	// toClose is set if nothing in the answer tells its end.
	toClose bool
	bytes   int
	end     answerEnd
	// upload is set if the request is long and isn't read, so that each end is a reset.
	upload bool
}

func (a cutAnswer) text(id string) string {
	return strings.ReplaceAll(a.head, "ID", id) + a.body
}

// whole reports whether the answer may count as whole, and whether it must.
func (a cutAnswer) whole(id string) (may, must bool) {
	left := len(a.text(id)) - a.bytes
	switch {
	case a.upload:
		return left == 0 && !a.toClose, false
	case a.end == pauses:
		return true, true
	case a.toClose:
		// A body that ends early in order can't be told from a whole one.
		may = a.end == endsInOrder && left <= len(a.body)
		return may, may
	default:
		return left == 0, left == 0 && a.end == endsInOrder
	}
}

func (a cutAnswer) withUpload() cutAnswer {
	a.upload = true
	return a
}

// play sends the answer.
func (a cutAnswer) play(c *net.TCPConn, id string) bool {
	text := a.text(id)
	_, _ = c.Write([]byte(text[:a.bytes]))
	switch a.end {
	case pauses:
		time.Sleep(time.Millisecond)
		_, _ = c.Write([]byte(text[a.bytes:]))
	case resets:
		return reset(c)
	case resetsLater:
		time.Sleep(20 * time.Millisecond)
		return reset(c)
	}
	return false
}

// TestEndAtEachByte guards against an answer that counts as whole though its connection was reset, or ended inside
// of it, and against one that doesn't since it came in two pieces: at each of its bytes, in each framing, also while
// a long request is being written.
func TestEndAtEachByte(t *testing.T) {
	t.Parallel()
	const (
		idBytes  = 4
		together = 32
		// maxDials is how often a play is tried that hasn't reached the upstream: a busy machine may take
		// more than a second to open a connection.
		maxDials = 5
		head     = "HTTP/1.1 200 OK\r\nId: ID\r\n"
		chunks   = "4\r\nHTTP\r\n6;a=b\r\n/1.1 2\r\n0\r\nX: 1\r\n\r\n"
	)
	framings := []cutAnswer{
		{head: head + "Content-Length: 10\r\n\r\n", body: "HTTP/1.1 2"},
		{head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: 1\r\n\r\n" + head + "Content-Length: 2\r\n\r\n", body: "ab"},
		{head: head + "Transfer-Encoding: chunked\r\n\r\n", body: chunks},
		{head: head + "\r\n", body: "HTTP/1.1 200 \r\nA: 1\r\n", toClose: true},
		{head: "HTTP/1.0 200 OK\nId: ID\n\n", body: "ab", toClose: true},
	}
	var answers []cutAnswer
	for _, a := range framings {
		for n := range len(a.head) + idBytes - len("ID") + len(a.body) + 1 {
			for _, end := range []answerEnd{endsInOrder, resets, resetsLater, pauses} {
				a.bytes, a.end = n, end
				answers = append(answers, a)
				if end != pauses {
					answers = append(answers, a.withUpload())
				}
			}
		}
	}
	u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
		n, _ := strconv.Atoi(id)
		return answers[n].play(c, id)
	})
	client := newClient()
	upload := make([]byte, longBodyBytes)
	turns := make(chan int)
	var callers sync.WaitGroup
	for range together {
		callers.Go(func() {
			for n := range turns {
				id := fmt.Sprintf("%0*d", idBytes, n)
				a := attempt(u, id)
				a.NewConnection = true
				if answers[n].upload {
					a.Body = upload
				}
				body, failure, err := send(t, client, a)
				for tries := 1; failure != nil && failure.Reason == result.ConnectFailed && tries < maxDials; tries++ {
					body, failure, err = send(t, client, a)
				}
				got := failure == nil && err == nil
				if may, must := answers[n].whole(id); got && !may || must && !got {
					t.Errorf("%d bytes of %q, end %d, upload %v: whole %v, body %q, failure %v, error %v", answers[n].bytes, answers[n].text(id), answers[n].end, answers[n].upload, got, body, failure, err)
				}
			}
		})
	}
	for n := range answers {
		turns <- n
	}
	close(turns)
	callers.Wait()
}
