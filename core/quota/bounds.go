package quota

import (
	"time"

	"arbutustrestle/core/spec"
)

// Bounds limits by how much the use of a quota may exceed it. In no window of length Window may a
// workspace use more than (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window time.Duration
	// Overage is a fraction.
	Overage float64
	// Slack is in tokens. It doesn't apply to quotas of requests.
	Slack float64
}

// defaultWindow is used where no window is set.
const defaultWindow = 8 * time.Second

const (
	// balanceOverage and balanceSlack are the parts of the overage and the slack that balances
	// may hold. The rest covers debt, tokens in transit, and views of the membership that
	// disagree for some seconds.
	balanceOverage = 0.6
	balanceSlack   = 0.5
	// ownTime is the part of all balances that the instances hold themselves, as a time of
	// the rate, and ownPart the most of them; the pools of the regions hold the rest. What is issued
	// in depositInterval must fit. At an overage of a quarter, a window of 8 s and no burst,
	// balances hold 1.2 s of the rate.
	ownTime = 600 * time.Millisecond
	ownPart = 0.5
	// minBalanceTime is the least that balances hold, as a time of the rate: with less, most of what
	// is issued is lost before requests use it.
	minBalanceTime = time.Second
)

// capacity holds the largest sums of all balances of one quota, over all instances.
type capacity struct {
	own, pool float64
	// rate is what all instances together issue in a second.
	rate float64
	// debt is by how much all pools together may be overdrawn.
	debt float64
}

func (b Bounds) capacity(q *spec.Quota) capacity {
	allowed := q.PerSecond*b.Window.Seconds() + q.Burst
	slack := b.Slack
	if q.Unit != spec.QuotaTokens {
		slack = 0
	}
	balances := q.Burst + balanceOverage*b.Overage*allowed + balanceSlack*slack
	debt := (1-balanceOverage)*b.Overage*allowed + (1-balanceSlack)*slack - q.PerSecond*lateTimeout.Seconds()
	// Where the bound leaves too little for balances and for what is under way, less is issued.
	short := max(0, q.PerSecond*minBalanceTime.Seconds()-balances) + max(0, -debt)
	balances = max(balances, q.PerSecond*minBalanceTime.Seconds())
	own := min(ownPart*balances, q.PerSecond*ownTime.Seconds())
	return capacity{
		own:  own,
		pool: balances - own,
		rate: max(0, q.PerSecond-short/b.Window.Seconds()),
		debt: max(0, debt),
	}
}
