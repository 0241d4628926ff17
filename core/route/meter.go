package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

// meterWindow is how long the unused part of a share may be saved up.
const meterWindow = 10 * time.Second

// SpillLimiter holds the share of an entry's requests that goes to each other region.
// Every entry holds the shares for its own requests, so they hold for the region's
// sum without anything being exchanged. It is safe for concurrent use; its zero
// value is empty.
type SpillLimiter struct {
	mu sync.Mutex
	// recent is a decaying count of the requests of the last meterWindow.
	recent float64
	at     time.Time
	sent   map[ident.Region]*account
}

// account is what may be sent to one region.
type account struct {
	// credit grows by the region's share with each request and falls by one with
	// each that is sent; it is never more than the share of the recent requests, or one.
	credit float64
	// summary is the arrival of the summary that slots refers to.
	summary time.Time
	// slots is what is left of this entry's part of the free slots there; used counts
	// those of its requests that hold one of them.
	slots int
	used  int
}

// earn credits each region with its share of one more request.
func (m *SpillLimiter) earn(now time.Time, remotes []RemoteRegion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if age := now.Sub(m.at); age > 0 {
		m.recent *= max(0, 1-float64(age)/float64(meterWindow))
		m.at = now
	}
	m.recent++
	for i := range remotes {
		c := &remotes[i]
		a := m.account(c.Load.Region)
		a.credit = min(a.credit+c.MaxShare, max(1, c.MaxShare*m.recent))
	}
}

// room reports whether the region's share and its free slots allow one more. Each
// sender takes an equal part of the free slots of the last summary; what is left
// over of a slot is taken with that probability.
func (m *SpillLimiter) room(random *rand.Rand, c *RemoteRegion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(c.Load.Region)
	if a.summary != c.Load.AsOf {
		part := max(0, c.Load.FreeSlots) / float64(max(1, c.Senders))
		a.summary = c.Load.AsOf
		a.slots = int(part + random.Float64())
		a.used = 0
	}
	return c.MaxShare > 0 && a.credit >= 1 && a.slots > 0
}

// spend notes that a request was sent to the region.
func (m *SpillLimiter) spend(c *RemoteRegion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(c.Load.Region)
	a.credit--
	a.slots--
	a.used++
}

// Release notes that a request that was sent to a region has ended, so that its slot
// there serves another one before the next summary. A request that an earlier
// summary made room for changes nothing: the newest one counts its slot already.
func (m *SpillLimiter) Release(region ident.Region) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(region)
	if a.used > 0 {
		a.used--
		a.slots++
	}
}

func (m *SpillLimiter) account(region ident.Region) *account {
	if m.sent == nil {
		m.sent = map[ident.Region]*account{}
	}
	a := m.sent[region]
	if a == nil {
		a = &account{}
		m.sent[region] = a
	}
	return a
}
