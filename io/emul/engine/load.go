package engine

import (
	"net/http"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/emul"
)

// Load is the report that /v1/load returns.
type Load struct {
	ID              ident.Upstream `json:"id"`
	Running         int            `json:"running"`
	Waiting         int            `json:"waiting"`
	Slots           int            `json:"slots"`
	TokensPerSecond float64        `json:"tokens-per-second"`
	Leaving         bool           `json:"leaving"`
	// Loaded is null if every model is served.
	Loaded       []string  `json:"loaded"`
	Role         string    `json:"role"`
	HighestFence uint64    `json:"highest-fence"`
	AsOf         time.Time `json:"as-of"`
}

// loadReport delays load reports, so that a reported load is at least the lag old,
// except at the start.
type loadReport struct {
	// reported is returned; pending replaces it once pending is as old as the lag.
	reported, pending Load
	// tokens is the number of tokens generated at the time of pending.
	tokens int64
}

// refresh returns the load to report. take returns the present load and the number
// of tokens generated so far.
func (l *loadReport) refresh(now time.Time, lag time.Duration, take func() (Load, int64)) Load {
	if lag > 0 && !l.pending.AsOf.IsZero() && now.Sub(l.pending.AsOf) < lag {
		return l.reported
	}
	fresh, tokens := take()
	fresh.AsOf = now
	if elapsed := now.Sub(l.pending.AsOf).Seconds(); elapsed > 0 && !l.pending.AsOf.IsZero() {
		fresh.TokensPerSecond = float64(tokens-l.tokens) / elapsed
	}
	l.reported, l.pending, l.tokens = l.pending, fresh, tokens
	if lag == 0 || l.reported.AsOf.IsZero() {
		l.reported = fresh
	}
	return l.reported
}

// snapshot returns the present load and the number of tokens generated. The lock is
// held, except in New.
func (e *Engine) snapshot() (Load, int64) {
	return Load{
		ID:           e.settings.ID,
		Running:      len(e.batch.running),
		Waiting:      len(e.batch.waiting),
		Slots:        e.settings.Slots,
		Leaving:      e.leaving,
		Loaded:       e.loadedModels(),
		Role:         e.orders.role,
		HighestFence: e.orders.highest,
	}, e.batch.tokens
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.load.refresh(e.settings.Clock.Now(), e.settings.LoadLag, e.snapshot)
	e.mu.Unlock()
	emul.WriteJSON(w, http.StatusOK, load)
}
