// Package engine is a stand-in for a model engine replica, for tests: it batches
// continuously, caches prompt prefixes, schedules by priority, streams tokens that
// are a function of the request, and accepts placement orders.
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

// The defaults of Settings.
const (
	DefaultSlots        = 8
	DefaultCacheBlocks  = 1024
	DefaultPrefillChunk = 512
	DefaultMaxWaiting   = 1 << 16
)

// Settings holds the capacity, timing and behavior of an engine. A duration of zero
// takes no time.
type Settings struct {
	ID ident.Upstream
	// Loaded lists "model@version"; empty means that every model is loaded.
	Loaded []string
	// Slots is the maximum number of requests in the batch.
	Slots int
	// MaxWaiting is the maximum length of the queue; requests above it are refused
	// with 429.
	MaxWaiting int
	// StepTime is the part of a decode step that does not depend on the batch.
	StepTime time.Duration
	// SequenceTime is added to a step for each running request.
	SequenceTime time.Duration
	// PrefillTime is added to a step for each prompt token that the step prefills.
	PrefillTime time.Duration
	// PrefillChunk is the maximum number of prompt tokens that one step prefills.
	PrefillChunk int
	// CacheBlocks is the number of blocks of BlockBytes that the prefix cache holds.
	CacheBlocks int
	// LoadLag is the minimum age of the load that /v1/load reports.
	LoadLag time.Duration
	// EventLag is the age at which a cache event is published.
	EventLag time.Duration
	// DropEveryNthEvent drops the cache events whose numbers are multiples of it; 0
	// drops none.
	DropEveryNthEvent int
	// ModelLoadTime is the time that an ordered model takes to load.
	ModelLoadTime time.Duration
	// EnforceFencing makes the engine reject an order whose fencing number is lower
	// than the highest one received.
	EnforceFencing bool
	// Clock defaults to the system clock. Decode steps always use the system clock.
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

// Engine is the stand-in. It is safe for concurrent use and needs no stop: its
// goroutine runs only while there are requests.
type Engine struct {
	settings Settings
	faults   fault.Set
	runs     emul.RunLog

	mu    sync.Mutex
	batch batch
	// stepping is set while the goroutine that steps the batch runs.
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
	e.orders.setInitial(settings.Loaded)
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

// Faults returns the set of faults, by which a test switches them on and off.
func (e *Engine) Faults() *fault.Set {
	return &e.faults
}

// Runs returns the log of the requests that the engine received.
func (e *Engine) Runs() *emul.RunLog {
	return &e.runs
}

// SetLeaving makes the engine announce that it is leaving, in /v1/load and in the
// header "Leaving: true" of its responses. It still accepts requests, so that its log
// shows which ones are sent to it afterwards.
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

// submit queues a sequence, and starts the stepping goroutine if the engine was
// idle. It returns false if the queue is full.
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
		go e.runSteps()
	}
	return true
}

// cancel removes a sequence from the queue or the batch.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(s)
}

// runSteps runs decode steps until no sequence is left.
func (e *Engine) runSteps() {
	due := time.Now()
	for {
		pause, more := e.beginStep()
		if !more {
			return
		}
		// A late wake-up shortens the next pause, so that the mean rate is as set.
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

// beginStep fills the batch and returns the duration of the step. It returns false
// if the batch is empty; submit then starts the next step.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.batch.admit() {
		s.prefill -= min(s.prefill, e.cache.lookup(s.prefixes, e.settings.Clock.Now())*BlockTokens)
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

// loadedModels returns the models that are loaded now. The lock is held.
func (e *Engine) loadedModels() []string {
	return e.orders.loadedAt(e.settings.Clock.Now())
}

// isLoaded reports whether the model is loaded.
func (e *Engine) isLoaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.anyModel || slices.Contains(e.loadedModels(), model)
}
