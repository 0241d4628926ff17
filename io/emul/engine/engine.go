// Package engine is a stand-in for a model engine replica: it batches
// continuously, caches prompt prefixes, honours priorities, streams tokens that
// can be foretold from the request, and takes orders.
package engine

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

// Defaults of the settings.
const (
	DefaultSlots        = 8
	DefaultCacheBlocks  = 1024
	DefaultPrefillChunk = 512
	DefaultMaxWaiting   = 1 << 16
)

// Settings of an engine. Durations of zero cost no time.
type Settings struct {
	ID ident.Upstream
	// Loaded lists "model@version"; empty means that every model is loaded.
	Loaded []string
	// Slots is the number of requests in the batch.
	Slots int
	// MaxWaiting bounds the queue; requests above it are refused with 429.
	MaxWaiting int
	// StepTime is the part of a decode step that does not depend on the batch.
	StepTime time.Duration
	// SequenceTime is added to a step for each running request.
	SequenceTime time.Duration
	// PrefillTime is added to a step for each prompt token that it prefills.
	PrefillTime time.Duration
	// PrefillChunk is the most prompt tokens that one step prefills.
	PrefillChunk int
	// CacheBlocks is the number of blocks of BlockBytes that the prefix cache holds.
	CacheBlocks int
	// LoadLag is the least age of what /v1/load reports.
	LoadLag time.Duration
	// EventLag is the age at which a cache event is published.
	EventLag time.Duration
	// DropEveryNthEvent leaves out each DropEveryNthEvent-th cache event; 0 leaves out none.
	DropEveryNthEvent int
	// ModelLoadTime is how long an ordered model takes to load.
	ModelLoadTime time.Duration
	// EnforceFencing makes the engine refuse an order with a lower fencing number.
	EnforceFencing bool
	// Clock is the machine's when nil. Decode steps take the machine's time always.
	Clock clock.Clock
}

func (s Settings) withDefaults() Settings {
	if s.Slots <= 0 {
		s.Slots = DefaultSlots
	}
	if s.MaxWaiting <= 0 {
		s.MaxWaiting = DefaultMaxWaiting
	}
	if s.PrefillChunk <= 0 {
		s.PrefillChunk = DefaultPrefillChunk
	}
	if s.CacheBlocks <= 0 {
		s.CacheBlocks = DefaultCacheBlocks
	}
	if s.Clock == nil {
		s.Clock = clock.System{}
	}
	return s
}

// Engine is the stand-in. It is safe for concurrent use and needs no stop: it
// works only while it has requests.
type Engine struct {
	settings Settings
	faults   fault.Set
	runs     emul.RunLog

	mu    sync.Mutex
	batch batch
	// stepping tells that the goroutine that steps the batch is there.
	stepping bool
	cache    cache
	load     loadReport
	orders   orders
	leaving  bool
}

// New returns an idle engine.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{settings: settings}
	e.batch.slots = settings.Slots
	e.batch.chunk = settings.PrefillChunk
	e.cache = newCache(settings)
	e.orders.start(settings.Loaded)
	e.load.refresh(settings.Clock.Now(), settings.LoadLag, e.snapshot)
	return e
}

// Handler serves the engine's protocol and the control paths of the stand-in.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc("/v1/orders", e.serveOrderLog).Methods(http.MethodGet)
	router.HandleFunc("/v1/leaving", e.serveLeaving).Methods(http.MethodPut)
	router.Handle("/v1/faults", &e.faults)
	router.Handle("/v1/runs", &e.runs).Methods(http.MethodGet)
	return router
}

// Faults returns the set of faults, to be switched on and off.
func (e *Engine) Faults() *fault.Set {
	return &e.faults
}

// Runs returns the log of what reached the engine.
func (e *Engine) Runs() *emul.RunLog {
	return &e.runs
}

// SetLeaving makes the engine say that it is leaving, in /v1/load and in the header
// "Leaving: true" of its answers. It goes on taking work, so that its log shows what
// still comes.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

func (e *Engine) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Leaving bool `json:"leaving"`
	}
	if !emul.ReadJSON(w, r, &body) {
		return
	}
	e.SetLeaving(body.Leaving)
	emul.WriteJSON(w, http.StatusOK, body)
}

// submit queues a sequence, and starts to step when the engine was idle. It
// returns false when the queue is full.
func (e *Engine) submit(s *sequence, prefixes []uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.batch.waiting) >= e.settings.MaxWaiting && len(e.batch.running) >= e.settings.Slots {
		return false
	}
	s.prefixes = prefixes
	e.batch.add(s)
	if !e.stepping {
		e.stepping = true
		go e.step()
	}
	return true
}

// cancel takes a sequence out of the queue or batch.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(s)
}

// step runs decode steps until no sequence is left.
func (e *Engine) step() {
	due := time.Now()
	for {
		pause, more := e.beginStep()
		if !more {
			return
		}
		// A late wake-up shortens the next pause, so that the rate stays as set.
		due = due.Add(pause)
		if late := time.Since(due); late > pause {
			due = due.Add(late)
		}
		if pause > 0 {
			time.Sleep(time.Until(due))
		}
		e.mu.Lock()
		e.batch.finish(pause == 0)
		e.mu.Unlock()
	}
}

// beginStep fills the batch and returns the time that the step takes. It returns
// false when there is nothing to do; submit then starts the next step.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.batch.admit() {
		s.prefill -= min(s.prefill, e.cache.use(s.prefixes, e.settings.Clock.Now())*BlockTokens)
	}
	if len(e.batch.running) == 0 {
		e.stepping = false
		return 0, false
	}
	prefilled := e.batch.prefill()
	pause := e.settings.StepTime
	pause += time.Duration(len(e.batch.running)) * e.settings.SequenceTime
	pause += time.Duration(prefilled) * e.settings.PrefillTime
	return pause, true
}

// loadedNow returns the models that are loaded. The lock is held.
func (e *Engine) loadedNow() []string {
	return e.orders.loadedAt(e.settings.Clock.Now())
}

// serves reports whether the model is loaded.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.any || slices.Contains(e.loadedNow(), model)
}
