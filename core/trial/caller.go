package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// requestMix describes the requests of one class.
type requestMix struct {
	class table.Class
	// share is the share of this class in all model requests.
	share float64
	// promptTokens and outputTokens are mean lengths. Drawn lengths lie between half
	// and one and a half times the mean.
	promptTokens int
	outputTokens int
	// timeout is the time after which the caller discards the answer.
	timeout time.Duration
}

var modelMixes = []requestMix{
	{class: table.Quick, share: 0.50, promptTokens: 300, outputTokens: 60, timeout: 10 * time.Second},
	{class: table.Plan, share: 0.35, promptTokens: 2000, outputTokens: 300, timeout: 60 * time.Second},
	{class: table.Session, share: 0.15, promptTokens: 3000, outputTokens: 500, timeout: 120 * time.Second},
}

// serviceMix describes the calls of plain services.
var serviceMix = requestMix{class: table.ServiceCall, outputTokens: 6, timeout: 5 * time.Second}

const (
	// assumedHitRate is the share of prompts that hit a prefix cache, as assumed in the
	// computation of the capacity.
	assumedHitRate = 0.6
	// workspaces and sessions are numbers per region.
	workspaces = 40
	sessions   = 60
	// residentShare is the share of workspaces whose requests may not leave their
	// region.
	residentShare = 0.26
	// popularityExponent is the exponent of the Zipf distribution of requests over
	// workspaces.
	popularityExponent = 0.8
	// maxTries and maxStormTries limit the tries of a caller for one request, the first
	// included.
	maxTries      = 3
	maxStormTries = 6
	// stormRetryDelay is the delay before a retry when the failure states no retry
	// time.
	stormRetryDelay = 100 * time.Millisecond
	// stormArrivalFactor multiplies the arrival rate during a retry storm.
	stormArrivalFactor = 2
	// minRegionDemand is the lowest demand of a region, as a share of the mean over all
	// regions, however small the capacity of the region is.
	minRegionDemand = 0.4
)

// engineTime is the share of an engine's time that a mean request uses when the batch
// is full.
func (m requestMix) engineTime() time.Duration {
	b := batches[models]
	step := b.stepBase + time.Duration(b.slots)*b.stepPerRequest
	prompt := float64(m.promptTokens)
	if m.class != table.Quick {
		prompt *= 1 - cachedShare*assumedHitRate
	}
	chunks := time.Duration(math.Ceil(prompt / chunkTokens))
	return time.Duration(m.outputTokens)*step/time.Duration(b.slots) + chunks*chunkTime
}

// engineCapacity is the number of model requests a second that one engine serves.
func engineCapacity() float64 {
	mean := 0.0
	for _, m := range modelMixes {
		mean += m.share * m.engineTime().Seconds()
	}
	return 1 / mean
}

// serviceCapacity is the number of calls a second that one service replica serves.
func serviceCapacity() float64 {
	b := batches[services]
	return float64(b.slots) / (float64(serviceMix.outputTokens) * b.stepBase.Seconds())
}

// request is a caller's request, over all its tries.
type request struct {
	requestMix
	workspace ident.Workspace
	region    int
	resident  bool
	// inHotWorkspace is set for the most popular workspace.
	inHotWorkspace bool
	affinity       string
	prefix         uint64
	repeatable     bool
	deadline       time.Time
	// firstTryAt and lastTryAt are the start times of the first and of the last try;
	// tries counts the tries.
	firstTryAt time.Time
	lastTryAt  time.Time
	tries      int
	// runs counts how often a replica started to run the request.
	runs int
	// measured is set for requests that are part of the report.
	measured     bool
	firstTokenAt time.Time
}

func (r *request) kind() kind {
	if r.class == table.ServiceCall {
		return services
	}
	return models
}

// residency allows every zone and region, or only the caller's own region.
type residency struct {
	ownRegionOnly bool
}

func (residency) AllowsZone(ident.Zone) bool       { return true }
func (p residency) AllowsRegion(ident.Region) bool { return !p.ownRegionOnly }

func (r *request) residency() residency {
	return residency{ownRegionOnly: r.resident}
}

// job returns the job of a new attempt of the request.
func (r *request) job(class table.Class, policy *table.Policy) *job {
	j := &job{remainingPrompt: r.promptTokens, remainingTokens: r.outputTokens, outputTokens: r.outputTokens, prefix: r.prefix}
	j.priority = policy.Classes[class].Priority
	j.onStart = func() { r.runs++ }
	return j
}

// callers generates the requests of one region.
type callers struct {
	sim    *sim
	region int
	random *rand.Rand
	// cumulativeWeights holds the running sums of the workspaces' popularity.
	cumulativeWeights []float64
}

