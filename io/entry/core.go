package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/share"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
)

// Views gives the state that requests are decided on. View is called once for each
// request, from many goroutines.
type Views interface {
	View() *node.View
}

// Limits bounds what a request may take of an instance.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int
	// BodyTimeout bounds the time in which a caller sends its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a caller or peer that doesn't read.
	WriteTimeout time.Duration
	// KeyedAnswerBytes bounds the answer of a call that may run at most once, which
	// is held whole before it is passed on.
	KeyedAnswerBytes int
}

// Server is what the filters share. All fields are set before the first request and
// do not change; what they point to is safe for concurrent use.
type Server struct {
	Self             ident.Incarnation
	Zone             ident.Zone
	Region           ident.Region
	Clock            clock.Clock
	Views            Views
	Links            *link.Pool
	UpstreamClient   *invoke.Client
	Metrics          *metric.Set
	Log              zerolog.Logger
	Limits           Limits
	Records          *Records
	Gates            *Gates
	WorkspaceLimiter *share.Limiter
	RetryBudget      *retry.Budget
	Random           *Random
	// ViewsCurrent is false while the views may be old, since the process stood still. It
	// may be nil.
	ViewsCurrent func() bool

	chain  Next
	flight flight
}

// Init links the filters. It is called once, before the first request.
func (c *Server) Init() {
	forwarder := &forwarder{core: c}
	c.chain = Chain(
		&readyFilter{core: c},
		&classifyFilter{core: c},
		&drainFilter{core: c},
		&residencyFilter{core: c},
		&deadlineFilter{core: c},
		&bodyFilter{core: c},
		&dedupFilter{core: c, forwarder: forwarder},
		&limitFilter{core: c},
		&admitFilter{core: c},
		&routeFilter{core: c, forwarder: forwarder},
	)
}

// Serve passes a request through the filters, counts it and logs how it ended.
func (c *Server) Serve(ctx context.Context, call *Call) *result.Failure {
	c.Metrics.InFlight.Add(1)
	defer c.Metrics.InFlight.Add(-1)
	c.flight.begin()
	defer c.flight.end()
	started := c.Clock.Now()
	f := call.known(c.chain(ctx, call))
	c.Metrics.CountRequest(f)
	c.log(call, f, c.Clock.Now().Sub(started))
	return f
}

// log writes one line for a request. The line names no content: neither the path,
// which may hold data, nor the key's unique part.
func (c *Server) log(call *Call, f *result.Failure, took time.Duration) {
	line := c.Log.Debug()
	if f != nil {
		line = c.Log.Info()
	}
	line = line.Str("request-id", call.ID).
		Str("workspace", string(call.Workspace)).
		Str("class", call.Class.String()).
		Str("model", string(call.Model)).
		Str("service", string(call.Service)).
		Int("hops", len(call.Via.Instances)).
		Int64("took-ms", took.Milliseconds())
	if f == nil {
		line.Str("outcome", result.Done.String()).Str("peer", call.Upstream).Msg("request answered")
		return
	}
	line.Str("outcome", f.Outcome.String()).
		Str("step", f.Step.String()).
		Str("reason", f.Reason.String()).
		Str("peer", f.Peer).
		AnErr("cause", f.Cause).
		Msg("request not answered")
}

// Random is a seeded source that many goroutines may use. Its zero value is not
// usable; see NewRandom.
type Random struct {
	mu     sync.Mutex
	source *rand.Rand
}

// NewRandom returns a source with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, seed))}
}

// With calls use with the source, which must not be kept.
func (r *Random) With(use func(source *rand.Rand)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	use(r.source)
}

// Uint64 returns a random number.
func (r *Random) Uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}
