package share

// Claim is one instance's part of a limit. Both figures are in the unit of the
// limit: requests per second, requests in flight or tokens per second.
type Claim struct {
	// Held is the amount that the instance may use.
	Held float64
	// Wanted is the amount that it would use without a limit.
	Wanted float64
}

// claimHeadroom is the factor by which an instance's claim exceeds its use.
const claimHeadroom = 1.25

// PeerTotals holds the sums of the claims that an instance has received from its peers.
type PeerTotals struct {
	// Held and Wanted are sums over the peers with a claim.
	Held   float64
	Wanted float64
	// Shortfall is the sum of the amounts by which each peer's demand exceeds its held
	// part.
	Shortfall float64
}

// Add adds one peer's claim.
func (t *PeerTotals) Add(c Claim) {
	t.Held += c.Held
	t.Wanted += c.Wanted
	t.Shortfall += max(0, c.Wanted*claimHeadroom-c.Held)
}

// ExtraAllowance returns the amount that an instance may use beyond its held part. One
// half of the unclaimed rest goes to the instance that ranks first for the workspace,
// the other is divided evenly between all. As long as the rest is at least one unit,
// such as one request, every instance gets at least that unit.
func ExtraAllowance(limit, unit float64, own Claim, peers PeerTotals, instances int, ranksFirst bool) float64 {
	free := max(0, limit-peers.Held-own.Held)
	spare := free / 2 / float64(max(1, instances))
	if ranksFirst {
		spare += free / 2
	}
	if free >= unit {
		spare = max(spare, unit)
	}
	return spare
}

// NextHeld returns the part that an instance holds after the claims of its peers were
// received. It grows only into the part that nobody holds; peers that grow at the same
// time divide that part in proportion to their shortfalls.
func NextHeld(limit float64, own Claim, peers PeerTotals) float64 {
	target := own.Wanted * claimHeadroom
	if sum := target + peers.Wanted*claimHeadroom; sum > limit {
		target *= limit / sum
	}
	missing := target - own.Held
	if missing <= 0 {
		return target
	}
	free := limit - peers.Held - own.Held
	granted := free * missing / (missing + peers.Shortfall)
	return own.Held + max(0, min(missing, granted))
}
