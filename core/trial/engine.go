package trial

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
)

// kind is the kind of work that a replica runs.
type kind int

const (
	models kind = iota
	services

	kindCount
)

// batch describes the speed of the replicas of a kind.
type batch struct {
	// slots is the number of requests in one batch.
	slots int
	// stepBase is the fixed time of a step; stepPerRequest is added for each decoding
	// request.
	stepBase       time.Duration
	stepPerRequest time.Duration
}

// batches gives model engines 44 ms a step when the batch is full. A call of a plain
// service is a request of a few steps without a prompt.
var batches = [kindCount]batch{
	models:   {slots: 8, stepBase: 24 * time.Millisecond, stepPerRequest: 2500 * time.Microsecond},
	services: {slots: 2, stepBase: 30 * time.Millisecond},
}

const (
	// chunkTokens is the number of prompt tokens, of one request, that a step prefills.
	// Such a step takes chunkTime longer.
	chunkTokens = 192
	chunkTime   = 21 * time.Millisecond
	// cachedShare is the share of a prompt that needs no prefill when its prefix is
	// cached.
	cachedShare = 0.8
	// cacheSize is the number of prefixes that an engine keeps.
	cacheSize = 16
	// maxQueued is the number of requests that may wait at an engine.
	maxQueued = 32
	// coldFactor multiplies the time of the first step after a restart. The factor
	// decreases linearly to 1 over coldDuration.
	coldFactor   = 4
	coldDuration = 10 * time.Second
	// priorities is the number of priorities; 0 is served first.
	priorities = 10
)

// job is one attempt at an engine.
type job struct {
	remainingPrompt int
	// remainingTokens is the number of output tokens that are still to be generated.
	remainingTokens int
	outputTokens    int
	prefix          uint64
	priority        int
	// cancelled jobs are dropped at the next step.
	cancelled bool
	prefilled bool
	streamed  bool
	// onFirstToken and onEnd are called at most once each, onEnd last.
	onFirstToken func()
	onEnd        func(load.AttemptResult)
	// onStart is called when the job enters the batch.
	onStart func()
}

// engine simulates a replica with continuous batching.
type engine struct {
	id     ident.Upstream
	sim    *sim
	region int
	kind   kind
	// slowdown multiplies the time of each step.
	slowdown float64
	refusing bool
	// failing engines fail half of their requests, at random, after the last token.
	failing bool
	down    bool
	running []*job
	waiting [priorities][]*job
	queued  int
	// cache holds the cached prefixes, the most recent last.
	cache    []uint64
	stepping bool
	// generated counts the tokens of the current second.
	generated int
	// tokensPerSecond is the token rate of the last full second.
	tokensPerSecond float64
	// busyTime is the time spent in steps.
	busyTime time.Duration
	// generation counts the restarts, so that steps from before a restart have no
	// effect.
	generation int
	// restartedAt is the time of the last restart, zero if there was none.
	restartedAt time.Time
}

// enqueue adds a job to the queue. It returns false if the engine refuses the job, of
// which nothing has run then.
func (e *engine) enqueue(j *job) bool {
	if e.down || e.refusing || e.queued >= maxQueued {
		return false
	}
	e.waiting[j.priority] = append(e.waiting[j.priority], j)
	e.queued++
	if !e.stepping {
		e.step()
	}
	return true
}

// step starts one step of the batch, and the next one when it ends.
func (e *engine) step() {
	e.dropCancelled()
	e.fillBatch()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	decoding := 0
	var prefilling *job
	for _, j := range e.running {
		switch {
		case j.prefilled:
			decoding++
		case prefilling == nil:
			prefilling = j
		}
	}
	b := batches[e.kind]
	stepTime := b.stepBase + time.Duration(decoding)*b.stepPerRequest
	if prefilling != nil {
		stepTime += chunkTime
	}
	stepTime = time.Duration(float64(stepTime) * e.slowdown * e.coldMultiplier())
	generation := e.generation
	e.sim.after(stepTime, func() {
		if generation != e.generation {
			return
		}
		e.busyTime += stepTime
		e.finishStep(prefilling)
		e.step()
	})
}

