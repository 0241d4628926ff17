package share

// Claim is one instance's part of a limit. Both figures are in the unit of the
// limit: requests per second, requests in flight or tokens per second.
type Claim struct {
	// Held is how much the instance may use.
	Held float64
	// Wanted is how much it would use without a limit.
	Wanted float64
}

// headroom is how much more than its use an instance claims.
const headroom = 1.25

// PeerTotals sums up the claims that an instance has heard from its peers.
type PeerTotals struct {
	// Held and Wanted are sums over the peers that claim anything.
	Held   float64
	Wanted float64
	// Shortfall is the sum of what each of them wants beyond what it holds.
	Shortfall float64
}

// Add takes in one peer's claim.
func (h *PeerTotals) Add(c Claim) {
	h.Held += c.Held
	h.Wanted += c.Wanted
	h.Shortfall += max(0, c.Wanted*headroom-c.Held)
}

// ExtraAllowance returns what an instance may use beyond what it holds. One half of what
// nobody claims is for the instance that ranks first for the workspace, the other
// is divided evenly between all. As long as there is as much, every instance has at
// least a unit, such as one request.
func ExtraAllowance(limit, unit float64, own Claim, heard PeerTotals, instances int, first bool) float64 {
	free := max(0, limit-heard.Held-own.Held)
	spare := free / 2 / float64(max(1, instances))
	if first {
		spare += free / 2
	}
	if free >= unit {
		spare = max(spare, unit)
	}
	return spare
}

// NextHeld returns what an instance holds after it has heard from its peers. It grows
// only into what nobody holds; of that, peers that grow at the same time take
// parts in proportion to what they lack.
func NextHeld(limit float64, own Claim, heard PeerTotals) float64 {
	target := own.Wanted * headroom
	if sum := target + heard.Wanted*headroom; sum > limit {
		target *= limit / sum
	}
	growing := target - own.Held
	if growing <= 0 {
		return target
	}
	free := limit - heard.Held - own.Held
	part := free * growing / (growing + heard.Shortfall)
	return own.Held + max(0, min(growing, part))
}
