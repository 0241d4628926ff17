// Package invoke makes one attempt of a request at one upstream and says what is
// known of its outcome.
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
)

// The headers by which an upstream and the system speak of one attempt.
const (
	// HeaderRequestID is echoed by every upstream.
	HeaderRequestID = "Request-Id"
	// HeaderOutcome with the value "not-run" is an upstream's word that it ran
	// nothing of the call.
	HeaderOutcome = "Run-Outcome"
	// HeaderLoad is an upstream's load as of its answer.
	HeaderLoad = "Engine-Load"
	// HeaderLeaving marks the answer of an upstream that takes no more work.
	HeaderLeaving = "Leaving"
)

// Attempt is one call to one upstream.
type Attempt struct {
	RequestID string
	Upstream  ident.Upstream
	Address   netip.AddrPort
	Method    string
	// Path starts with a slash and may hold a query.
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable is false for a call that may run at most once; such an attempt
	// never reuses a connection.
	Repeatable bool
	// Streamed is true for a model engine's event stream, whose end and request id
	// are checked frame by frame.
	Streamed bool
	// IdleTimeout replaces the client's unless it is zero.
	IdleTimeout time.Duration
}

// ResponseHead is the status and the headers of an answer.
type ResponseHead struct {
	Status int
	Header http.Header
	// Peer is the upstream that answers.
	Peer string
}

// Sink takes the answer of one attempt. Begin is called at most once, before
// Write; a failure of either means that the caller is gone.
type Sink interface {
	Begin(h ResponseHead) error
	// Write passes on the next bytes of the answer without delay. The slice is
	// only valid during the call.
	Write(p []byte) error
}

// Report is what an attempt learned of its upstream beside the answer.
type Report struct {
	// TimeToFirstByte is the time from the start to the answer's head; zero without one.
	TimeToFirstByte time.Duration
	// Frames counts the event frames that were passed on.
	Frames int
	// LoadHeader is the upstream's load header, empty when there was none.
	LoadHeader string
	// Leaving is the upstream's own word that it takes no more work.
	Leaving bool
	// HeadSent is true once the sink has the head, after which nothing may be retried.
	HeadSent bool
}

// Client makes attempts. Its fields are set before the first use.
type Client struct {
	// FirstByteTimeout bounds the time from sending a call to the answer's head.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the time between two reads of an answer.
	IdleTimeout time.Duration
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes int64

	// shared keeps connections for calls that may be repeated.
	shared *http.Transport
	// single opens a connection for each call.
	single *http.Transport
}

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	idleConnsPerHost    = 256
	maxAnswerHeadBytes  = 64 << 10
	defaultAnswerBytes  = 16 << 20
	defaultFirstByte    = 30 * time.Second
	defaultIdle         = 30 * time.Second
	transportReadBuffer = 16 << 10
	settleTimeout       = 20 * time.Millisecond
)

// NewClient returns a client with the given bounds; zero means the default.
func NewClient(firstByte, idle time.Duration, answerBytes int64) *Client {
	c := &Client{FirstByteTimeout: firstByte, IdleTimeout: idle, MaxAnswerBytes: answerBytes}
	if c.FirstByteTimeout == 0 {
		c.FirstByteTimeout = defaultFirstByte
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdle
	}
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = defaultAnswerBytes
	}
	c.shared = newTransport(false)
	c.single = newTransport(true)
	return c
}

func newTransport(single bool) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		ReadBufferSize:         transportReadBuffer,
	}
}

// Close drops the connections that are kept.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Do makes the attempt and passes the answer to the sink. It returns nil when the
// whole answer was passed on, and a failure with the outcome that is known
// otherwise. It ends when the context does, whatever the upstream does.
func (c *Client) Do(ctx context.Context, a *Attempt, sink Sink) (Report, *result.Failure) {
	run := &running{client: c, attempt: a, sink: sink, idle: a.IdleTimeout}
	if run.idle == 0 {
		run.idle = c.IdleTimeout
	}
	ctx, run.cancel = context.WithCancelCause(ctx)
	defer run.cancel(nil)
	failure := run.do(ctx)
	return run.report, failure
}

