package engine

import (
	"net/http"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/emul"
)

// Load is what /v1/load reports.
type Load struct {
	ID              ident.Upstream `json:"id"`
	Running         int            `json:"running"`
	Waiting         int            `json:"waiting"`
	Slots           int            `json:"slots"`
	TokensPerSecond float64        `json:"tokens-per-second"`
	Leaving         bool           `json:"leaving"`
	// Loaded is null when every model is served.
	Loaded       []string  `json:"loaded"`
	Role         string    `json:"role"`
	HighestFence uint64    `json:"highest-fence"`
	AsOf         time.Time `json:"as-of"`
}

// loadReport gives loads that are at least the lag old, but for the first ones.
type loadReport struct {
	// served is reported; next takes its place once it is as old as the lag.
	served, next Load
	// tokens is the count of tokens at next.
	tokens int64
}

// refresh returns the load to report. The function takes a new one and gives the
// count of tokens so far.
func (l *loadReport) refresh(now time.Time, lag time.Duration, take func() (Load, int64)) Load {
	if lag > 0 && !l.next.AsOf.IsZero() && now.Sub(l.next.AsOf) < lag {
		return l.served
	}
	fresh, tokens := take()
	fresh.AsOf = now
	if past := now.Sub(l.next.AsOf).Seconds(); past > 0 && !l.next.AsOf.IsZero() {
		fresh.TokensPerSecond = float64(tokens-l.tokens) / past
	}
	l.served, l.next, l.tokens = l.next, fresh, tokens
	if lag == 0 || l.served.AsOf.IsZero() {
		l.served = fresh
	}
	return l.served
}

// snapshot returns the present load and the count of tokens. The lock is held,
// but in New.
func (e *Engine) snapshot() (Load, int64) {
	return Load{
		ID:           e.settings.ID,
		Running:      len(e.batch.running),
		Waiting:      len(e.batch.waiting),
		Slots:        e.settings.Slots,
		Leaving:      e.leaving,
		Loaded:       e.loadedNow(),
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
