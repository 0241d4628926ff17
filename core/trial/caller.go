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

// mix describes the requests of one class.
type mix struct {
	class table.Class
	// part is the part of all model requests.
	part float64
	// prompt and tokens are mean lengths; those drawn lie between half and one and a
	// half of them.
	prompt int
	tokens int
	// timeout is when the answer is of no more use.
	timeout time.Duration
}

var mixes = []mix{
	{class: table.Quick, part: 0.50, prompt: 300, tokens: 60, timeout: 10 * time.Second},
	{class: table.Plan, part: 0.35, prompt: 2000, tokens: 300, timeout: 60 * time.Second},
	{class: table.Session, part: 0.15, prompt: 3000, tokens: 500, timeout: 120 * time.Second},
}

// serviceMix is of the calls of plain services.
var serviceMix = mix{class: table.ServiceCall, tokens: 6, timeout: 5 * time.Second}

const (
	// warmHits is the part of prompts that is assumed to be found in a cache, for
	// working out the capacity.
	warmHits = 0.6
	// workspaces and sessions are per region.
	workspaces = 40
	sessions   = 60
	// boundPart of the workspaces may not leave their region.
	boundPart = 0.26
	// popularity is the exponent by which workspaces differ in use.
	popularity = 0.8
	// politeTries and stormTries bound how often a caller asks for the same thing.
	politeTries = 3
	stormTries  = 6
	// stormPause is the pause of callers that weren't told when to come back.
	stormPause = 100 * time.Millisecond
	// stormFactor multiplies the arrivals of a retry storm.
	stormFactor = 2
	// smallRegion is the least part of the mean that a region's callers ask for,
	// however small its capacity is.
	smallRegion = 0.4
)

// engineTime is the time of an engine that a mean request takes when the batch is
// full.
func (m mix) engineTime() time.Duration {
	b := batches[models]
	step := b.base + time.Duration(b.slots)*b.perRequest
	prompt := float64(m.prompt)
	if m.class != table.Quick {
		prompt *= 1 - cachedPart*warmHits
	}
	reads := time.Duration(math.Ceil(prompt / chunkTokens))
	return time.Duration(m.tokens)*step/time.Duration(b.slots) + reads*chunkTime
}

// capacity is the number of model requests a second that one engine serves.
func capacity() float64 {
	mean := 0.0
	for _, m := range mixes {
		mean += m.part * m.engineTime().Seconds()
	}
	return 1 / mean
}

// serviceCapacity is the number of calls a second that one service replica serves.
func serviceCapacity() float64 {
	b := batches[services]
	return float64(b.slots) / (float64(serviceMix.tokens) * b.base.Seconds())
}

// request is what a caller asks for, perhaps more than once.
type request struct {
	mix
	workspace ident.Workspace
	region    int
	bound     bool
	// hot is set for the most popular workspace.
	hot        bool
	affinity   string
	prefix     uint64
	repeatable bool
	deadline   time.Time
	// began is when the first try began and asked when the last one did; tries counts
	// them.
	began time.Time
	asked time.Time
	tries int
	// runs counts how often a replica began to run it.
	runs int
	// measured requests are part of the report.
	measured bool
	firstAt  time.Time
}

func (r *request) kind() kind {
	if r.class == table.ServiceCall {
		return services
	}
	return models
}

// places allows everything, or the own region only.
type places struct {
	bound bool
}

func (places) AllowsZone(ident.Zone) bool       { return true }
func (p places) AllowsRegion(ident.Region) bool { return !p.bound }

func (r *request) places() places {
	return places{bound: r.bound}
}

// job makes an attempt of the request.
func (r *request) job(class table.Class, policy *table.Policy) *job {
	j := &job{prompt: r.prompt, tokens: r.tokens, length: r.tokens, prefix: r.prefix}
	j.priority = policy.Classes[class].Priority
	j.started = func() { r.runs++ }
	return j
}

// region is the callers of one region.
type region struct {
	sim    *sim
	number int
	random *rand.Rand
	// weights adds up the popularity of the workspaces.
	weights []float64
}

