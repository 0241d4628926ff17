package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/share"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/unread"
)

// Views returns the current view. View is called once or more for each request, from many
// goroutines.
type Views interface {
	View() *node.View
}

// Limits bounds the resources that one request may use on an instance.
type Limits struct {
	// BodyBytes bounds the size of a request body.
	BodyBytes int
	// BodyTimeout bounds the time in which a caller must send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds one write to a caller or peer that doesn't read.
	WriteTimeout time.Duration
	// KeyedAnswerBytes bounds the response of a call that may run at most once. Such a
	// response is buffered whole before it is sent on.
	KeyedAnswerBytes int
}

// Server holds the dependencies that the filters share. All fields are set before the first
// request and don't change; the values they point to are safe for concurrent use.
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
	// Memory is shared by the bodies of callers' requests; a nil one has no bound.
	Memory *memory.Budget
	// ForwardMemory is shared by the bodies of requests that other instances forward, apart from Memory:
	// these can't give way to callers. A nil one has no bound.
	ForwardMemory *memory.Budget
	// AnswerMemory is shared by answers that are kept whole, and by relayed ones whose callers don't read. A nil
	// one has no bound. EndUnread is its MakeRoom hook.
	AnswerMemory *memory.Budget
	// ViewsCurrent returns false while the views may be stale after a pause of the process.
	// It may be nil.
	ViewsCurrent func() bool

	chain    Next
	inFlight inFlight
	unread   unread.Writes
	// refusalLines bounds the lines about requests that are refused while they are read.
	refusalLines logs.Sampler
}

// Init builds the filter chain. It is called once, before the first request.
func (s *Server) Init() {
	forwarder := &forwarder{server: s}
	s.chain = Chain(
		&readyFilter{server: s},
		&classifyFilter{server: s},
		&drainFilter{server: s},
		&residencyFilter{server: s},
		&deadlineFilter{server: s},
		&bodyFilter{server: s},
		&dedupFilter{server: s, forwarder: forwarder},
		&limitFilter{server: s},
		&admitFilter{server: s},
		&routeFilter{server: s, forwarder: forwarder},
	)
}

// Serve runs a request through the filters, counts it and logs its result.
func (s *Server) Serve(ctx context.Context, call *Call) *result.Failure {
	s.Metrics.InFlight.Add(1)
	defer s.Metrics.InFlight.Add(-1)
	s.inFlight.begin()
	defer s.inFlight.end()
	started := s.Clock.Now()
	f := call.downgradeUnasked(s.chain(ctx, call))
	s.Metrics.CountRequest(f)
	s.log(call, f, s.Clock.Now().Sub(started))
	return f
}

// log writes one line for a request. The line holds no content of the request: neither the
// path, which may hold data, nor the unique part of the key. Refusals that callers may cause in any number are logged
// in part: each is counted by its reason.
func (s *Server) log(call *Call, f *result.Failure, took time.Duration) {
	log := s.Log
	if f != nil && (f.Step == result.StepIdentify || f.Reason == result.UnknownWorkspace) {
		log = log.Sample(&s.refusalLines)
	}
	line := log.Debug()
	if f != nil {
		line = log.Info()
	}
	line = line.Str("request-id", call.ID).
		Str("workspace", logs.ShortID(string(call.Workspace))).
		Str("class", call.Class.String()).
		Str("model", logs.ShortID(string(call.Model))).
		Str("service", logs.ShortID(string(call.Service))).
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
		AnErr("cause", logs.ShortCause(f.Cause)).
		Msg("request not answered")
}

// Random is a seeded random source that is safe for concurrent use. Its zero value is not
// usable; see NewRandom.
type Random struct {
	mu     sync.Mutex
	source *rand.Rand
}

// NewRandom returns a source with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, seed))}
}

// With calls use with the source. The source must not be kept after the call.
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
