package proxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/member"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/guard"
	"arbutustrestle/io/intake"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/strict"
	"arbutustrestle/io/syncer"
)

const (
	// defaultTimeout bounds a request if neither its route nor its caller sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After value of an instance that has no config yet.
	notReadyRetryAfter = 400 * time.Millisecond
	// unreadBodyTimeout bounds the time to read a body of a request that is refused before its
	// deadline is known.
	unreadBodyTimeout = 10 * time.Second
)

// activity tracks the requests that are being served.
type activity struct {
	requests atomic.Int64
	// closeEnded counts the answers that end with their connection.
	closeEnded atomic.Int64
	// drain is nil until the instance starts draining.
	drain atomic.Pointer[DrainSchedule]
}

// InFlight returns the number of requests that are being served.
func (p *Proxy) InFlight() int {
	return int(p.activity.requests.Load())
}

// CloseEnded returns the number of answers under way whose end is that of their connection.
func (p *Proxy) CloseEnded() int {
	return int(p.activity.closeEnded.Load())
}

// Drain starts draining: requests that may not finish before the exit are refused, and
// those that wait for an upstream at once.
func (p *Proxy) Drain(d DrainSchedule) {
	p.activity.drain.Store(&d)
	p.closeQueue()
}

// admits reports whether a request with the given deadline is accepted.
func (p *Proxy) admits(deadline time.Time) bool {
	d := p.activity.drain.Load()
	return d == nil || d.Admits(p.Clock.Now(), deadline)
}

// Handler returns the handler for callers' requests. It matches no paths itself: the
// routes do. Its server must have the hook ending.ConnContext, and the listener
// and hooks of package strict, or each body in chunks ends its connection, and those of package intake,
// or bodies that have stopped keep their memory until their deadline.
func (p *Proxy) Handler(codec CallerCodec) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.serve(codec, w, r)
	})
}

func (p *Proxy) serve(codec CallerCodec, w http.ResponseWriter, r *http.Request) {
	p.activity.requests.Add(1)
	defer p.activity.requests.Add(-1)
	p.Metrics.InFlight.Add(1)
	defer p.Metrics.InFlight.Add(-1)
	view := p.Loop.View()
	if view.Phase >= member.Draining {
		w.Header().Set("Connection", "close")
	}
	call := &Call{Arrived: p.Clock.Now(), memory: p.Memory.NewShare()}
	defer call.memory.Release()
	defer call.releaseAnswer()
	if r.ContentLength != 0 {
		call.reading = intake.StartBody(r, call.memory)
	}
	sink := &httpSink{writer: w, request: r, control: http.NewResponseController(w), closeEnded: &p.activity.closeEnded}
	defer sink.release()
	defer p.endPanicked(codec, w, call, sink)
	if strict.Check(r) == strict.Unknown {
		w.Header().Set("Connection", "close")
	}
	failure := p.identify(codec, view, call, r, sink.control)
	if failure == nil {
		failure = p.runUntilDeadline(r.Context(), call, sink)
	}
	p.conclude(codec, w, call, sink, failure)
}

// endPanicked answers a request that has met a fault of this program. It may have run.
func (p *Proxy) endPanicked(codec CallerCodec, w http.ResponseWriter, call *Call, sink *httpSink) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint // It is passed to panic as it is.
		panic(cause)
	}
	guard.Report(p.Log, p.Metrics.Events, "request "+logs.ShortID(call.ID), cause)
	p.conclude(codec, w, call, sink, &result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.InternalError})
}

// conclude records the end of a request and answers it if that hasn't been done.
func (p *Proxy) conclude(codec CallerCodec, w http.ResponseWriter, call *Call, sink *httpSink, failure *result.Failure) {
	call.callerFraming = sink.framing
	p.recordEnd(call, failure)
	if failure == nil {
		if err := sink.finish(); err != nil {
			p.Log.Warn().Err(err).Str("request-id", logs.ShortID(call.ID)).Msg("a whole answer ends with a reset of its connection")
		}
		return
	}
	if call.headSent || failure.Reason == result.CallerGone {
		// The server ends the connection with neither the rest of the answer nor a last chunk.
		panic(http.ErrAbortHandler)
	}
	p.writeError(codec, w, call, failure)
}

// runUntilDeadline serves a request within its deadline.
func (p *Proxy) runUntilDeadline(ctx context.Context, call *Call, sink Sink) *result.Failure {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if refusal := p.admitQuota(ctx, call); refusal != nil {
		return refusal
	}
	p.Budget.CountRequest(p.Clock.Now(), call.Service)
	failure := p.run(ctx, call, sink)
	p.returnQuota(call, failure)
	return failure
}

