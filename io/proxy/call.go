// Package proxy serves callers' requests by routes: it matches a route, chooses an
// upstream of the own region or another region, makes the attempts that the route and
// the budget allow, and passes the answer on. It speaks to callers through a Front.
package proxy

import (
	"net/http"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
)

// CallerCodec reads and writes the headers in which callers speak of their requests.
type CallerCodec interface {
	// ParseRequest returns what the head of a request says. The error names what can't be read.
	ParseRequest(r *http.Request) (Request, error)
	// SetErrorHeaders adds to the header of an answer that the system itself gives.
	SetErrorHeaders(h http.Header, requestID string)
}

// Request is what the head of a caller's request says.
type Request struct {
	ID string
	// Remaining is how long the caller waits; zero when it doesn't say.
	Remaining time.Duration
	Model     string
	// PromptTokens and Output are numbers of tokens; zero for a plain service.
	PromptTokens int
	OutputTokens int
	// Parts are those of the prompt, in order.
	Parts []pool.PromptPart
	// LastEventID is the last event that the caller has of a stream; empty for none.
	LastEventID string
	// Header is what goes on to the upstream.
	Header http.Header
}

// Call is a request on its way. It belongs to one goroutine.
type Call struct {
	Request

	Host   string
	Method string
	Target string
	Body   []byte
	Route  *spec.Route
	// ConfigVersion is that of the config by which the request is served, start to end.
	ConfigVersion uint64
	Service       ident.Service
	// Arrived is when its head was read, Deadline when its answer is of no more use.
	Arrived  time.Time
	Deadline time.Time

	// sends counts the upstreams that the request was sent to, arrivals those where it
	// arrived, which counts against the budget: another upstream may have the address
	// by now.
	sends    int
	arrivals int
	// tried holds the upstreams that are not asked again, and visited the regions.
	tried   []ident.Upstream
	visited []ident.Region
	// unknown is the first failure after which the request may have run.
	unknown *result.Failure
	// held is an upstream's own failure that is passed on if nothing better comes.
	held *whole
	// begun is set once the head of the answer was passed on, with a status.
	begun  bool
	status int
	// peer is the upstream, or the entry of another region, that was asked last.
	peer string
	// first is when the first byte of the answer was passed on.
	first time.Time
	// last is when a part of a stream last came, and pause the longest time between two.
	last  time.Time
	pause time.Duration
	// bytes counts those of the answer that were passed on.
	bytes int
	// projected is what the request was sent or refused on, and uncached the part of its
	// prompt that was expected to be read.
	projected pool.Projection
	uncached  int
	// ahead is the prompt tokens that waited at the upstream, and inFlight the requests
	// of this entry there, this one included.
	ahead    gossip.ByPriority[int]
	inFlight int
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// heard notes that a part of the answer has come.
func (c *Call) heard(now time.Time) {
	if !c.last.IsZero() {
		c.pause = max(c.pause, now.Sub(c.last))
	}
	c.last = now
}

// lease notes what a lease says of the upstream, for the log.
func (c *Call) lease(l *pool.Lease) {
	c.uncached = l.UncachedTokens
	c.ahead = l.TokensAhead
	c.inFlight = l.InFlight
}

// ask returns what the choice of an upstream has to know.
func (c *Call) ask() pool.Request {
	return pool.Request{
		Service:  c.Service,
		Tokens:   c.PromptTokens,
		Parts:    c.Parts,
		Priority: c.Route.Priority,
		Excluded: c.tried,
	}
}

// subject returns the longest shared start of the prompt: all but the last part, which
// is the request's own.
func (c *Call) subject() string {
	if len(c.Parts) < 2 {
		return ""
	}
	return c.Parts[len(c.Parts)-2].ID
}

// count notes that the request is sent.
func (c *Call) count() {
	c.sends++
	c.arrivals++
}

// uncount takes back what count noted when the request has not reached the upstream.
func (c *Call) uncount(f *result.Failure) {
	if f.Outcome != result.NotRun || f.Reason == result.UpstreamRefused {
		return
	}
	c.sends--
	if f.Reason != result.UpstreamLeaving {
		c.arrivals--
	}
}

// note keeps what a failed attempt leaves unknown.
func (c *Call) note(f *result.Failure) {
	if f.Outcome == result.Unknown && c.unknown == nil {
		c.unknown = f
	}
}

// final returns the failure to end the request with: what an earlier attempt left
// unknown stays unknown, whatever is known of the last one.
func (c *Call) final(f *result.Failure) *result.Failure {
	if f.Outcome != result.NotRun || c.unknown == nil {
		return f
	}
	failure := *c.unknown
	failure.RetryAfter = 0
	return &failure
}

// Sink takes an answer.
type Sink interface {
	// WriteHead takes the head; the length is negative when it isn't known.
	WriteHead(status int, h http.Header, length int64) error
	// Write takes a part of the body, which is passed on at once.
	Write(p []byte) (int, error)
}
