package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/reach"
	"arbutustrestle/core/result"
	"arbutustrestle/io/relay"
)

const (
	// reachInterval is the time between two checks of which services may be cut off.
	reachInterval = 100 * time.Millisecond
	// checkTargets is the number of upstreams to which each check opens a connection.
	checkTargets = 2
	// handoverPause is how long no requests for a brittle service are handed to peers after
	// one had no free slot.
	handoverPause = 100 * time.Millisecond
)

// handovers holds until when no requests of a service are handed to holders of slots.
type handovers struct {
	mu     sync.Mutex
	paused map[ident.Service]time.Time
}

func (h *handovers) pause(until time.Time, s ident.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused == nil {
		h.paused = map[ident.Service]time.Time{}
	}
	h.paused[s] = until
}

func (h *handovers) allowed(now time.Time, s ident.Service) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.paused[s])
}

// chooseReaching returns a peer of the region for a request to a service that this instance is
// cut off from while the peer isn't. It returns false if there is none: the request goes to
// another region first if call.elsewhere is set, and to an upstream as a probe if call.probe is.
func (p *Proxy) chooseReaching(now time.Time, call *Call) (destination, bool) {
	call.probe, call.elsewhere = false, false
	if !p.mayHandOver(call) {
		return destination{}, false
	}
	var use reach.Use
	if call.connectFailed {
		use = p.Reach.Retry(now, call.Service)
	} else {
		use = p.Reach.Choose(now, call.Service, mayProbe(call))
	}
	switch u := use.(type) {
	case reach.Direct:
	case reach.Probe:
		call.probe = true
	case reach.ByPeer:
		return p.pickPeer(call, u.Peers)
	case reach.Elsewhere:
		call.elsewhere = true
	}
	return destination{}, false
}

// chooseHolder returns a peer that holds slots of the service's brittle upstreams, while this
// instance has no free one.
func (p *Proxy) chooseHolder(now time.Time, call *Call) (destination, bool) {
	if !p.mayHandOver(call) || !p.handovers.allowed(now, call.Service) {
		return destination{}, false
	}
	return p.pickPeer(call, p.Pool.SlotHolders(call.Service))
}

// mayHandOver reports whether a request may be handed to a peer of the region, as far as
// the request itself is concerned.
func (p *Proxy) mayHandOver(call *Call) bool {
	return call.Allows(p.Region)
}

// mayProbe reports whether a request may find out whether upstreams are reached: it may run
// twice, and a further attempt is left.
func mayProbe(call *Call) bool {
	return call.Route.Repeatable() && call.sends == 0 && call.Route.MaxAttempts > 1
}

// pickPeer picks a random instance of a list among those that are ready and to which a link is
// open.
func (p *Proxy) pickPeer(call *Call, ids []ident.Instance) (destination, bool) {
	if len(ids) == 0 {
		return destination{}, false
	}
	members := p.Loop.View().Membership.ReadyRegionMembers()
	first := rand.IntN(len(ids))
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		m, found := members[id]
		if found && !slices.Contains(call.peersTried, id) && p.mayRelayTo(call, m.PeerAddress) {
			return destination{peer: &m}, true
		}
	}
	return destination{}, false
}

// mayRelayTo reports whether a link to an instance is open, and the instance takes the body of the
// request: one of an earlier build takes no body that is sent in parts.
func (p *Proxy) mayRelayTo(call *Call, address netip.AddrPort) bool {
	if len(call.Body) > relay.MaxBodyBytes {
		return p.Links.TakesBodyParts(address)
	}
	return p.Links.Connected(address)
}

// attemptPeer hands the request to another instance of the region, which makes the attempt.
func (p *Proxy) attemptPeer(ctx context.Context, call *Call, to *gossip.Record, sink Sink) *result.Failure {
	call.peersTried = append(call.peersTried, to.ID)
	call.peer = string(to.ID) + "@" + to.PeerAddress.String()
	p.Metrics.Events.Add("handed-to-peer", 1)
	failure := p.relayTo(ctx, call, to.PeerAddress, 0, sink)
	if failure != nil && failure.Reason == result.NoUpstream {
		p.handovers.pause(p.Clock.Now().Add(handoverPause), call.Service)
	}
	return failure
}