// coldMultiplier is the ratio of the present step time to that of a warm engine.
func (e *engine) coldMultiplier() float64 {
	if e.restartedAt.IsZero() {
		return 1
	}
	remaining := 1 - float64(e.sim.now.Sub(e.restartedAt))/float64(coldDuration)
	return 1 + (coldFactor-1)*max(0, remaining)
}

// finishStep generates a token for each decoding job and prefills one chunk of one job.
func (e *engine) finishStep(prefilling *job) {
	kept := e.running[:0]
	for _, j := range e.running {
		if j == prefilling {
			e.readPrompt(j)
		}
		if j.prefilled && !j.cancelled {
			e.generateToken(j)
		}
		if j.remainingTokens > 0 {
			kept = append(kept, j)
		}
	}
	e.running = kept
}

func (e *engine) readPrompt(j *job) {
	j.remainingPrompt -= chunkTokens
	if j.remainingPrompt > 0 {
		return
	}
	j.prefilled = true
	if j.prefix != 0 {
		e.storePrefix(j.prefix)
	}
}

func (e *engine) generateToken(j *job) {
	j.remainingTokens--
	e.generated++
	if !j.streamed && e.kind == models {
		j.streamed = true
		j.onFirstToken()
	}
	if j.remainingTokens > 0 {
		return
	}
	if e.failing && e.sim.random.IntN(2) == 0 {
		j.onEnd(load.Failed)
		return
	}
	j.onEnd(load.Answered)
}

// dropCancelled removes cancelled jobs from the batch.
func (e *engine) dropCancelled() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.cancelled {
			kept = append(kept, j)
		}
	}
	e.running = kept
}

// fillBatch moves queued jobs into the batch, by priority.
func (e *engine) fillBatch() {
	for p := range e.waiting {
		for len(e.waiting[p]) > 0 && len(e.running) < batches[e.kind].slots {
			j := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			e.queued--
			if j.cancelled {
				continue
			}
			if e.isCached(j.prefix) {
				j.remainingPrompt = int(float64(j.remainingPrompt) * (1 - cachedShare))
			}
			j.onStart()
			j.prefilled = j.remainingPrompt == 0
			e.running = append(e.running, j)
		}
	}
}

func (e *engine) isCached(prefix uint64) bool {
	for _, p := range e.cache {
		if p == prefix {
			return prefix != 0
		}
	}
	return false
}

// storePrefix adds a prefix to the cache as the most recent one and publishes cache
// events, which arrive late and may be lost.
func (e *engine) storePrefix(prefix uint64) {
	for i, p := range e.cache {
		if p == prefix {
			copy(e.cache[i:], e.cache[i+1:])
			e.cache[len(e.cache)-1] = prefix
			return
		}
	}
	if len(e.cache) >= cacheSize {
		e.sim.cacheEvent(e, e.cache[0], false)
		copy(e.cache, e.cache[1:])
		e.cache = e.cache[:len(e.cache)-1]
	}
	e.cache = append(e.cache, prefix)
	e.sim.cacheEvent(e, prefix, true)
}

// stop fails all jobs and empties the cache.
func (e *engine) stop() {
	e.down = true
	e.generation++
	e.stepping = false
	jobs := e.running
	for p := range e.waiting {
		jobs = append(jobs, e.waiting[p]...)
		e.waiting[p] = nil
	}
	e.running = nil
	e.queued = 0
	e.cache = nil
	for _, j := range jobs {
		if !j.cancelled {
			j.onEnd(load.Failed)
		}
	}
}

func (e *engine) start() {
	e.down = false
	e.restartedAt = e.sim.now
}

// loadReport returns the load as the engine reports it.
func (e *engine) loadReport() load.Report {
	perSecond := e.tokensPerSecond
	if e.kind == services {
		perSecond = 0
	}
	return load.Report{
		Running:         len(e.running),
		Waiting:         e.queued,
		Slots:           batches[e.kind].slots,
		TokensPerSecond: perSecond,
		AsOf:            e.sim.now,
	}
}
