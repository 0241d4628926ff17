package trial

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
)

// kind is what a replica runs.
type kind int

const (
	models kind = iota
	services

	kindCount
)

// batch describes how fast replicas of a kind work.
type batch struct {
	// slots is the number of requests in one batch.
	slots int
	// base and perRequest make the time of one step.
	base       time.Duration
	perRequest time.Duration
}

// batches gives model engines 44 ms a step when they are full. A call of a plain
// service is a request of a few steps without a prompt.
var batches = [kindCount]batch{
	models:   {slots: 8, base: 24 * time.Millisecond, perRequest: 2500 * time.Microsecond},
	services: {slots: 2, base: 30 * time.Millisecond},
}

const (
	// chunkTokens of one prompt are read in a step, which makes it chunkTime longer.
	chunkTokens = 192
	chunkTime   = 21 * time.Millisecond
	// cachedPart is the part of a prompt that a cached prefix saves.
	cachedPart = 0.8
	// cacheSize is the number of prefixes that an engine keeps.
	cacheSize = 16
	// queueBound is the number of requests that may wait at an engine.
	queueBound = 32
	// coldFactor is how many times longer the first step after a start takes; over
	// coldTime steps come down to their usual time.
	coldFactor = 4
	coldTime   = 10 * time.Second
	// priorities is the number of priorities; 0 goes first.
	priorities = 10
)

// job is one attempt at an engine.
type job struct {
	prompt int
	// tokens are left of the length of the answer.
	tokens   int
	length   int
	prefix   uint64
	priority int
	// cancelled jobs are dropped at the next step.
	cancelled bool
	prefilled bool
	streamed  bool
	// first and ended are called at most once each; ended last.
	first func()
	ended func(load.AttemptResult)
	// started is called when the job begins to run.
	started func()
}

// engine is a fake of a replica that batches continuously.
type engine struct {
	id     ident.Upstream
	sim    *sim
	region int
	kind   kind
	// slow multiplies the time of each step.
	slow     float64
	refusing bool
	// failing engines fail every other request when it is done.
	failing bool
	down    bool
	running []*job
	waiting [priorities][]*job
	queued  int
	// cache holds the prefixes, the most recent last.
	cache    []uint64
	stepping bool
	// generated counts tokens since the last second began.
	generated int
	// perSecond is the rate of tokens of the last second.
	perSecond float64
	// busy is the time spent in steps.
	busy time.Duration
	// generation counts restarts, so that steps begun before one have no effect.
	generation int
	// started is the time of the last restart; zero when there was none.
	started time.Time
}

// offer hands a job to the engine; false is a refusal before anything ran.
func (e *engine) offer(j *job) bool {
	if e.down || e.refusing || e.queued >= queueBound {
		return false
	}
	e.waiting[j.priority] = append(e.waiting[j.priority], j)
	e.queued++
	if !e.stepping {
		e.step()
	}
	return true
}

// step begins one step of the batch, and the next when it is over.
func (e *engine) step() {
	e.drop()
	e.fill()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	decoding := 0
	var reading *job
	for _, j := range e.running {
		switch {
		case j.prefilled:
			decoding++
		case reading == nil:
			reading = j
		}
	}
	b := batches[e.kind]
	took := b.base + time.Duration(decoding)*b.perRequest
	if reading != nil {
		took += chunkTime
	}
	took = time.Duration(float64(took) * e.slow * e.coldness())
	generation := e.generation
	e.sim.after(took, func() {
		if generation != e.generation {
			return
		}
		e.busy += took
		e.finish(reading)
		e.step()
	})
}

// coldness is how many times longer a step takes than when the engine is warm.
func (e *engine) coldness() float64 {
	if e.started.IsZero() {
		return 1
	}
	left := 1 - float64(e.sim.now.Sub(e.started))/float64(coldTime)
	return 1 + (coldFactor-1)*max(0, left)
}

// finish gives every decoding job a token, and one job a part of its prompt.
func (e *engine) finish(reading *job) {
	kept := e.running[:0]
	for _, j := range e.running {
		if j == reading {
			e.read(j)
		}
		if j.prefilled && !j.cancelled {
			e.token(j)
		}
		if j.tokens > 0 {
			kept = append(kept, j)
		}
	}
	e.running = kept
}

func (e *engine) read(j *job) {
	j.prompt -= chunkTokens
	if j.prompt > 0 {
		return
	}
	j.prefilled = true
	if j.prefix != 0 {
		e.store(j.prefix)
	}
}

func (e *engine) token(j *job) {
	j.tokens--
	e.generated++
	if !j.streamed && e.kind == models {
		j.streamed = true
		j.first()
	}
	if j.tokens > 0 {
		return
	}
	if e.failing && e.sim.random.IntN(2) == 0 {
		j.ended(load.Failed)
		return
	}
	j.ended(load.Answered)
}

// drop removes cancelled jobs.
func (e *engine) drop() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.cancelled {
			kept = append(kept, j)
		}
	}
	e.running = kept
}

// fill moves waiting jobs into the batch, by priority.
func (e *engine) fill() {
	for p := range e.waiting {
		for len(e.waiting[p]) > 0 && len(e.running) < batches[e.kind].slots {
			j := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			e.queued--
			if j.cancelled {
				continue
			}
			if e.cached(j.prefix) {
				j.prompt = int(float64(j.prompt) * (1 - cachedPart))
			}
			j.started()
			j.prefilled = j.prompt == 0
			e.running = append(e.running, j)
		}
	}
}

func (e *engine) cached(prefix uint64) bool {
	for _, p := range e.cache {
		if p == prefix {
			return prefix != 0
		}
	}
	return false
}

// store keeps a prefix as the most recent one and tells of it, late and not always.
func (e *engine) store(prefix uint64) {
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

// stop breaks off everything and empties the cache.
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
			j.ended(load.Failed)
		}
	}
}

func (e *engine) start() {
	e.down = false
	e.started = e.sim.now
}

// report gives the load as the engine would tell it.
func (e *engine) report() load.Report {
	perSecond := e.perSecond
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
