// Package proxy serves callers' requests according to routes: it matches a route,
// chooses an upstream in this region or another region, makes the attempts that the
// route and the retry budget allow, and streams the answer to the caller.
// Caller-specific headers are parsed and written by a CallerCodec.
package proxy

import (
	"net/http"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/queue"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/intake"
)

// CallerCodec parses and writes the headers that are exchanged with callers.
type CallerCodec interface {
	// ParseRequest parses the head of a request. The error names the part that is
	// invalid.
	ParseRequest(r *http.Request) (Request, error)
	// RemoveKey removes the key of a workspace from the header that is forwarded.
	RemoveKey(h http.Header)
	// SetErrorHeaders sets the headers of an error answer that this instance generates
	// itself.
	SetErrorHeaders(h http.Header, requestID string)
}

// Request holds the values parsed from the head of a caller's request.
type Request struct {
	ID string
	// Remaining is the caller's remaining timeout; zero if the caller sets none.
	Remaining time.Duration
	Model     string
	// PromptTokens and OutputTokens are numbers of tokens; zero for a plain service.
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt, in order.
	Parts []pool.PromptPart
	// LastEventID is the id of the last event of a stream that the caller has received;
	// empty if there is none.
	LastEventID string
	// Resumes is the id of the caller's attempt that brought the first event of the stream
	// that LastEventID is of; empty if the caller names none.
	Resumes string
	// Key is the key of a workspace; empty if the caller sends none, or one in a form that
	// isn't accepted. It is cleared once the workspace is known, and never logged.
	Key string
	// Header is the header that is forwarded to the upstream. It holds no key where
	// callers need keys.
	Header http.Header
}

