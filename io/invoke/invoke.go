// Package invoke sends one attempt of a request to one upstream and determines its
// outcome. It also reads the load of upstreams and sends orders to engines.
package invoke

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/io/syntax"
)

// The headers that upstreams and this system exchange with each attempt.
const (
	// HeaderRequestID is echoed by every upstream.
	HeaderRequestID = "Request-Id"
	// HeaderOutcome with the value "not-run" is an upstream's statement that no part
	// of the call ran.
	HeaderOutcome = "Run-Outcome"
	// HeaderLoad is an upstream's load at the time of its response.
	HeaderLoad = "Engine-Load"
	// HeaderLeaving marks the response of an upstream that accepts no more work.
	HeaderLeaving = "Leaving"
)

// Attempt is one call to one upstream.
type Attempt struct {
	RequestID string
	Upstream  ident.Upstream
	Address   netip.AddrPort
	Method    string
	// Path starts with a slash and may contain a query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is false for a call that may run at most once. Such an attempt never
	// reuses a connection.
	Repeatable bool
	// Streamed is true for the event stream of a model engine, whose request id and
	// end are checked frame by frame.
	Streamed bool
	// IdleTimeout overrides that of the client unless it is zero.
	IdleTimeout time.Duration
}

// ResponseHead holds the status and the headers of a response.
type ResponseHead struct {
	Status int
	Header http.Header
	// Peer is the id of the upstream that sent the response.
	Peer string
}

// Sink receives the response of one attempt. Begin is called at most once, before
// Write. An error of either means that the caller has disconnected.
type Sink interface {
	Begin(h ResponseHead) error
	// Write forwards the next bytes of the response without delay. The slice is valid
	// only during the call.
	Write(p []byte) error
}

// ErrAnswerMemory is returned by a Sink that keeps the response if there is no memory for it.
var ErrAnswerMemory = errors.New("no memory for the answer")

// Report holds the observations about an upstream during an attempt.
type Report struct {
	// TimeToFirstByte is the time from sending the call to the response head; zero
	// without a response.
	TimeToFirstByte time.Duration
	// Frames is the number of event frames that were forwarded.
	Frames int
	// LoadHeader is the value of HeaderLoad, empty if absent.
	LoadHeader string
	// Leaving is true if the upstream states that it accepts no more work.
	Leaving bool
	// HeadSent is true once the sink has received the head. The request can't be
	// retried after that.
	HeadSent bool
}

// Client sends attempts to upstreams. Its fields are set before the first use.
type Client struct {
	// FirstByteTimeout bounds the time from sending a call to the response head.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the time between two reads of a response.
	IdleTimeout time.Duration
	// MaxAnswerBytes bounds the body of a response.
	MaxAnswerBytes int64

	// shared reuses connections, for calls that are repeatable.
	shared syntax.Transport
	// single opens a new connection for each call.
	single syntax.Transport
}

const (
	dialTimeout             = 2 * time.Second
	idleConnTimeout         = 30 * time.Second
	idleConnsPerHost        = 256
	maxAnswerHeadBytes      = 64 << 10
	defaultMaxAnswerBytes   = 16 << 20
	defaultFirstByteTimeout = 30 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	transportReadBuffer     = 16 << 10
	streamEndTimeout        = 20 * time.Millisecond
)