// startCallers begins the arrivals of every region.
func (s *sim) startCallers() {
	mean := 0.0
	for _, count := range s.options.Engines {
		mean += float64(count) / float64(len(s.options.Engines))
	}
	for i, count := range s.options.Engines {
		g := &region{sim: s, number: i, random: rand.New(rand.NewPCG(s.options.Seed, uint64(1000+i)))}
		sum := 0.0
		for w := range workspaces {
			sum += math.Pow(float64(w+1), -popularity)
			g.weights = append(g.weights, sum)
		}
		engines := max(float64(count), smallRegion*mean)
		g.arrive(engines*capacity()*s.options.Load, g.modelRequest)
		g.arrive(serviceReplicas*serviceCapacity()*s.options.Load, g.serviceCall)
	}
}

// arrive makes requests at random times, so many a second in the mean.
func (g *region) arrive(perSecond float64, make func() *request) {
	rate := perSecond
	if g.sim.options.Fault == RetryStorm && g.sim.faulty() {
		rate *= stormFactor
	}
	wait := time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
	g.sim.after(wait, func() {
		r := make()
		r.measured = g.sim.now.Sub(begin) >= g.sim.options.Duration/4
		g.sim.report.offered(r)
		g.ask(r)
		g.arrive(perSecond, make)
	})
}

func (g *region) modelRequest() *request {
	r := &request{mix: g.drawMix(), region: g.number, repeatable: true}
	number := g.drawWorkspace()
	r.workspace = ident.Workspace(fmt.Sprintf("workspace-%d-%d", g.number, number))
	r.hot = number == 0
	r.bound = float64(rank.Score("bound", string(r.workspace))%1000) < boundPart*1000
	r.prompt = g.around(r.prompt)
	r.tokens = g.around(r.tokens)
	switch r.class {
	case table.Plan:
		r.affinity = string(r.workspace)
	case table.Session:
		r.affinity = fmt.Sprintf("session-%d-%d", g.number, g.random.IntN(sessions))
	}
	if r.affinity != "" {
		r.prefix = rank.Score("prefix", r.affinity)
	}
	return r
}

// serviceCall makes a call of a plain service; every other one may not be repeated.
func (g *region) serviceCall() *request {
	r := &request{mix: serviceMix, region: g.number, repeatable: g.random.IntN(2) == 0}
	r.workspace = ident.Workspace(fmt.Sprintf("caller-%d-%d", g.number, g.random.IntN(workspaces)))
	r.tokens = g.around(r.tokens)
	return r
}

func (g *region) drawMix() mix {
	at := g.random.Float64()
	for _, m := range mixes {
		if at < m.part {
			return m
		}
		at -= m.part
	}
	return mixes[0]
}

func (g *region) drawWorkspace() int {
	if g.sim.options.Fault == DominantWorkspace && g.number == 0 && g.sim.faulty() && g.random.IntN(2) == 0 {
		return 0
	}
	at := g.random.Float64() * g.weights[workspaces-1]
	for i, sum := range g.weights {
		if at < sum {
			return i
		}
	}
	return workspaces - 1
}

// around draws a length between half and one and a half of the mean.
func (g *region) around(mean int) int {
	return max(1, mean/2+g.random.IntN(mean+1))
}

// ask sends a request to an entry of the region.
func (g *region) ask(r *request) {
	entries := g.sim.entries[g.number]
	n := entries[g.random.IntN(len(entries))]
	if g.sim.options.SkewByWorkspace {
		n = entries[rank.Score("entry", string(r.workspace))%uint64(len(entries))]
	}
	if r.tries == 0 {
		r.began = g.sim.now
	}
	r.tries++
	r.asked = g.sim.now
	r.deadline = r.asked.Add(r.timeout)
	r.firstAt = time.Time{}
	runs := r.runs
	g.sim.report.asked(r)
	v := &visit{entry: n, request: r}
	v.first = func() { r.firstAt = g.sim.now }
	v.done = func(f *result.Failure) {
		g.sim.report.answered(g.sim, r, f, r.runs-runs)
		if f != nil {
			g.failed(r, f)
		}
	}
	v.begin()
}

// failed decides whether the caller asks again.
func (g *region) failed(r *request, f *result.Failure) {
	storm := g.sim.options.Fault == RetryStorm
	tries := politeTries
	if storm {
		tries = stormTries
	}
	mayAsk := f.Outcome == result.NotRun || (r.repeatable && storm)
	if !mayAsk || r.tries >= tries {
		g.sim.report.gaveUp(r)
		return
	}
	wait := f.RetryAfter
	if g.sim.options.Policy.FixedRetryAfter > 0 {
		wait = g.sim.options.Policy.FixedRetryAfter
	}
	if wait == 0 {
		wait = stormPause
	}
	g.sim.after(wait, func() { g.ask(r) })
}
