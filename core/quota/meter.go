package quota

import (
	"math"
	"time"
)

// meter estimates a rate as an exponentially weighted mean over meterTime.
type meter struct {
	rate float64
	at   time.Time
}

// meterTime is short, since the demand of a zone doubles within about a second.
const meterTime = time.Second

func (m *meter) add(now time.Time, amount float64) {
	m.rate = m.perSecond(now) + amount/meterTime.Seconds()
	m.at = now
}

// perSecond returns the rate per second as of now.
func (m *meter) perSecond(now time.Time) float64 {
	elapsed := max(0, now.Sub(m.at).Seconds())
	return m.rate * math.Exp(-elapsed/meterTime.Seconds())
}

// slotLength is the resolution of a timed amount, and slotCount bounds its lifetime.
const (
	slotLength = 250 * time.Millisecond
	slotCount  = 10
)

// timed is an amount whose parts expire some time after they were added.
type timed struct {
	// start is the time of the first call, from which slots are counted.
	start  time.Time
	newest int64
	slots  [slotCount]float64
}

func (t *timed) add(now time.Time, amount float64) {
	t.advance(now)
	t.slots[slot(t.newest)] += amount
}

// within returns the sum of the parts that were added in the last so many whole slots. The newest
// slot counts in addition to them.
func (t *timed) within(now time.Time, slots int64) float64 {
	t.advance(now)
	sum := 0.0
	for i := t.newest - slots; i <= t.newest; i++ {
		sum += t.slots[slot(i)]
	}
	return sum
}

func (t *timed) advance(now time.Time) {
	if t.start.IsZero() {
		t.start = now
	}
	at := int64(now.Sub(t.start) / slotLength)
	if at-t.newest >= slotCount {
		*t = timed{start: t.start, newest: at}
		return
	}
	for t.newest < at {
		t.newest++
		t.slots[slot(t.newest)] = 0
	}
}

func slot(number int64) int64 {
	return ((number % slotCount) + slotCount) % slotCount
}
