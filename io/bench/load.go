package bench

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

const (
	// maxCount and maxDuration bound a load in requests and time.
	maxCount    = 10_000_000
	maxDuration = time.Hour
	maxWorkers  = 10_000
	// defaultPause is the wait before the next try when the answer names none.
	defaultPause = 100 * time.Millisecond
	// maxPause bounds the wait that an answer can ask for.
	maxPause = time.Minute
)

// Load is what to send. Run sends until Count requests were sent or Duration is
// over, whichever comes first.
type Load struct {
	// Entries are asked which entry to use. With Platform set, its directory names
	// them, again when none of them answers. With Direct set, requests go to these
	// engines or services in turn instead, without an entry.
	Entries         []netip.AddrPort
	Platform        netip.AddrPort
	DirectUpstreams []netip.AddrPort

	// Mix gives each class its weight.
	Mix [table.ClassCount]int
	// MaxTokens and PromptBytes are those of one request of the class.
	MaxTokens   [table.ClassCount]int
	PromptBytes [table.ClassCount]int
	Workspaces  []ident.Workspace
	Model       ident.Model
	// Version is sent to engines when Direct is set.
	Version ident.Version
	Service ident.Service
	// Path is that of service calls, which are POSTs.
	Path string
	// SendKeys gives each service call an idempotency key.
	SendKeys bool
	// Repeat sends each keyed call that was answered that many times more, through
	// the advised entries in turn; each answer has to be the first one again.
	Repeat int

	// Workers is the number of requests that run at once.
	Workers int
	// Rate is in requests a second; each is due at a fixed time and its times count
	// from then, also when all workers are busy. Zero sends as fast as the workers
	// can.
	Rate        float64
	MaxRequests int
	MaxDuration time.Duration
	// Timeout bounds one try of one request.
	Timeout time.Duration
	// MaxAttempts bounds the tries of a request; only one that was not run is tried again,
	// after the time that its answer names.
	MaxAttempts int
	// Seed also makes the keys and request ids; 0 draws one.
	Seed uint64
	// Check, when it is set, gets each whole answer with its text kept, and reports
	// whether it is the right one.
	Check func(q *Request, a *Answer) bool
	// OnDone, when it is set, gets the end of each request; the failure is nil for a
	// whole answer. It is called by many goroutines.
	OnDone func(q *Request, a Answer, f *result.Failure)
}

// validate returns a NotValid error for what can't be run.
func (l *Load) validate() error {
	weight := 0
	for class, w := range l.Mix {
		if w < 0 || (w > 0 && table.Class(class) == table.AnyClass) {
			return errors.NotValidf("weight %d of class %s", w, table.Class(class))
		}
		weight += w
	}
	switch {
	case weight == 0:
		return errors.NotValidf("mix without a class")
	case len(l.Entries) == 0 && len(l.DirectUpstreams) == 0 && !l.Platform.IsValid():
		return errors.NotValidf("load without an address")
	case len(l.Workspaces) == 0:
		return errors.NotValidf("load without a workspace")
	case l.Workers <= 0 || l.Workers > maxWorkers:
		return errors.NotValidf("%d workers, which is not 1 to %d,", l.Workers, maxWorkers)
	case l.MaxRequests <= 0 || l.MaxRequests > maxCount:
		return errors.NotValidf("count %d, which is not 1 to %d,", l.MaxRequests, maxCount)
	case l.MaxDuration <= 0 || l.MaxDuration > maxDuration:
		return errors.NotValidf("duration %s, which is not above 0 and up to %s,", l.MaxDuration, maxDuration)
	case l.Rate < 0 || l.Timeout <= 0 || l.MaxAttempts <= 0:
		return errors.NotValidf("negative rate, or timeout or tries not above zero,")
	}
	return nil
}

// run is the state of one load.
type run struct {
	load   *Load
	client *Client
	places places
	seed   uint64
	// next numbers the requests.
	next    atomic.Int64
	started time.Time
	// tallies are shared by several workers each.
	tallies [tallyCount]*tally
	// fillers holds the part of the prompts that is the same for a workspace.
	fillers sync.Map
}

// Run sends the load and reports. It returns a NotValid error for a load that
// can't be run; what answers were like is in the report.
func (l *Load) Run(ctx context.Context, client *Client) (*Report, error) {
	if err := l.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	r := &run{load: l, client: client, seed: l.Seed, started: time.Now()}
	if r.seed == 0 {
		r.seed = rand.Uint64()
	}
	r.places = places{client: client, platform: l.Platform, entries: l.Entries, known: map[ident.Workspace]Advice{}}
	for i := range r.tallies {
		r.tallies[i] = newTally()
	}
	processor := processorTime()
	var workers sync.WaitGroup
	for i := range l.Workers {
		workers.Go(func() { r.work(ctx, uint64(i)) })
	}
	workers.Wait()
	return r.report(time.Since(r.started), processorTime()-processor), nil
}

// work sends requests one after the other until the load is over.
func (r *run) work(ctx context.Context, worker uint64) {
	random := rand.New(rand.NewPCG(r.seed, worker))
	tally := r.tallies[worker%tallyCount]
	for {
		number := r.next.Add(1) - 1
		due, ok := r.waitDue(ctx, number)
		if !ok {
			return
		}
		q := r.request(random, number)
		q.TokenGaps = tally.gaps[q.Class]
		r.serve(ctx, q, number, due, tally)
	}
}

// waitDue waits until the numbered request is due. It returns false when the load
// is over.
func (r *run) waitDue(ctx context.Context, number int64) (time.Time, bool) {
	due := time.Now()
	if r.load.Rate > 0 {
		due = r.started.Add(time.Duration(float64(number) / r.load.Rate * float64(time.Second)))
	}
	if number >= int64(r.load.MaxRequests) || due.Sub(r.started) >= r.load.MaxDuration {
		return due, false
	}
	return due, clock.Sleep(ctx, time.Until(due))
}

