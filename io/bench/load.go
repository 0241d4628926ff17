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
	// maxRequests and maxDuration bound a load.
	maxRequests = 10_000_000
	maxDuration = time.Hour
	maxWorkers  = 10_000
	// defaultRetryDelay is the delay before a retry if the answer gives none.
	defaultRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the retry delay that an answer can request.
	maxRetryDelay = time.Minute
)

// Load describes the requests to send. Run sends requests until MaxRequests were sent or
// MaxDuration has passed, whichever comes first.
type Load struct {
	// Entries lists the instances to ask for advice. With Platform set, the list is
	// replaced by the platform's directory whenever none of them responds. With
	// DirectUpstreams set, requests go round-robin to these engines or services instead,
	// without an entry instance.
	Entries         []netip.AddrPort
	Platform        netip.AddrPort
	DirectUpstreams []netip.AddrPort

	// Mix is the weight of each class.
	Mix [table.ClassCount]int
	// MaxTokens and PromptBytes apply to each request of the class.
	MaxTokens   [table.ClassCount]int
	PromptBytes [table.ClassCount]int
	Workspaces  []ident.Workspace
	Model       ident.Model
	// Version is sent to engines with DirectUpstreams set.
	Version ident.Version
	Service ident.Service
	// Path is the path of service calls, which use POST.
	Path string
	// SendKeys adds an idempotency key to each service call.
	SendKeys bool
	// Repeat is the number of times that each successful call with a key is sent again,
	// to the advised instances round-robin. Each answer must equal the first one. It has
	// no effect with DirectUpstreams.
	Repeat int

	// Workers is the number of concurrent requests.
	Workers int
	// Rate is in requests per second. Each request is due at a fixed time, and its
	// latency counts from then even if all workers are busy. With zero, the workers send
	// as fast as they can.
	Rate        float64
	MaxRequests int
	MaxDuration time.Duration
	// Timeout bounds one attempt.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of a request. Only a request that was not run is
	// retried, after the delay that its answer gives.
	MaxAttempts int
	// Seed also determines the idempotency keys and request ids; 0 selects a random seed.
	Seed uint64
	// Check is optional. It receives each complete answer with its text and reports
	// whether the answer is correct.
	Check func(q *Request, a *Answer) bool
	// OnDone is optional. It is called at the end of each request; the failure is nil if
	// the answer is complete. It must be safe for concurrent use.
	OnDone func(q *Request, a Answer, f *result.Failure)
}

// validate returns a NotValid error for a load that cannot be run.
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
		return errors.NotValidf("%d workers (allowed: 1 to %d)", l.Workers, maxWorkers)
	case l.MaxRequests <= 0 || l.MaxRequests > maxRequests:
		return errors.NotValidf("count %d (allowed: 1 to %d)", l.MaxRequests, maxRequests)
	case l.MaxDuration <= 0 || l.MaxDuration > maxDuration:
		return errors.NotValidf("duration %s (allowed: above 0, up to %s)", l.MaxDuration, maxDuration)
	case l.Rate < 0 || l.Timeout <= 0 || l.MaxAttempts <= 0:
		return errors.NotValidf("load with a negative rate, or a timeout or tries of zero or less,")
	}
	return nil
}

// run is the state of one execution of a load.
type run struct {
	load       *Load
	client     *Client
	entryCache entryCache
	seed       uint64
	// nextRequest is the number of the next request.
	nextRequest atomic.Int64
	started     time.Time
	// tallies are each shared by several workers.
	tallies [tallyCount]*tally
	// fillers caches the common part of the prompts by fillerKey.
	fillers sync.Map
}

// Run sends the load and returns the report, which includes failed requests. It returns a
// NotValid error for a load that cannot be run.
func (l *Load) Run(ctx context.Context, client *Client) (*Report, error) {
	if err := l.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	r := &run{load: l, client: client, seed: l.Seed, started: time.Now()}
	if r.seed == 0 {
		r.seed = rand.Uint64()
	}
	r.entryCache = entryCache{client: client, platform: l.Platform, entries: l.Entries, advice: map[ident.Workspace]Advice{}}
	for i := range r.tallies {
		r.tallies[i] = newTally()
	}
	cpuStart := cpuTime()
	var workers sync.WaitGroup
	for i := range l.Workers {
		workers.Go(func() { r.work(ctx, uint64(i)) })
	}
	workers.Wait()
	return r.report(time.Since(r.started), cpuTime()-cpuStart), nil
}

// work sends requests sequentially until the load ends.
func (r *run) work(ctx context.Context, worker uint64) {
	random := rand.New(rand.NewPCG(r.seed, worker))
	tally := r.tallies[worker%tallyCount]
	for {
		number := r.nextRequest.Add(1) - 1
		due, ok := r.waitDue(ctx, number)
		if !ok {
			return
		}
		q := r.request(random, number)
		q.TokenGaps = tally.tokenGaps[q.Class]
		r.sendWithRetries(ctx, q, number, due, tally)
	}
}