// endEvidence records what a failed attempt says of the connection to its upstream.
func (p *Proxy) endEvidence(call *Call, e *reach.Attempt, f *result.Failure) {
	now := p.Clock.Now()
	switch f.Reason {
	case result.UpstreamRefused, result.UpstreamLeaving:
		e.Received(now)
	case result.AnswerCut, result.FirstByteTimeout, result.IdleTimeout, result.UpstreamFailed:
		e.Failed(now)
	case result.ConnectFailed:
		call.connectFailed = true
		e.Abandoned(now)
	default:
		e.Abandoned(now)
	}
}

// RunReachChecks opens connections to upstreams of services that may be cut off, until the
// context ends. No requests are sent on them.
func (p *Proxy) RunReachChecks(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	var checks sync.WaitGroup
	defer checks.Wait()
	var cut, closed []ident.Service
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := p.Clock.Now()
		for _, s := range p.Reach.DueChecks(now) {
			for _, u := range p.Pool.CheckTargets(s, checkTargets) {
				checks.Go(func() { p.checkUpstream(ctx, s, u) })
			}
		}
		cutNow, closedNow := p.Reach.CutServices(now)
		p.recordCutChanges(ctx, cut, cutNow)
		p.recordClosedChanges(closed, closedNow)
		cut, closed = cutNow, closedNow
	}
}

func (p *Proxy) checkUpstream(ctx context.Context, s ident.Service, u pool.Upstream) {
	began := p.Clock.Now()
	ok := p.UpstreamClient.CanConnect(ctx, u.ID, u.Address)
	if ctx.Err() == nil {
		p.Reach.Dialed(p.Clock.Now(), began, s, u.ID, ok)
	}
}

// recordCutChanges logs and counts the services that the instance has been cut off from, or reaches
// again.
func (p *Proxy) recordCutChanges(ctx context.Context, before, after []ident.Service) {
	for _, s := range added(before, after) {
		p.Metrics.Events.Add("cut-off-begun", 1)
		p.Log.Warn().Str("service", string(s)).Msg("cut off from the upstreams of a service that peers reach; requests are handed to them")
	}
	for _, s := range added(after, before) {
		go p.endCut(ctx, s)
	}
}

// endCut makes a service's upstreams usable again. Those that have restarted behind the cut have
// written their entries by now.
func (p *Proxy) endCut(ctx context.Context, s ident.Service) {
	newList := p.Loop.ConfirmList(ctx, p.Clock.Now())
	p.Pool.ClearUnreachable(s, newList)
	p.Metrics.Events.Add("cut-off-ended", 1)
	p.Log.Info().Str("service", string(s)).Bool("list-confirmed", newList).Msg("upstreams of a service are reached again")
}

// recordClosedChanges does the same for services to which no connection opens, while no peer is
// known to reach them.
func (p *Proxy) recordClosedChanges(before, after []ident.Service) {
	for _, s := range added(before, after) {
		p.Metrics.Events.Add("no-upstream-opens-begun", 1)
		p.Log.Warn().Str("service", string(s)).Msg("no connection to the upstreams of a service opens, nor is a peer known to reach them; requests go to other regions")
	}
	for _, s := range added(after, before) {
		p.Metrics.Events.Add("no-upstream-opens-ended", 1)
		p.Log.Info().Str("service", string(s)).Msg("connections to the upstreams of a service open again, or a peer reaches them")
	}
}

// added returns the elements of after that before lacks.
func added(before, after []ident.Service) []ident.Service {
	return slices.DeleteFunc(slices.Clone(after), func(s ident.Service) bool { return slices.Contains(before, s) })
}