// Call is a request in progress. It belongs to one goroutine.
type Call struct {
	Request

	Host   string
	Method string
	Target string
	Body   []byte
	Route  *spec.Route
	// Workspace is that of the key; nil where there are no workspaces, or for a request
	// without a key on a public route. Of a relayed request it has the name and the home
	// regions only.
	Workspace *spec.Workspace
	// ConfigVersion is the version of the config that the request is served with from
	// start to end.
	ConfigVersion uint64
	Service       ident.Service
	// Arrived is when the head was read. The answer is useless to the caller after
	// Deadline.
	Arrived  time.Time
	Deadline time.Time

	// sends counts the upstreams that the request was sent to. arrivals counts those
	// that it reached; once there is one, a retry takes from the budget. A request that
	// reached an address which another upstream has taken over counts as an arrival, but
	// not as a send.
	sends    int
	arrivals int
	// tried holds the upstreams that are excluded from further attempts, and visited the
	// regions.
	tried   []ident.Upstream
	visited []ident.Region
	// peersTried holds the instances of the own region that the request was handed to.
	peersTried []ident.Instance
	// connectFailed is set once no connection to an upstream could be opened, probe if the
	// next attempt finds out whether upstreams are reached again, and elsewhere if no
	// instance of the region is known to reach them.
	connectFailed    bool
	probe, elsewhere bool
	// brittleRejections counts the rejections by brittle upstreams.
	brittleRejections int
	// unknownFailure is the first failure after which the request may have run.
	unknownFailure *result.Failure
	// heldAnswer is an upstream's own error answer, which is passed on if no later
	// attempt succeeds.
	heldAnswer *wholeAnswer
	// resumedAfter is the id of the event after which the caller takes up a stream; empty for
	// a new one.
	resumedAfter string
	// streams holds the keys of the streams that are recorded as under way in this request.
	streams []gossip.StreamKey
	// versionBound is set once a part of a stream was passed on, here or in an earlier answer
	// to the caller: it may go on only at upstreams with that version of their software.
	versionBound pool.VersionBound
	// headSent is set once the head of the answer was passed on, and status is the
	// status code in it.
	headSent bool
	status   int
	// memory holds the bytes of the body.
	memory *memory.Share
	// reading is the body while it is read; nil for a request without one.
	reading *intake.Body
	// bodyUnread is set if the request is answered without its body having been read.
	bodyUnread bool
	// evidenceTraits is set by traits.
	evidenceTraits gossip.Traits
	// fingerprintHash is set by fingerprint.
	fingerprintHash uint64
	// peer is the upstream, or the instance in another region, of the last attempt, and
	// upstreamVersion the version of an upstream's software.
	peer            string
	upstreamVersion string
	// upstreamUnproved is set if the instance in another region has told that the version isn't proved.
	upstreamUnproved bool
	// relayed is set if another instance has accepted the request, and unprovedSuffices if that one is
	// content with an upstream whose version isn't proved.
	relayed, unprovedSuffices bool
	// lease is that of the last attempt at an upstream of this region; nil if it went elsewhere.
	lease *pool.Lease
	// waits is set while the request may wait in the queue of this instance, ticket is its
	// place there, and queued the time that it has waited. localFull is set while a request
	// that goes before it waits for an upstream of this region.
	waits     bool
	ticket    *queue.Ticket
	queued    time.Duration
	localFull bool
	// localDelay is the time that requests like this one wait here before they are sent.
	localDelay time.Duration
	// usefulUntil is the latest start with which the answer of such a request is of use.
	usefulUntil time.Time
	// firstByteAt is when the first byte of the answer was passed on.
	firstByteAt time.Time
	// lastPartAt is when the last part of a stream arrived, and longestPause the longest
	// time between two parts.
	lastPartAt   time.Time
	longestPause time.Duration
	// headFraming is the framing that the caller was given with the head of a stream.
	headFraming http1.Framing
	// callerFraming is how the caller learns where the answer ends; FramingUnknown if it has no
	// head, or of a relayed request.
	callerFraming http1.Framing
	// framing is how the sender of the last answer marked its end, and insideEvent
	// whether that answer, a stream, ended inside an event.
	framing     http1.Framing
	insideEvent bool
	// connectionFault is the first error of a call on the connection of the last answer; nil if
	// there was none.
	connectionFault error
	// bodyBytes is the number of body bytes that were passed on.
	bodyBytes int
	// projection is the estimate that the request was sent or refused on, and
	// uncachedTokens the part of the prompt that the upstream was expected to process.
	// cachedTokens is the rest, and cache whether the first event came that fast.
	projection     pool.Projection
	uncachedTokens int
	cachedTokens   int
	cache          pool.CacheVerdict
	// tokensAhead is the number of prompt tokens that waited at the upstream, and
	// inFlight the number of this instance's requests there, including this one.
	tokensAhead gossip.ByPriority[int]
	inFlight    int
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status  int
	header  http.Header
	framing http1.Framing
	body    []byte
	// memory is what the answer holds if it is kept.
	memory *memory.Share
}

// head returns the head that the answer is passed on with.
func (w *wholeAnswer) head() AnswerHead {
	return AnswerHead{Status: w.status, Header: w.header, Framing: w.framing, Length: int64(len(w.body))}
}

// keepAnswer keeps an upstream's own error answer, and the memory that it holds, in place of an
// earlier one.
func (c *Call) keepAnswer(w *wholeAnswer, held **memory.Share) {
	c.releaseAnswer()
	w.memory, *held = *held, nil
	c.heldAnswer = w
}

// releaseAnswer gives back the memory of the answer that is kept.
func (c *Call) releaseAnswer() {
	if c.heldAnswer != nil {
		c.heldAnswer.memory.Release()
	}
}

// recordPart records the arrival of a part of the answer.
func (c *Call) recordPart(now time.Time) {
	if !c.lastPartAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastPartAt))
	}
	c.lastPartAt = now
}

// recordFraming copies the values of an answer, at its end, that are logged.
func (c *Call) recordFraming(a *http1.Answer) {
	c.framing = a.Framing
	c.insideEvent = a.InsideEvent()
	c.connectionFault = a.Fault()
}