// waitDue waits until the request with this number is due. It returns false if the load
// has ended.
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

// sendWithRetries sends one request, retries it while it was not run, and records the
// result.
func (r *run) sendWithRetries(ctx context.Context, q *Request, number int64, due time.Time, t *tally) {
	for attempt := 1; ; attempt++ {
		sentAt := time.Now()
		answer, failed := r.attempt(ctx, q, number)
		if failed == nil {
			t.recordComplete(q.Class, answer, sentAt.Sub(due))
			r.notifyDone(q, answer, nil)
			return
		}
		final := failed.Outcome != result.NotRun || attempt >= r.load.MaxAttempts || !r.waitRetry(ctx, q, failed)
		t.recordFailure(q.Class, failed, final)
		if final {
			r.notifyDone(q, answer, failed)
			return
		}
	}
}

// waitRetry waits for the retry delay of the answer. It returns false if the context ends
// first.
func (r *run) waitRetry(ctx context.Context, q *Request, failed *result.Failure) bool {
	r.entryCache.invalidate(q.Workspace, failed.Reason)
	delay := failed.RetryAfter
	if delay <= 0 {
		delay = defaultRetryDelay
	}
	return clock.Sleep(ctx, min(delay, maxRetryDelay))
}

func (r *run) notifyDone(q *Request, a Answer, f *result.Failure) {
	if r.load.OnDone != nil {
		r.load.OnDone(q, a, f)
	}
}

// attempt sends the request once.
func (r *run) attempt(ctx context.Context, q *Request, number int64) (Answer, *result.Failure) {
	to, failed := r.target(ctx, q, number)
	if failed != nil {
		return Answer{}, failed
	}
	answer, failed := r.client.Call(ctx, to, q)
	if failed == nil && r.load.Check != nil && !r.load.Check(q, &answer) {
		failed = failure(result.AnswerMismatch, errors.New("the answer failed the check"))
	}
	if failed == nil && q.IdempotencyKey != "" {
		failed = r.checkRepeats(ctx, q, &answer)
	}
	return answer, failed
}

// checkRepeats sends a call with a key again and compares the answers. A refused repeat
// does not change the outcome of the first call.
func (r *run) checkRepeats(ctx context.Context, q *Request, first *Answer) *result.Failure {
	for i := range r.load.Repeat {
		to := r.entryCache.alternative(q.Workspace, i+1)
		if len(r.load.DirectUpstreams) > 0 || !to.IsValid() {
			return nil
		}
		repeated, failed := r.client.Call(ctx, to, q)
		if failed == nil && !bytes.Equal(repeated.Text, first.Text) {
			return failure(result.AnswerMismatch, errors.New("a repeated call returned a different answer"))
		}
	}
	return nil
}

// target returns the address to send the request to, and sets the request's idempotency
// key.
func (r *run) target(ctx context.Context, q *Request, number int64) (netip.AddrPort, *result.Failure) {
	suffix := strconv.FormatUint(r.seed, 36) + "-" + strconv.FormatInt(number, 36)
	if len(r.load.DirectUpstreams) > 0 {
		q.RequestID, q.Version = "load-"+suffix, r.load.Version
		if r.load.SendKeys {
			q.IdempotencyKey = q.RequestID
		}
		return r.load.DirectUpstreams[number%int64(len(r.load.DirectUpstreams))], nil
	}
	advice, failed := r.entryCache.find(ctx, q.Workspace)
	if failed != nil {
		return netip.AddrPort{}, failed
	}
	if r.load.SendKeys && q.Class == table.ServiceCall {
		if advice.KeyPrefix == "" {
			// An instance that is starting or stopping returns advice without a key
			// prefix.
			r.entryCache.invalidate(q.Workspace, result.NotReady)
			return netip.AddrPort{}, &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.NotReady}
		}
		q.IdempotencyKey = advice.KeyPrefix + suffix
	}
	return advice.Entries[0].Address, nil
}

// request builds the request with this number.
func (r *run) request(random *rand.Rand, number int64) *Request {
	l := r.load
	q := &Request{
		Workspace: l.Workspaces[random.IntN(len(l.Workspaces))],
		Class:     l.pickClass(random),
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

// sessionsPerWorkspace is the number of sessions among which a workspace's requests are
// distributed.
const sessionsPerWorkspace = 4

// pickClass returns a random class according to the weights.
func (l *Load) pickClass(random *rand.Rand) table.Class {
	sum := 0
	for _, weight := range l.Mix {
		sum += weight
	}
	remaining := random.IntN(sum)
	for class, weight := range l.Mix {
		if remaining < weight {
			return table.Class(class)
		}
		remaining -= weight
	}
	return table.AnyClass
}

// fillerKey identifies the common part of a set of prompts.
type fillerKey struct {
	workspace ident.Workspace
	length    int
}

// filler returns the common part of a workspace's prompts of this length: the marker by
// which the stand-ins identify the workspace, then repeated words.
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