// running is the state of one attempt.
type running struct {
	client  *Client
	attempt *Attempt
	sink    Sink
	report  Report
	cancel  context.CancelCauseFunc
	// idle bounds the time between two reads of the answer.
	idle time.Duration
	// connected is true once a connection was handed to the call, after which it
	// may have run.
	connected bool
}

// timedOut is the cause with which a running attempt cancels itself.
type timedOut struct {
	reason result.Reason
}

func (t timedOut) Error() string {
	return t.reason.String()
}

func (r *running) do(ctx context.Context) *result.Failure {
	timer := time.AfterFunc(r.client.FirstByteTimeout, func() { r.cancel(timedOut{result.FirstByteTimeout}) })
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

// settle reads the end of a stream whose closing frame was seen, so that its
// connection can be used again. An upstream that doesn't end it is cut.
func (r *running) settle(response *http.Response, buffer []byte) {
	timer := time.AfterFunc(settleTimeout, func() { r.cancel(nil) })
	defer timer.Stop()
	_, _ = response.Body.Read(buffer)
}

func (r *running) send(ctx context.Context) (*http.Response, error) {
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

// onceBody hides from the transport that the body could be read again. The
// transport replays a request on a connection that broke when it believes it
// replayable, which an Idempotency-Key header or an empty body make it believe.
type onceBody struct {
	io.Reader
}

func (onceBody) Close() error {
	return nil
}

func (r *running) request(ctx context.Context) (*http.Request, error) {
	a := r.attempt
	path, err := url.ParseRequestURI(a.Path)
	if err != nil {
		return nil, errors.Annotatef(err, "path of the call")
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
		Body:          onceBody{bytes.NewReader(a.Body)},
		ContentLength: int64(len(a.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return request.WithContext(ctx), nil
}

// sendFailure turns an error before the answer's head into what is known.
func (r *running) sendFailure(ctx context.Context, err error) *result.Failure {
	f := r.failure(result.UpstreamFailed, err)
	if !r.connected {
		f.Outcome = result.NotRun
		f.Reason = result.ConnectFailed
	}
	return r.blame(ctx, f)
}

// blame replaces the reason by that of whoever ended the attempt: a time limit of
// its own, the request's deadline, a change of the table, or the caller.
func (r *running) blame(ctx context.Context, f *result.Failure) *result.Failure {
	if ctx.Err() != nil {
		f.Reason = EndReason(ctx)
	}
	return f
}

// EndReason says why a request's context ended. A context that was cancelled with a
// failure ended for that failure's reason.
func EndReason(ctx context.Context) result.Reason {
	cause := context.Cause(ctx)
	var limit timedOut
	var failure *result.Failure
	switch {
	case errors.As(cause, &limit):
		return limit.reason
	case errors.As(cause, &failure):
		return failure.Reason
	case errors.Is(cause, context.DeadlineExceeded):
		return result.DeadlinePassed
	default:
		return result.CallerGone
	}
}

func (r *running) failure(reason result.Reason, cause error) *result.Failure {
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

// checkHead refuses an answer that is another request's, or none.
func (r *running) checkHead(response *http.Response) *result.Failure {
	// Only the upstream's own word turns an answer into "not run".
	if response.Header.Get(HeaderOutcome) == result.NotRun.String() {
		f := r.failure(result.UpstreamRefused, nil)
		f.Outcome = result.NotRun
		f.RetryAfter = retryAfter(response.Header)
		if r.report.Leaving {
			f.Reason = result.UpstreamLeaving
		}
		return f
	}
	if response.Header.Get(HeaderRequestID) != r.attempt.RequestID {
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

func (r *running) begin(response *http.Response) *result.Failure {
	h := ResponseHead{Status: response.StatusCode, Header: response.Header, Peer: string(r.attempt.Upstream)}
	r.report.HeadSent = true
	if err := r.sink.Begin(h); err != nil {
		return r.failure(result.CallerGone, err)
	}
	return nil
}
