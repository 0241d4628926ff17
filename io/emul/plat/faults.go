package plat

import (
	"net/http"
	"time"

	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

// Down says how a platform that is down shows it.
type Down string

// The ways to be down. An empty Down is up.
const (
	// Unavailable answers 503.
	Unavailable Down = "unavailable"
	// Reset resets each connection, the waiting watches' too.
	Reset Down = "reset"
)

// Faults are those of the whole platform. The zero value has none.
type Faults struct {
	Down Down
	// Hang leaves each new request without an answer until it is switched off.
	Hang bool
	// Slow delays each answer.
	Slow time.Duration
	// AsOf freezes what readers see at the moment; the zero time is the present.
	// Writes are taken all the same.
	AsOf time.Time
	// Rate takes the place of the set rate of reads a second; 0 leaves it.
	Rate int
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

// Freeze makes readers see the present state from now on.
func (p *Platform) Freeze() {
	p.SetFaults(Faults{AsOf: p.settings.Clock.Now()})
}

// wireFaults is the body of /v1/faults. Stale freezes at the present.
type wireFaults struct {
	Down   Down       `json:"down,omitempty"`
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
	wire = wireFaults{Down: faults.Down, Hang: faults.Hang, SlowMs: faults.Slow.Milliseconds(), Rate: faults.Rate}
	if !faults.AsOf.IsZero() {
		wire.Stale, wire.AsOf = true, &faults.AsOf
	}
	emul.WriteJSON(w, http.StatusOK, wire)
}

func (p *Platform) fromWire(wire wireFaults) Faults {
	faults := Faults{Down: wire.Down, Hang: wire.Hang, Slow: time.Duration(wire.SlowMs) * time.Millisecond, Rate: wire.Rate}
	if wire.Stale {
		faults.AsOf = p.settings.Clock.Now()
	}
	if wire.AsOf != nil {
		faults.AsOf = *wire.AsOf
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
		case faults.Down == Reset:
			fault.ResetConn(w)
			return true
		case faults.Down != "":
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
		case faults.Slow > 0:
			timer := time.NewTimer(faults.Slow)
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
