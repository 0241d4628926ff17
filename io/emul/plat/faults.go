package plat

import (
	"net/http"
	"time"

	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

// Outage is the way in which an unavailable platform fails.
type Outage string

// The kinds of outage. An empty Outage means that the platform is available.
const (
	// Unavailable responds with 503.
	Unavailable Outage = "unavailable"
	// Reset resets each connection, including those of waiting watches.
	Reset Outage = "reset"
)

// Faults holds the faults of the whole platform. The zero value has none.
type Faults struct {
	Outage Outage
	// Hang holds each new request without a response until Hang is switched off.
	Hang bool
	// Delay is added before each response.
	Delay time.Duration
	// FrozenAt, if set, is the time whose values readers see, so that later changes
	// are hidden from them. Writes are still accepted.
	FrozenAt time.Time
	// ReadRate, if above 0, replaces Settings.ReadRate.
	ReadRate int
}

// SetFaults replaces the faults and makes hanging requests and watches check them
// again.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	for _, v := range p.values {
		v.notify()
	}
}

// FreezeReads freezes the values that readers see as of the present time.
func (p *Platform) FreezeReads() {
	p.SetFaults(Faults{FrozenAt: p.settings.Clock.Now()})
}

// faultsJSON is the body of /v1/faults. Stale freezes reads at the present time.
type faultsJSON struct {
	Down   Outage     `json:"down,omitempty"`
	Hang   bool       `json:"hang,omitempty"`
	SlowMs int64      `json:"slow-ms,omitempty"`
	Stale  bool       `json:"stale,omitempty"`
	AsOf   *time.Time `json:"as-of,omitempty"`
	Rate   int        `json:"rate,omitempty"`
}

// serveFaults serves /v1/faults: PUT replaces the faults, DELETE removes them, and
// all methods return the active ones.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var wire faultsJSON
	switch r.Method {
	case http.MethodPut:
		if !emul.ReadJSON(w, r, &wire) {
			return
		}
		valid := wire.Down == "" || wire.Down == Unavailable || wire.Down == Reset
		if !valid || wire.SlowMs < 0 || wire.Rate < 0 {
			http.Error(w, "down is unavailable or reset, slow-ms and rate are not negative", http.StatusBadRequest)
			return
		}
		p.SetFaults(p.parseFaults(wire))
	case http.MethodDelete:
		p.SetFaults(Faults{})
	}
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	wire = faultsJSON{Down: faults.Outage, Hang: faults.Hang, SlowMs: faults.Delay.Milliseconds(), Rate: faults.ReadRate}
	if !faults.FrozenAt.IsZero() {
		wire.Stale, wire.AsOf = true, &faults.FrozenAt
	}
	emul.WriteJSON(w, http.StatusOK, wire)
}

func (p *Platform) parseFaults(wire faultsJSON) Faults {
	faults := Faults{Outage: wire.Down, Hang: wire.Hang, Delay: time.Duration(wire.SlowMs) * time.Millisecond, ReadRate: wire.Rate}
	if wire.Stale {
		faults.FrozenAt = p.settings.Clock.Now()
	}
	if wire.AsOf != nil {
		faults.FrozenAt = *wire.AsOf
	}
	return faults
}

// injectFault injects the faults that occur before a request is processed. It reports
// whether the request has been ended.
func (p *Platform) injectFault(w http.ResponseWriter, r *http.Request) bool {
	for {
		p.mu.Lock()
		faults, changed := p.faults, p.value(directoryKey).changed
		p.mu.Unlock()
		switch {
		case faults.Outage == Reset:
			fault.ResetConn(w)
			return true
		case faults.Outage != "":
			w.Header().Set("Retry-After", "1")
			http.Error(w, "platform is down", http.StatusServiceUnavailable)
			return true
		case faults.Hang:
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
			case <-emul.Stopping(r.Context()):
			}
			fault.Close(w)
			return true
		case faults.Delay > 0:
			timer := time.NewTimer(faults.Delay)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-r.Context().Done():
				return true
			}
		}
		return false
	}
}