// NewClient returns a client with the given limits; zero means the default.
func NewClient(firstByteTimeout, idleTimeout time.Duration, maxAnswerBytes int64) *Client {
	c := &Client{FirstByteTimeout: firstByteTimeout, IdleTimeout: idleTimeout, MaxAnswerBytes: maxAnswerBytes}
	if c.FirstByteTimeout == 0 {
		c.FirstByteTimeout = defaultFirstByteTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	c.shared = newTransport(false)
	c.single = newTransport(true)
	return c
}

func newTransport(disableKeepAlives bool) syntax.Transport {
	return syntax.Transport{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		ReadBufferSize:         transportReadBuffer,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Do sends the attempt and forwards the response to the sink. It returns nil if the
// whole response was forwarded, and otherwise a failure with the known outcome. It
// returns when the context ends, whatever the upstream does.
func (c *Client) Do(ctx context.Context, a *Attempt, sink Sink) (Report, *result.Failure) {
	run := &runner{client: c, attempt: a, sink: sink, idle: a.IdleTimeout}
	if run.idle == 0 {
		run.idle = c.IdleTimeout
	}
	ctx, run.cancel = context.WithCancelCause(ctx)
	defer run.cancel(nil)
	failure := run.do(ctx)
	return run.report, failure
}

// runner performs one attempt and holds its state.
type runner struct {
	client  *Client
	attempt *Attempt
	sink    Sink
	report  Report
	cancel  context.CancelCauseFunc
	// idle bounds the time between two reads of the response.
	idle time.Duration
	// connected is true once the call was given a connection. From then on it may
	// have run.
	connected bool
}

// timeoutError is the cause with which an attempt cancels its own context.
type timeoutError struct {
	reason result.Reason
}

func (e timeoutError) Error() string {
	return e.reason.String()
}

func (r *runner) do(ctx context.Context) *result.Failure {
	timer := time.AfterFunc(r.client.FirstByteTimeout, func() { r.cancel(timeoutError{result.FirstByteTimeout}) })
	defer timer.Stop()
	started := time.Now()
	response, err := r.send(ctx)
	if err != nil {
		return r.sendFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	r.report.TimeToFirstByte = time.Since(started)
	r.report.LoadHeader = response.Header.Get(HeaderLoad)
	r.report.Leaving = response.Header.Get(HeaderLeaving) != ""
	if failure := r.checkHead(response); failure != nil {
		return failure
	}
	timer.Stop()
	return r.receive(ctx, response)
}

// readStreamEnd reads the end of a stream after its closing frame, so that the
// connection can be reused. If the upstream doesn't end the stream within
// streamEndTimeout, the connection is closed.
func (r *runner) readStreamEnd(response *http.Response, buffer []byte) {
	timer := time.AfterFunc(streamEndTimeout, func() { r.cancel(nil) })
	defer timer.Stop()
	_, _ = response.Body.Read(buffer)
}

func (r *runner) send(ctx context.Context) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { r.connected = true }}
	request, err := r.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, errors.Trace(err)
	}
	transport := r.client.shared
	if !r.attempt.Repeatable {
		transport = r.client.single
	}
	return transport.RoundTrip(request)
}

// oneShotBody prevents the transport from sending a request twice. The transport
// replays a request whose connection broke if it considers it replayable, as it does
// for a request with an Idempotency-Key header or with an empty body.
type oneShotBody struct {
	io.Reader
}

func (oneShotBody) Close() error {
	return nil
}

func (r *runner) request(ctx context.Context) (*http.Request, error) {
	a := r.attempt
	path, err := url.ParseRequestURI(a.Path)
	if err != nil {
		return nil, errors.Annotatef(err, "parse the path of the request")
	}
	header := a.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderRequestID, a.RequestID)
	path.Scheme = "http"
	path.Host = a.Address.String()
	request := &http.Request{
		Method:        a.Method,
		URL:           path,
		Host:          path.Host,
		Header:        header,
		Body:          oneShotBody{bytes.NewReader(a.Body)},
		ContentLength: int64(len(a.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return request.WithContext(ctx), nil
}

// sendFailure returns the failure for an error before the response head. The call did
// not run if it never got a connection.
func (r *runner) sendFailure(ctx context.Context, err error) *result.Failure {
	f := r.failure(result.UpstreamFailed, err)
	if !r.connected {
		f.Outcome = result.NotRun
		f.Reason = result.ConnectFailed
	}
	return r.withContextReason(ctx, f)
}

// withContextReason replaces the reason if the context has ended: by a timeout of the
// attempt, the deadline of the request, a change of the table, or the caller.
func (r *runner) withContextReason(ctx context.Context, f *result.Failure) *result.Failure {
	if ctx.Err() != nil {
		f.Reason = EndReason(ctx)
	}
	return f
}

// EndReason returns the reason for which the context of a request ended. For a context
// that was cancelled with a failure as its cause, it is the reason of that failure.
func EndReason(ctx context.Context) result.Reason {
	cause := context.Cause(ctx)
	var timeout timeoutError
	var failure *result.Failure
	switch {
	case errors.As(cause, &timeout):
		return timeout.reason
	case errors.As(cause, &failure):
		return failure.Reason
	case errors.Is(cause, context.DeadlineExceeded):
		return result.DeadlinePassed
	default:
		return result.CallerGone
	}
}

func (r *runner) failure(reason result.Reason, cause error) *result.Failure {
	step := result.StepAttempt
	if r.report.HeadSent {
		step = result.StepStream
	}
	return &result.Failure{
		Outcome: result.Unknown,
		Step:    step,
		Reason:  reason,
		Peer:    string(r.attempt.Upstream),
		Cause:   cause,
	}
}

// checkHead returns a failure if the upstream refused the call, if the response has
// another request id or none, or if it should be a stream and is not.
func (r *runner) checkHead(response *http.Response) *result.Failure {
	isOwn := syntax.Single(response.Header, HeaderRequestID) == r.attempt.RequestID
	if !isOwn && len(response.Header[HeaderRequestID]) > 0 {
		// A late answer to an earlier request says nothing of this one, also if it states that nothing ran.
		return r.failure(result.AnswerMismatch, nil)
	}
	// Only an explicit statement of the upstream yields the outcome "not run".
	if response.Header.Get(HeaderOutcome) == result.NotRun.String() {
		f := r.failure(result.UpstreamRefused, nil)
		f.Outcome = result.NotRun
		f.RetryAfter = retryAfter(response.Header)
		if r.report.Leaving {
			f.Reason = result.UpstreamLeaving
		}
		return f
	}
	if !isOwn {
		return r.failure(result.AnswerMismatch, nil)
	}
	if !r.attempt.Streamed {
		return nil
	}
	isStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if response.StatusCode != http.StatusOK || !isStream {
		return r.failure(result.UpstreamStatus, errors.Errorf("status %d", response.StatusCode))
	}
	return nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (r *runner) begin(response *http.Response) *result.Failure {
	h := ResponseHead{Status: response.StatusCode, Header: response.Header, Peer: string(r.attempt.Upstream)}
	r.report.HeadSent = true
	if err := r.sink.Begin(h); err != nil {
		return r.failure(result.CallerGone, err)
	}
	return nil
}
