// Package http1 makes one attempt of a request at one upstream over HTTP/1.1 and
// says what is known of its outcome. It keeps its own connections: one request at a
// time on each, none reused on which a byte has arrived that belongs to no request,
// and nothing sent again behind the caller's back.
package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Codec writes and reads the headers in which an attempt is spoken of.
type Codec interface {
	// RequestHeader returns the header of an attempt: the caller's, and what the system adds.
	RequestHeader(a *Attempt) http.Header
	// ParseResponse returns what the head of an answer says.
	ParseResponse(status int, h http.Header) AnswerMeta
}

// AnswerMeta is what the head of an answer says beside its status.
type AnswerMeta struct {
	// RequestID is that of the request that the answer belongs to.
	RequestID string
	// NotRun is the upstream's word that it ran nothing of the request.
	NotRun bool
	// Replaced is set when another upstream has the address.
	Replaced bool
	// Signed answers are an upstream's own.
	Signed bool
	// Draining upstreams take no more work.
	Draining bool
	// ColdFor is how long the upstream stays cold; zero when it doesn't say.
	ColdFor time.Duration
}

// Attempt is one request as it goes to one upstream.
type Attempt struct {
	RequestID string
	Upstream  ident.Upstream
	Address   netip.AddrPort
	Method    string
	// Target is the path with its query, as the caller sent it.
	Target string
	Host   string
	// Header is the caller's, without what concerns one connection only.
	Header http.Header
	Body   []byte
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// Priority is the rank of the route; zero is the most urgent.
	Priority int
	// LastEventID is the last whole event that the caller has; empty for none.
	LastEventID string
}

// Answer is the head of an answer and its body, which is still to be read.
type Answer struct {
	Status int
	Header http.Header
	Meta   AnswerMeta
	// Length is that of the body; negative when it isn't known.
	Length int64
	// Body ends with io.EOF when it is whole, and with another error when it was cut.
	// It must be closed.
	Body io.ReadCloser
}

// Client makes attempts. Its fields are set before the first use.
type Client struct {
	Codec Codec
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// DialCount counts the connections that were opened.
	DialCount atomic.Int64

	conns conns
}

// NewClient returns a client without connections.
func NewClient(codec Codec, c clock.Clock, dialTimeout time.Duration) *Client {
	return &Client{Codec: codec, DialTimeout: dialTimeout, conns: conns{clock: c}}
}

// CloseExpiredConns closes connections that have been idle for too long. It is called every few
// seconds.
func (c *Client) CloseExpiredConns() {
	c.conns.sweep()
}

// Send sends the request and returns the head of its answer. The failure is NotRun
// when nothing of the request was sent, or when the upstream says so. When the
// context ends, the connection is closed, so that the upstream stops working.
func (c *Client) Send(ctx context.Context, a *Attempt) (*Answer, *result.Failure) {
	key := connKey{a.Upstream, a.Address}
	connection := c.conns.take(key)
	if connection == nil {
		opened, err := c.open(ctx, key)
		if err != nil {
			return nil, c.failure(ctx, a, result.NotRun, result.ConnectFailed, err)
		}
		connection = opened
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	x := &exchange{client: c, attempt: a, conn: connection, stop: stop, sent: make(chan error, 1)}
	answer, failure := x.run(ctx)
	if failure != nil {
		x.discard()
	}
	return answer, failure
}

func (c *Client) open(ctx context.Context, k connKey) (*conn, error) {
	c.DialCount.Add(1)
	return dial(ctx, k, c.DialTimeout)
}

// CanConnect reports whether an upstream takes connections at its address. It sends nothing.
func (c *Client) CanConnect(ctx context.Context, id ident.Upstream, address netip.AddrPort) bool {
	opened, err := c.open(ctx, connKey{id, address})
	if err != nil {
		return false
	}
	_ = opened.Close()
	return true
}

// failure describes how an attempt ended. A context that has ended is the reason for
// whatever went wrong on the connection after it.
func (c *Client) failure(ctx context.Context, a *Attempt, o result.Outcome, r result.Reason, err error) *result.Failure {
	if ctx.Err() != nil {
		r = CancelReason(ctx)
	}
	return &result.Failure{Outcome: o, Step: result.StepAttempt, Reason: r, Peer: string(a.Upstream), Cause: err}
}

// CancelReason returns why a context has ended: the reason of its cause when that is a
// failure.
func CancelReason(ctx context.Context) result.Reason {
	var f *result.Failure
	if errors.As(context.Cause(ctx), &f) {
		return f.Reason
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return result.DeadlinePassed
	}
	return result.CallerGone
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client  *Client
	attempt *Attempt
	conn    *conn
	stop    func() bool
	// sent has the result of writing the request.
	sent chan error
	// spoiled connections are not reused, though the answer is whole.
	spoiled bool
	// ended is set once the connection was given back or closed.
	ended bool
}

func (x *exchange) run(ctx context.Context) (*Answer, *result.Failure) {
	if len(x.attempt.Body) <= inlineBytes {
		x.write()
	} else {
		go x.write()
	}
	for {
		answer, err := x.readHead()
		if err != nil {
			return nil, x.headFailure(ctx, err)
		}
		if answer.Status < http.StatusOK {
			continue
		}
		if answer.Meta.RequestID == x.attempt.RequestID {
			return x.accept(ctx, answer)
		}
		// An answer of another request has come late, where this one's is due.
		x.spoiled = true
		if answer.Meta.RequestID == "" || answer.Length < 0 {
			return nil, x.client.failure(ctx, x.attempt, result.Unknown, result.AnswerMismatch, errors.New("an answer without the request's id"))
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return nil, x.headFailure(ctx, err)
		}
	}
}

func (x *exchange) headFailure(ctx context.Context, err error) *result.Failure {
	reason := result.AnswerCut
	var op *net.OpError
	if !errors.As(err, &op) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		reason = result.AnswerMismatch
	}
	return x.client.failure(ctx, x.attempt, result.Unknown, reason, err)
}