// serve sends one request, again if it was not run, and records its end.
func (r *run) serve(ctx context.Context, q *Request, number int64, due time.Time, t *tally) {
	for try := 1; ; try++ {
		begun := time.Now()
		answer, failed := r.try(ctx, q, number)
		if failed == nil {
			t.whole(q.Class, answer, begun.Sub(due))
			r.ended(q, answer, nil)
			return
		}
		final := failed.Outcome != result.NotRun || try >= r.load.MaxAttempts || !r.waitRetry(ctx, q, failed)
		t.failed(q.Class, failed, final)
		if final {
			r.ended(q, answer, failed)
			return
		}
	}
}

// waitRetry waits for the time that the answer names. It returns false when the
// load ends before.
func (r *run) waitRetry(ctx context.Context, q *Request, failed *result.Failure) bool {
	r.places.learn(q.Workspace, failed.Reason)
	wait := failed.RetryAfter
	if wait <= 0 {
		wait = defaultPause
	}
	return clock.Sleep(ctx, min(wait, maxPause))
}

func (r *run) ended(q *Request, a Answer, f *result.Failure) {
	if r.load.OnDone != nil {
		r.load.OnDone(q, a, f)
	}
}

// try sends the request once.
func (r *run) try(ctx context.Context, q *Request, number int64) (Answer, *result.Failure) {
	to, failed := r.address(ctx, q, number)
	if failed != nil {
		return Answer{}, failed
	}
	answer, failed := r.client.Call(ctx, to, q)
	if failed == nil && r.load.Check != nil && !r.load.Check(q, &answer) {
		failed = failure(result.AnswerMismatch, errors.New("the answer is not the request's own"))
	}
	if failed == nil && q.IdempotencyKey != "" {
		failed = r.repeat(ctx, q, &answer)
	}
	return answer, failed
}

// repeat sends a keyed call again and compares the answers. A refusal of a repeat
// doesn't change what is known of the first one.
func (r *run) repeat(ctx context.Context, q *Request, first *Answer) *result.Failure {
	for i := range r.load.Repeat {
		to := r.places.other(q.Workspace, i+1)
		if len(r.load.DirectUpstreams) > 0 || !to.IsValid() {
			return nil
		}
		again, failed := r.client.Call(ctx, to, q)
		if failed == nil && !bytes.Equal(again.Text, first.Text) {
			return failure(result.AnswerMismatch, errors.New("a repeated call got another answer"))
		}
	}
	return nil
}

// address returns where to send the request, and completes its key.
func (r *run) address(ctx context.Context, q *Request, number int64) (netip.AddrPort, *result.Failure) {
	unique := strconv.FormatUint(r.seed, 36) + "-" + strconv.FormatInt(number, 36)
	if len(r.load.DirectUpstreams) > 0 {
		q.RequestID, q.Version = "load-"+unique, r.load.Version
		if r.load.SendKeys {
			q.IdempotencyKey = q.RequestID
		}
		return r.load.DirectUpstreams[number%int64(len(r.load.DirectUpstreams))], nil
	}
	advice, failed := r.places.find(ctx, q.Workspace)
	if failed != nil {
		return netip.AddrPort{}, failed
	}
	if r.load.SendKeys && q.Class == table.ServiceCall {
		if advice.KeyPrefix == "" {
			// An entry that starts or stops advises others and gives out no keys.
			r.places.learn(q.Workspace, result.NotReady)
			return netip.AddrPort{}, &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.NotReady}
		}
		q.IdempotencyKey = advice.KeyPrefix + unique
	}
	return advice.Entries[0].Address, nil
}

// request makes the numbered request.
func (r *run) request(random *rand.Rand, number int64) *Request {
	l := r.load
	q := &Request{
		Workspace: l.Workspaces[random.IntN(len(l.Workspaces))],
		Class:     l.pick(random),
		Timeout:   l.Timeout,
		KeepText:  l.Check != nil || l.Repeat > 0,
	}
	text := r.filler(q.Workspace, l.PromptBytes[q.Class]) + strconv.FormatInt(number, 36)
	if q.Class == table.ServiceCall {
		q.Service, q.Method, q.Path, q.Body = l.Service, http.MethodPost, l.Path, []byte(text)
		return q
	}
	q.Model, q.Prompt, q.MaxTokens = l.Model, text, l.MaxTokens[q.Class]
	if q.Class == table.Session {
		q.Session = string(q.Workspace) + "-" + strconv.Itoa(random.IntN(sessionsPerWorkspace))
	}
	return q
}

// sessionsPerWorkspace is the number of sessions that a workspace's requests share.
const sessionsPerWorkspace = 4

// pick draws a class by its weight.
func (l *Load) pick(random *rand.Rand) table.Class {
	sum := 0
	for _, weight := range l.Mix {
		sum += weight
	}
	left := random.IntN(sum)
	for class, weight := range l.Mix {
		if left < weight {
			return table.Class(class)
		}
		left -= weight
	}
	return table.AnyClass
}

// fillerKey names the common part of some prompts.
type fillerKey struct {
	workspace ident.Workspace
	length    int
}

// filler returns the common part of a workspace's prompts of this length: the
// marker by which the stand-ins know the workspace, then words.
func (r *run) filler(workspace ident.Workspace, length int) string {
	key := fillerKey{workspace, length}
	if text, found := r.fillers.Load(key); found {
		return text.(string)
	}
	text := "[workspace:" + string(workspace) + "] "
	word := "day by day with " + string(workspace) + " "
	text += strings.Repeat(word, max(0, length-len(text))/len(word)+1)
	r.fillers.Store(key, text)
	return text
}