// recordLease copies the values of a lease that are logged.
func (c *Call) recordLease(l *pool.Lease) {
	c.uncachedTokens = l.UncachedTokens
	c.cachedTokens = l.CachedTokens
	c.cache = l.Cache
	c.tokensAhead = l.TokensAhead
	c.inFlight = l.InFlight
}

// Priority returns the priority of the request: that of the workspace if it has one, or else
// that of the route. Zero is the most urgent.
func (c *Call) Priority() int {
	if c.Workspace != nil && c.Workspace.HasPriority {
		return c.Workspace.Priority
	}
	return c.Route.Priority
}

// Allows reports whether the request may be served in a region. The home regions of the
// route and those of the workspace both bind.
func (c *Call) Allows(region ident.Region) bool {
	return c.Route.Allows(region) && c.Workspace.Allows(region)
}

// workspaceName returns the name of the workspace; empty if there is none.
func (c *Call) workspaceName() ident.Workspace {
	if c.Workspace == nil {
		return ""
	}
	return c.Workspace.Name
}

// workspaceHomes returns the home regions of the workspace; empty means all.
func (c *Call) workspaceHomes() []ident.Region {
	if c.Workspace == nil {
		return nil
	}
	return c.Workspace.HomeRegions
}

// poolRequest returns the parameters for choosing an upstream.
func (c *Call) poolRequest() pool.Request {
	bound := c.versionBound
	bound.Proved = c.Route.Resumable
	return pool.Request{
		Service:  c.Service,
		Tokens:   c.PromptTokens,
		Parts:    c.Parts,
		Priority: c.Priority(),
		Excluded: c.tried,

		VersionBound:     bound,
		UnprovedSuffices: (!c.relayed || c.unprovedSuffices) && !bound.Bound,
	}
}

// prefixKey identifies the longest prefix of the prompt that other requests may share.
func (c *Call) prefixKey() string {
	shared := c.sharedParts()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// countSend counts a send before its outcome is known.
func (c *Call) countSend() {
	c.sends++
	c.arrivals++
}

// uncountSend reverts countSend if the failure shows that the request didn't reach the
// upstream. A request that reached another upstream at the same address remains an
// arrival.
func (c *Call) uncountSend(f *result.Failure) {
	if f.Outcome != result.NotRun || f.Reason == result.UpstreamRefused {
		return
	}
	c.sends--
	if f.Reason != result.UpstreamLeaving {
		c.arrivals--
	}
}

// recordFailure keeps the first failure whose outcome is unknown.
func (c *Call) recordFailure(f *result.Failure) {
	if f.Outcome == result.Unknown && c.unknownFailure == nil {
		c.unknownFailure = f
	}
}

// finalFailure returns the failure that the request ends with. If an earlier attempt may
// have run, the outcome stays unknown, whatever the outcome of the last attempt.
func (c *Call) finalFailure(f *result.Failure) *result.Failure {
	if f.Outcome != result.NotRun || c.unknownFailure == nil {
		return f
	}
	failure := *c.unknownFailure
	failure.RetryAfter = 0
	return &failure
}

// AnswerHead is the head of an answer that is passed on to a caller.
type AnswerHead struct {
	Status int
	Header http.Header
	// Framing is how the upstream marks the end of the answer. One that ends with its
	// connection is passed on in the same way, since its end proves nothing.
	Framing http1.Framing
	// Length is the length of the body; negative if it is unknown.
	Length int64
}

// Sink receives an answer.
type Sink interface {
	// WriteHead receives the head.
	WriteHead(h AnswerHead) error
	// Write receives a part of the body, which is passed on immediately.
	Write(p []byte) (int, error)
	// Abort makes a write that waits for the caller fail, and later ones. It may be called while
	// another method runs.
	Abort()
}
