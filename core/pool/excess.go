package pool

import (
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// What keeps a request waiting at an engine isn't all known here: the memory and the
// slots that running requests hold, and prompts that are read in pieces between their
// tokens. A region in which this is so everywhere looks idle by its backlog. So the time
// by which first answers come later than projected is kept for each service and rank.
// It says nothing of one upstream against another, but all of here against elsewhere.

const (
	// excessStep is the weight of the newest answer.
	excessStep = 0.1
	// excessTime is the time in which the excess fades without answers, since whoever
	// sends all requests elsewhere gets none.
	excessTime = 3 * time.Second
	// maxExcess bounds one answer's part, beyond which another cause is likelier.
	maxExcess = 4 * time.Second
)

// excess is a moving average that fades.
type excess struct {
	late time.Duration
	at   time.Time
}

func (e *excess) now(now time.Time) time.Duration {
	return time.Duration(float64(e.late) * fade(now.Sub(e.at), excessTime))
}

// excess returns by how much first answers come later than projected.
func (p *Pool) excess(now time.Time, service ident.Service, rank int) time.Duration {
	known := p.late[service]
	if known == nil {
		return 0
	}
	return known[rank].now(now)
}

// noteLate takes in one first answer, which was projected without the excess.
func (p *Pool) noteLate(now time.Time, service ident.Service, rank int, took, projected time.Duration) {
	if p.late == nil {
		p.late = map[ident.Service]*gossip.ByPriority[excess]{}
	}
	known := p.late[service]
	if known == nil {
		known = &gossip.ByPriority[excess]{}
		p.late[service] = known
	}
	e := &known[rank]
	late := min(max(took-projected, -maxExcess), maxExcess)
	before := e.now(now)
	e.late = max(0, before+time.Duration(excessStep*float64(late-before)))
	e.at = now
}
