package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"arbutustrestle/core/clock"
)

const (
	// longBodyBytes is more than the buffers of a connection hold.
	longBodyBytes = 16 << 20
	// resetRounds is how often each case is played: who gets the error of a reset is a race.
	resetRounds = 20
)

// earlyUpstream answers each request as soon as it has read its head, and then ends the connection
// as the test says.
type earlyUpstream struct {
	address netip.AddrPort
	answer  string
	// end is called with the connection, and the reader of what it still holds.
	end func(c *net.TCPConn, rest io.Reader)
}

func startEarlyUpstream(t *testing.T, answer string, end func(c *net.TCPConn, rest io.Reader)) *earlyUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &earlyUpstream{address: l.Addr().(*net.TCPAddr).AddrPort(), answer: answer, end: end}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn))
		}
	}()
	return u
}

func (u *earlyUpstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(u.answer, "ID", r.Header.Get("Id")))
	u.end(c, r.Body)
}

// discard reads a number of bytes, or fewer if the other side ends its side before.
func discard(c *net.TCPConn, rest io.Reader, n int64) {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.CopyN(io.Discard, rest, n)
}

// finWait2 is the state of a TCP connection whose other side has acknowledged the end of this side.
const finWait2 = 5

// endSide ends this side of a connection and waits until the other side's system has acknowledged that.
// Until then a reset may overtake the end: a system that is short of memory for its connections sends
// the end only with the next retransmission.
func endSide(t *testing.T, c *net.TCPConn) {
	began := time.Now()
	_ = c.CloseWrite()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for time.Since(began) < 5*time.Second {
		acknowledged := true
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err != nil || info.State == finWait2
		})
		if acknowledged {
			if took := time.Since(began); took > 100*time.Millisecond {
				t.Logf("the end took %s to be acknowledged", took)
			}
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Error("the end of a connection was not acknowledged")
}

const (
	partOfPlain  = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\npart"
	partOfStream = "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\ndata: a\n\n"
)

// exchangeEarly sends a request with a body and returns what reading its answer ended with.
func exchangeEarly(t *testing.T, client *Client, u *earlyUpstream, body []byte, stream bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, failure := client.Send(ctx, &Attempt{
		RequestID: "q", Upstream: "u-1", Address: u.address, Method: http.MethodPost, Target: "/", Host: "h", Body: body, EventStream: stream,
	})
	if failure != nil {
		return "", failure
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Logf("fault of the connection: %v", answer.Fault())
	}
	return string(text), err
}

// TestResetTakenForEnd guards against a reset that counts as the end of an answer with neither a
// length nor chunks, since the write of the request, or a look at the connection, got its error.
func TestResetTakenForEnd(t *testing.T) {
	moment := func(d time.Duration) func(*net.TCPConn, io.Reader) {
		return func(c *net.TCPConn, _ io.Reader) {
			time.Sleep(d)
			_ = c.SetLinger(0)
		}
	}
	for _, c := range []struct {
		name   string
		body   int
		answer string
		stream bool
		end    func(c *net.TCPConn, rest io.Reader)
	}{
		{"short_body", 100, partOfPlain, false, moment(0)},
		{"short_body_late_reset", 100, partOfPlain, false, moment(20 * time.Millisecond)},
		{"short_body_stream", 100, partOfStream, true, moment(0)},
		{"short_body_stream_late_reset", 100, partOfStream, true, moment(20 * time.Millisecond)},
		{"long_body", longBodyBytes, partOfPlain, false, moment(0)},
		{"long_body_late_reset", longBodyBytes, partOfPlain, false, moment(20 * time.Millisecond)},
		{"long_body_stream", longBodyBytes, partOfStream, true, moment(0)},
		{"long_body_stream_late_reset", longBodyBytes, partOfStream, true, moment(20 * time.Millisecond)},
		{"long_body_unread", longBodyBytes, partOfPlain, false, func(*net.TCPConn, io.Reader) {}},
		{"long_body_half_read", longBodyBytes, partOfPlain, false, func(c *net.TCPConn, rest io.Reader) {
			discard(c, rest, longBodyBytes/2)
			_ = c.SetLinger(0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := startEarlyUpstream(t, c.answer, c.end)
			client := NewClient(testCodec{}, clock.System{}, time.Second)
			whole := 0
			for range resetRounds {
				text, err := exchangeEarly(t, client, u, make([]byte, c.body), c.stream)
				if err == nil {
					whole++
					t.Logf("%q is whole", text)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset are whole", whole, resetRounds)
			}
		})
	}
}

// TestEarlyAnswerInOrder guards against an early answer that ends in order and is taken for one that
// was reset: an upstream may answer before it has read the body of the request, and refuse the rest.
func TestEarlyAnswerInOrder(t *testing.T) {
	for _, c := range []struct {
		name   string
		body   int
		answer string
		stream bool
		end    func(c *net.TCPConn, rest io.Reader)
	}{
		{"short_body", 100, partOfPlain, false, func(c *net.TCPConn, rest io.Reader) { discard(c, rest, 100) }},
		{"short_body_stream", 100, partOfStream, true, func(c *net.TCPConn, rest io.Reader) { discard(c, rest, 100) }},
		{"rest_is_read", longBodyBytes, partOfPlain, false, func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			discard(c, rest, longBodyBytes)
		}},
		{"rest_is_read_first", longBodyBytes, partOfPlain, false, func(c *net.TCPConn, rest io.Reader) { discard(c, rest, longBodyBytes) }},
		{"rest_is_left", longBodyBytes, partOfPlain, false, func(c *net.TCPConn, _ io.Reader) {
			endSide(t, c)
			time.Sleep(150 * time.Millisecond)
		}},
		{"reset_after_the_end", longBodyBytes, partOfPlain, false, func(c *net.TCPConn, _ io.Reader) { endSide(t, c) }},
		{"reset_after_the_end_of_a_stream", longBodyBytes, partOfStream, true, func(c *net.TCPConn, _ io.Reader) {
			endSide(t, c)
			time.Sleep(time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := startEarlyUpstream(t, c.answer, c.end)
			client := NewClient(testCodec{}, clock.System{}, time.Second)
			_, want, _ := strings.Cut(c.answer, "\r\n\r\n")
			for range resetRounds {
				text, err := exchangeEarly(t, client, u, make([]byte, c.body), c.stream)
				if err != nil || text != want {
					t.Fatalf("%q, error %v", text, err)
				}
			}
		})
	}
}
