package plat

import (
	"net/http"
	"time"

	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

// Outage says how a platform that is down shows it.
type Outage string

// The ways to be down. An empty Down is up.
const (
	// Unavailable answers 503.
	Unavailable Outage = "unavailable"
	// Reset resets each connection, the waiting watches' too.
	Reset Outage = "reset"
)

// Faults are those of the whole platform. The zero value has none.
type Faults struct {
	Outage Outage
	// Hang leaves each new request without an answer until it is switched off.
	Hang bool
	// Delay delays each answer.
	Delay time.Duration
	// FrozenAt freezes what readers see at the moment; the zero time is the present.
	// Writes are taken all the same.
	FrozenAt time.Time
	// ReadRate takes the place of the set rate of reads a second; 0 leaves it.
	ReadRate int
}

// SetFaults replaces the faults and lets hanging requests and watches look again.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	for _, v := range p.values {
		v.wake()
	}
}

// FreezeReads makes readers see the present state from now on.
func (p *Platform) FreezeReads() {
	p.SetFaults(Faults{FrozenAt: p.settings.Clock.Now()})
}

// wireFaults is the body of /v1/faults. Stale freezes at the present.
type wireFaults struct {
	Down   Outage     `json:"down,omitempty"`
	Hang   bool       `json:"hang,omitempty"`
	SlowMs int64      `json:"slow-ms,omitempty"`
	Stale  bool       `json:"stale,omitempty"`
	AsOf   *time.Time `json:"as-of,omitempty"`
	Rate   int        `json:"rate,omitempty"`
}

// serveFaults answers /v1/faults: PUT replaces the faults, DELETE removes them,
// and all methods return those in force.
func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var wire wireFaults
	switch r.Method {
	case http.MethodPut:
		if !emul.ReadJSON(w, r, &wire) {
			return
		}
		known := wire.Down == "" || wire.Down == Unavailable || wire.Down == Reset
		if !known || wire.SlowMs < 0 || wire.Rate < 0 {
			http.Error(w, "down is unavailable or reset, slow-ms and rate are not negative", http.StatusBadRequest)
			return
		}
		p.SetFaults(p.fromWire(wire))
	case http.MethodDelete:
		p.SetFaults(Faults{})
	}
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	wire = wireFaults{Down: faults.Outage, Hang: faults.Hang, SlowMs: faults.Delay.Milliseconds(), Rate: faults.ReadRate}
	if !faults.FrozenAt.IsZero() {
		wire.Stale, wire.AsOf = true, &faults.FrozenAt
	}
	emul.WriteJSON(w, http.StatusOK, wire)
}

func (p *Platform) fromWire(wire wireFaults) Faults {
	faults := Faults{Outage: wire.Down, Hang: wire.Hang, Delay: time.Duration(wire.SlowMs) * time.Millisecond, ReadRate: wire.Rate}
	if wire.Stale {
		faults.FrozenAt = p.settings.Clock.Now()
	}
	if wire.AsOf != nil {
		faults.FrozenAt = *wire.AsOf
	}
	return faults
}

// meetFault carries out the faults that come before a request is looked at. It
// reports whether the request is over.
func (p *Platform) meetFault(w http.ResponseWriter, r *http.Request) bool {
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