// startCallers starts the arrivals of every region.
func (s *sim) startCallers() {
	mean := 0.0
	for _, count := range s.options.Engines {
		mean += float64(count) / float64(len(s.options.Engines))
	}
	for i, count := range s.options.Engines {
		g := &callers{sim: s, region: i, random: rand.New(rand.NewPCG(s.options.Seed, uint64(1000+i)))}
		sum := 0.0
		for w := range workspaces {
			sum += math.Pow(float64(w+1), -popularityExponent)
			g.cumulativeWeights = append(g.cumulativeWeights, sum)
		}
		engines := max(float64(count), minRegionDemand*mean)
		g.scheduleArrivals(engines*engineCapacity()*s.options.Load, g.modelRequest)
		g.scheduleArrivals(serviceReplicas*serviceCapacity()*s.options.Load, g.serviceCall)
	}
}

// scheduleArrivals generates requests as a Poisson process with the given mean rate.
func (g *callers) scheduleArrivals(perSecond float64, make func() *request) {
	rate := perSecond
	if g.sim.options.Fault == RetryStorm && g.sim.faultActive() {
		rate *= stormArrivalFactor
	}
	wait := time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	g.sim.after(wait, func() {
		r := make()
		r.measured = g.sim.now.Sub(startTime) >= g.sim.options.Duration/4
		g.sim.report.recordOffered(r)
		g.send(r)
		g.scheduleArrivals(perSecond, make)
	})
}

func (g *callers) modelRequest() *request {
	r := &request{requestMix: g.drawMix(), region: g.region, repeatable: true}
	number := g.drawWorkspace()
	r.workspace = ident.Workspace(fmt.Sprintf("workspace-%d-%d", g.region, number))
	r.inHotWorkspace = number == 0
	r.resident = float64(rank.Score("bound", string(r.workspace))%1000) < residentShare*1000
	r.promptTokens = g.drawLength(r.promptTokens)
	r.outputTokens = g.drawLength(r.outputTokens)
	switch r.class {
	case table.Plan:
		r.affinity = string(r.workspace)
	case table.Session:
		r.affinity = fmt.Sprintf("session-%d-%d", g.region, g.random.IntN(sessions))
	}
	if r.affinity != "" {
		r.prefix = rank.Score("prefix", r.affinity)
	}
	return r
}

// serviceCall returns a call of a plain service. Half of the calls, at random, may not
// be repeated.
func (g *callers) serviceCall() *request {
	r := &request{requestMix: serviceMix, region: g.region, repeatable: g.random.IntN(2) == 0}
	r.workspace = ident.Workspace(fmt.Sprintf("caller-%d-%d", g.region, g.random.IntN(workspaces)))
	r.outputTokens = g.drawLength(r.outputTokens)
	return r
}

func (g *callers) drawMix() requestMix {
	draw := g.random.Float64()
	for _, m := range modelMixes {
		if draw < m.share {
			return m
		}
		draw -= m.share
	}
	return modelMixes[0]
}

func (g *callers) drawWorkspace() int {
	if g.sim.options.Fault == DominantWorkspace && g.region == 0 && g.sim.faultActive() && g.random.IntN(2) == 0 {
		return 0
	}
	draw := g.random.Float64() * g.cumulativeWeights[workspaces-1]
	for i, sum := range g.cumulativeWeights {
		if draw < sum {
			return i
		}
	}
	return workspaces - 1
}

// drawLength draws a length between half and one and a half times the mean.
func (g *callers) drawLength(mean int) int {
	return max(1, mean/2+g.random.IntN(mean+1))
}

// send sends a request to an instance of the region.
func (g *callers) send(r *request) {
	instances := g.sim.instances[g.region]
	n := instances[g.random.IntN(len(instances))]
	if g.sim.options.SkewByWorkspace {
		n = instances[rank.Score("entry", string(r.workspace))%uint64(len(instances))]
	}
	if r.tries == 0 {
		r.firstTryAt = g.sim.now
	}
	r.tries++
	r.lastTryAt = g.sim.now
	r.deadline = r.lastTryAt.Add(r.timeout)
	r.firstTokenAt = time.Time{}
	runs := r.runs
	g.sim.report.recordTry(r)
	h := &handler{instance: n, request: r}
	h.onFirstToken = func() { r.firstTokenAt = g.sim.now }
	h.onDone = func(f *result.Failure) {
		g.sim.report.recordAnswer(g.sim, r, f, r.runs-runs)
		if f != nil {
			g.retryOrAbandon(r, f)
		}
	}
	h.start()
}

// retryOrAbandon decides whether the caller retries after a failure.
func (g *callers) retryOrAbandon(r *request, f *result.Failure) {
	storm := g.sim.options.Fault == RetryStorm
	tries := maxTries
	if storm {
		tries = maxStormTries
	}
	canRetry := f.Outcome == result.NotRun || (r.repeatable && storm)
	if !canRetry || r.tries >= tries {
		g.sim.report.recordAbandoned(r)
		return
	}
	wait := f.RetryAfter
	if g.sim.options.Policy.FixedRetryAfter > 0 {
		wait = g.sim.options.Policy.FixedRetryAfter
	}
	if wait == 0 {
		wait = stormRetryDelay
	}
	g.sim.after(wait, func() { g.send(r) })
}
