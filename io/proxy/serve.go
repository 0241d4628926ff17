package proxy

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/member"
	"arbutustrestle/core/result"
	"arbutustrestle/io/syncer"
)

const (
	// defaultTimeout bounds a request when neither its route nor its caller does.
	defaultTimeout = 30 * time.Second
	// notReadyWait is when callers may come back to an entry that knows no config yet.
	notReadyWait = 400 * time.Millisecond
)

// flight counts the requests that are being served.
type flight struct {
	requests atomic.Int64
	// drain is nil until the entry is told to stop.
	drain atomic.Pointer[DrainSchedule]
}

// InFlight returns the number of requests that are being served.
func (c *Proxy) InFlight() int {
	return int(c.flight.requests.Load())
}

// Drain begins the way to the end: what comes too late to be answered is refused.
func (c *Proxy) Drain(d DrainSchedule) {
	c.flight.drain.Store(&d)
}

// admits reports whether a request that has to be answered by a deadline is taken.
func (c *Proxy) admits(deadline time.Time) bool {
	d := c.flight.drain.Load()
	return d == nil || d.Admits(c.Clock.Now(), deadline)
}

// Handler serves callers. It matches no paths itself: routes do.
func (c *Proxy) Handler(front CallerCodec) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.serve(front, w, r)
	})
}

func (c *Proxy) serve(front CallerCodec, w http.ResponseWriter, r *http.Request) {
	c.flight.requests.Add(1)
	defer c.flight.requests.Add(-1)
	c.Metrics.InFlight.Add(1)
	defer c.Metrics.InFlight.Add(-1)
	view := c.Loop.View()
	if view.Phase >= member.Draining {
		w.Header().Set("Connection", "close")
	}
	call := &Call{Arrived: c.Clock.Now()}
	sink := &httpSink{writer: w, control: http.NewResponseController(w)}
	failure := c.identify(front, view, call, r)
	if failure == nil {
		failure = c.timed(r.Context(), call, sink)
	}
	c.ended(call, failure)
	if failure == nil {
		return
	}
	if call.begun || failure.Reason == result.CallerGone {
		// The connection ends without the end of the answer, so that what was passed on
		// doesn't look whole.
		panic(http.ErrAbortHandler)
	}
	c.answer(front, w, call, failure)
}

// timed serves a request until its deadline.
func (c *Proxy) timed(ctx context.Context, call *Call, sink Sink) *result.Failure {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	c.Budget.CountRequest(c.Clock.Now(), call.Service)
	return c.run(ctx, call, sink)
}

// identify reads the request and finds its route.
func (c *Proxy) identify(front CallerCodec, view *syncer.View, call *Call, r *http.Request) *result.Failure {
	request, err := front.ParseRequest(r)
	call.Request = request
	call.Host = r.Host
	call.Method = r.Method
	call.Target = r.RequestURI
	if err != nil {
		return badRequest(result.BadRequest, err)
	}
	if view.Config == nil {
		return refuse(result.StepAdmit, result.NotReady, notReadyWait)
	}
	route, found := view.Config.Match(r.Host, r.URL.EscapedPath())
	if !found {
		return badRequest(result.UnknownCall, errors.NotFoundf("route of %s", r.Host))
	}
	call.Route = route
	call.ConfigVersion = view.Config.Version
	call.Service = route.PickService(rand.Float64())
	call.Deadline = call.Arrived.Add(lifetime(route.Timeout, request.Remaining))
	if !c.admits(call.Deadline) {
		return refuse(result.StepAdmit, result.Draining, minComeBack)
	}
	if !route.Resumable {
		call.LastEventID = ""
	}
	return readBody(call, r, view.Config.Limits.BodyBytes)
}

// lifetime is the shorter of the two bounds that are set.
func lifetime(timeout, remaining time.Duration) time.Duration {
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

func readBody(call *Call, r *http.Request, limit int64) *result.Failure {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return badRequest(result.BodyTooLarge, errors.Errorf("%d bytes, %d allowed", r.ContentLength, limit))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return badRequest(result.CallerGone, err)
	}
	if int64(len(body)) > limit {
		return badRequest(result.BodyTooLarge, errors.Errorf("more than %d bytes", limit))
	}
	call.Body = body
	return nil
}

