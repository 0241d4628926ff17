package share

// Claim is one instance's part of a limit. Both figures are in the unit of the
// limit: requests per second, requests in flight or tokens per second.
type Claim struct {
	// Held is how much the instance may use.
	Held float64
	// Wanted is how much it would use without a limit.
	Wanted float64
}

const (
	// base is the part of the limit that all instances together may use without a
	// claim, so that a first request finds room before anything was exchanged.
	base = 0.1
	// headroom is how much more than its use an instance claims.
	headroom = 1.25
)

// Heard sums up the claims that an instance has heard from its peers.
type Heard struct {
	// Held and Wanted are sums over the peers that claim anything.
	Held   float64
	Wanted float64
	// Growing is the sum of what each of them wants beyond what it holds.
	Growing float64
}

// Add takes in one peer's claim.
func (h *Heard) Add(c Claim) {
	h.Held += c.Held
	h.Wanted += c.Wanted
	h.Growing += max(0, c.Wanted*headroom-c.Held)
}

// Base returns what an instance may use without a claim. The unit is the least
// that is of use, such as one request; an instance may use it as long as the
// claims it has heard leave as much.
func Base(limit, unit float64, instances int, heard Heard) float64 {
	lowest := base * limit / float64(max(1, instances))
	if lowest < unit && limit-heard.Held >= unit {
		return unit
	}
	return lowest
}

// Grow returns what an instance holds after it has heard from its peers. It grows
// only into what nobody holds; of that, peers that grow at the same time take
// parts in proportion to what they lack.
func Grow(limit, lowest float64, own Claim, heard Heard) float64 {
	target := max(lowest, own.Wanted*headroom)
	if sum := (own.Wanted + heard.Wanted) * headroom; sum > limit {
		target = max(lowest, own.Wanted*headroom*limit/sum)
	}
	if target <= own.Held {
		return target
	}
	free := limit - heard.Held - own.Held
	if free <= 0 {
		return max(lowest, own.Held)
	}
	growing := target - own.Held
	part := free * growing / (growing + heard.Growing)
	return max(lowest, own.Held+min(growing, part))
}