// accept turns an answer that says that nothing ran into a failure.
func (x *exchange) accept(ctx context.Context, answer *Answer) (*Answer, *result.Failure) {
	if !answer.Meta.NotRun && !answer.Meta.Replaced {
		return answer, nil
	}
	f := x.client.failure(ctx, x.attempt, result.NotRun, result.UpstreamRefused, nil)
	if answer.Meta.Replaced {
		f.Reason = result.UpstreamLeaving
	}
	f.RetryAfter = retryAfter(answer.Header)
	if _, err := io.CopyN(io.Discard, answer.Body, maxRefusalBytes); errors.Is(err, io.EOF) {
		_ = answer.Body.Close()
	}
	return nil, f
}

// maxRefusalBytes bounds the body of a refusal that is read so that the connection can
// be reused.
const maxRefusalBytes = 4 << 10

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// inlineBytes is the length of bodies that fit the buffers of a connection, so that
// writing them doesn't wait for the upstream.
const inlineBytes = 16 << 10

// write sends the request in one go. A long body is written beside the reader, since
// an upstream may answer before it has read it.
func (x *exchange) write() {
	a := x.attempt
	var b bytes.Buffer
	b.WriteString(a.Method + " " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n")
	header := x.client.Codec.RequestHeader(a)
	header.Del("Content-Length")
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(a.Body)
	_, err := x.conn.Write(b.Bytes())
	x.sent <- err
}

func (x *exchange) readHead() (*Answer, error) {
	//nolint:bodyclose // the body goes on in the answer, which is closed by its user
	response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.attempt.Method})
	if err != nil {
		return nil, errors.Trace(err)
	}
	answer := &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Meta:   x.client.Codec.ParseResponse(response.StatusCode, response.Header),
		Length: response.ContentLength,
	}
	answer.Meta.Draining = answer.Meta.Draining || response.Close
	answer.Body = &body{ReadCloser: response.Body, exchange: x, keep: keepTime(response)}
	return answer, nil
}

// keepTime returns how long the connection may be idle before it is reused; zero when
// it must be closed.
func keepTime(r *http.Response) time.Duration {
	if r.Close {
		return 0
	}
	for _, field := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(0, time.Duration(seconds)*time.Second-idleGuard)
	}
	return idleDefault
}

// body is the body of an answer. Closing it gives the connection back when the answer
// is whole and nothing follows it.
type body struct {
	io.ReadCloser
	exchange *exchange
	keep     time.Duration
	whole    bool
	closed   bool
}

// Read marks the body whole at its proper end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.whole = true
		return n, io.EOF
	}
	return n, err
}

// Close ends the exchange.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.whole && b.keep > 0 {
		b.exchange.release(b.keep)
		return nil
	}
	b.exchange.discard()
	return nil
}

// release gives the connection back if the whole request was read off it. One that
// was answered early is closed: the upstream may still be reading its body.
func (x *exchange) release(keep time.Duration) {
	x.ended = true
	select {
	case err := <-x.sent:
		x.spoiled = x.spoiled || err != nil
	default:
		x.spoiled = true
	}
	if !x.stop() || x.spoiled || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.client.conns.put(x.conn, keep)
}

func (x *exchange) discard() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	_ = x.conn.Close()
}
