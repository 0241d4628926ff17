package pool

import (
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// The state held here doesn't explain every wait at an engine: running requests also
// hold memory and slots, and prompts are read in chunks between the decoding steps of
// other requests. By its backlog alone, a region in which all engines are limited in this
// way looks idle. The amount by which responses arrive later than projected is therefore
// tracked for each service and priority class. It doesn't distinguish upstreams; it
// raises the projection for the whole region, compared with other regions.

const (
	// excessWeight is the weight of the newest response.
	excessWeight = 0.1
	// excessDecay is the time constant with which the excess decays while no responses
	// arrive, since an instance that sends all requests to other regions gets none.
	excessDecay = 3 * time.Second
	// maxExcess bounds the contribution of one response. A longer delay more likely has
	// another cause.
	maxExcess = 4 * time.Second
)

// decayingDelay is a moving average that decays over time.
type decayingDelay struct {
	value   time.Duration
	updated time.Time
}

func (d *decayingDelay) at(now time.Time) time.Duration {
	return time.Duration(float64(d.value) * decay(now.Sub(d.updated), excessDecay))
}

// excessDelay returns how much later than projected the first byte arrives.
func (p *Pool) excessDelay(now time.Time, service ident.Service, class int) time.Duration {
	delays := p.excessDelays[service]
	if delays == nil {
		return 0
	}
	return delays[class].at(now)
}

// recordExcess adds one response to the average. The projection that it is compared with
// leaves the excess out.
func (p *Pool) recordExcess(now time.Time, service ident.Service, class int, took, projected time.Duration) {
	if p.excessDelays == nil {
		p.excessDelays = map[ident.Service]*gossip.ByPriority[decayingDelay]{}
	}
	delays := p.excessDelays[service]
	if delays == nil {
		delays = &gossip.ByPriority[decayingDelay]{}
		p.excessDelays[service] = delays
	}
	d := &delays[class]
	late := min(max(took-projected, -maxExcess), maxExcess)
	before := d.at(now)
	d.value = max(0, before+time.Duration(excessWeight*float64(late-before)))
	d.updated = now
}