// defaultBodyBytes bounds bodies when operators set no bound.
const defaultBodyBytes = 8 << 20

// httpSink passes an answer to a caller.
type httpSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

// WriteHead writes the head.
func (s *httpSink) WriteHead(status int, h http.Header, length int64) error {
	header := s.writer.Header()
	closing := header.Get("Connection")
	RemoveHopByHopHeaders(h)
	for name, values := range h {
		header[name] = values
	}
	if closing != "" {
		header.Set("Connection", closing)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, dated := h["Date"]; !dated {
		header["Date"] = nil
	}
	s.writer.WriteHeader(status)
	return nil
}

// Write writes a part of the body and flushes it.
func (s *httpSink) Write(p []byte) (int, error) {
	n, err := s.writer.Write(p)
	if err != nil {
		return n, errors.Trace(err)
	}
	return n, errors.Trace(s.control.Flush())
}

// answer gives the system's own answer to a request that was not served.
func (c *Proxy) answer(front CallerCodec, w http.ResponseWriter, call *Call, f *result.Failure) {
	h := w.Header()
	front.SetErrorHeaders(h, call.ID)
	status := statusOf(f)
	if status == http.StatusServiceUnavailable && f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error   string `json:"error"`
		Outcome string `json:"outcome"`
		Step    string `json:"step"`
	}{f.Reason.String(), f.Outcome.String(), f.Step.String()})
	if err != nil {
		c.Log.Error().Err(err).Str("request-id", call.ID).Msg("answer not written")
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

// ended counts and logs a request.
func (c *Proxy) ended(call *Call, f *result.Failure) {
	now := c.Clock.Now()
	c.Metrics.Ended(f)
	took := now.Sub(call.Arrived)
	line := c.Log.Info()
	if f != nil && f.Reason != result.CallerGone {
		line = c.Log.Warn()
	}
	line = line.Str("request-id", call.ID).Int64("took-ms", took.Milliseconds()).Str("peer", call.peer)
	if call.Route != nil {
		line = line.Str("route", call.Route.Name).
			Str("service", string(call.Service)).
			Uint64("config-version", call.ConfigVersion).
			Int("sends", call.sends).
			Int64("projected-wait-ms", call.projected.Wait.Milliseconds()).
			Int64("projected-first-ms", call.projected.FirstByte.Milliseconds()).
			Int("prompt-tokens", call.PromptTokens).
			Int("uncached-tokens", call.uncached).
			Ints("tokens-ahead", call.ahead[:]).
			Int("in-flight-there", call.inFlight).
			Int64("left-ms", call.Deadline.Sub(now).Milliseconds())
		c.noteTimes(call, took)
	}
	if !call.first.IsZero() {
		line = line.Int("status", call.status).Int64("first-ms", call.first.Sub(call.Arrived).Milliseconds()).Int("bytes", call.bytes).Int64("longest-pause-ms", call.pause.Milliseconds())
	}
	if f == nil {
		line.Str("outcome", result.Done.String()).Msg("request answered")
		return
	}
	line.Str("outcome", f.Outcome.String()).
		Str("step", f.Step.String()).
		Str("reason", f.Reason.String()).
		Int64("retry-after-ms", f.RetryAfter.Milliseconds()).
		Bool("begun", call.begun).
		AnErr("cause", f.Cause).
		Msg("request not answered")
}

// noteTimes records the times of a request that found its route.
func (c *Proxy) noteTimes(call *Call, took time.Duration) {
	kind := call.Route.Kind
	c.Latencies.note(wholeRequest, kind, took)
	if !call.first.IsZero() {
		c.Latencies.note(firstByte, kind, call.first.Sub(call.Arrived))
	}
	if call.pause > 0 {
		c.Latencies.note(longestPause, kind, call.pause)
	}
}