// identify reads the request and matches its route.
func (p *Proxy) identify(codec CallerCodec, view *syncer.View, call *Call, r *http.Request, control *http.ResponseController) *result.Failure {
	request, err := codec.ParseRequest(r)
	call.Request = request
	call.Host = r.Host
	call.Method = r.Method
	call.Target = r.RequestURI
	if r.ContentLength != 0 {
		// The server reads a body that a refusal leaves unread.
		if err := control.SetReadDeadline(call.Arrived.Add(unreadBodyTimeout)); err != nil {
			p.Log.Error().Err(err).Str("request-id", logs.ShortID(call.ID)).Msg("time to read a body not bounded")
		}
	}
	if err != nil {
		return badRequest(result.BadRequest, err)
	}
	if strict.Check(r) == strict.Ambiguous {
		p.boundUnreadBody(call, control)
		return badRequest(result.BadRequest, errors.NotValidf("body with a length and chunks"))
	}
	if view.Config == nil {
		return refuse(result.StepAdmit, result.NotReady, notReadyRetryAfter)
	}
	route, found := view.Config.Match(r.Host, r.URL.EscapedPath())
	if !found {
		return badRequest(result.UnknownCall, errors.NotFoundf("route of %s", r.Host))
	}
	call.Route = route
	call.ConfigVersion = view.Config.Version
	call.Service = route.PickService(rand.Float64())
	call.Deadline = call.Arrived.Add(requestTimeout(route.Timeout, request.Remaining))
	if failure := authenticate(codec, view.Config, call); failure != nil {
		if r.ContentLength != 0 {
			p.boundUnreadBody(call, control)
		}
		return failure
	}
	if !p.admits(call.Deadline) {
		return refuse(result.StepAdmit, result.Draining, minRetryAfter)
	}
	if !route.Resumable {
		call.LastEventID = ""
	}
	if err := control.SetReadDeadline(call.Deadline); err != nil {
		p.Log.Error().Err(err).Str("request-id", logs.ShortID(call.ID)).Msg("time to read a body not bounded")
	}
	if failure := readBody(call, r, view.Config.Limits.BodyBytes); failure != nil {
		return failure
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return badRequest(result.CallerGone, err)
	}
	if call.LastEventID != "" {
		call.resumedAfter = call.LastEventID
		return p.bindResumed(r.Context(), call)
	}
	return nil
}

// authenticate sets the workspace of a request and removes its key. On a public route a key
// that isn't known is ignored.
func authenticate(codec CallerCodec, config *spec.Config, call *Call) *result.Failure {
	key := call.Key
	call.Key = ""
	if !config.NeedsKeys() {
		return nil
	}
	codec.RemoveKey(call.Header)
	workspace, known := config.Authenticate(key)
	call.Workspace = workspace
	if !known && !call.Route.Public {
		return badRequest(result.Unauthorized, errors.Unauthorizedf("request without a key of a workspace"))
	}
	return nil
}

// boundUnreadBody bounds the time for which the server reads and discards the body of a request
// that was answered before its body.
func (p *Proxy) boundUnreadBody(call *Call, control *http.ResponseController) {
	call.bodyUnread = true
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = call.Arrived
	}
	if err := control.SetReadDeadline(deadline); err != nil {
		p.Log.Error().Err(err).Str("request-id", logs.ShortID(call.ID)).Msg("time to read a body not bounded")
	}
}

// requestTimeout returns the shorter of the timeouts that are set.
func requestTimeout(timeout, remaining time.Duration) time.Duration {
	switch {
	case timeout <= 0 && remaining <= 0:
		return defaultTimeout
	case timeout <= 0:
		return remaining
	case remaining <= 0:
		return timeout
	default:
		return min(timeout, remaining)
	}
}

func badRequest(reason result.Reason, err error) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: result.StepIdentify, Reason: reason, Cause: err}
}

// writeError writes the error answer for a request that was not served.
func (p *Proxy) writeError(codec CallerCodec, w http.ResponseWriter, call *Call, f *result.Failure) {
	h := w.Header()
	codec.SetErrorHeaders(h, call.ID)
	status := statusOf(f)
	if f.RetryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error   string `json:"error"`
		Outcome string `json:"outcome"`
		Step    string `json:"step"`
	}{f.Reason.String(), f.Outcome.String(), f.Step.String()})
	if err != nil {
		p.Log.Error().Err(err).Str("request-id", logs.ShortID(call.ID)).Msg("error answer not encoded")
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if call.bodyUnread {
		// The server sends the answer only after the body unless the connection ends with it.
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func statusOf(f *result.Failure) int {
	switch f.Reason {
	case result.BadRequest:
		return http.StatusBadRequest
	case result.UnknownCall:
		return http.StatusNotFound
	case result.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.BodyTooSlow:
		return http.StatusRequestTimeout
	case result.Unauthorized:
		return http.StatusUnauthorized
	case result.WorkspaceLimit:
		return http.StatusTooManyRequests
	}
	switch {
	case f.Outcome == result.NotRun:
		return http.StatusServiceUnavailable
	case f.Reason == result.DeadlinePassed:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
