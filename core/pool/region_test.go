package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/spec"
)

const (
	// warmupRate and the two constants below are those of a deployment: in any second, a
	// cold upstream may get warmupRate x warmupOverage + warmupSlack requests.
	warmupRate    = 2.7
	warmupOverage = 1.5
	warmupSlack   = 3
	warmupTime    = 3 * time.Second
	// regionStep is the resolution of the virtual clock of a region.
	regionStep = 10 * time.Millisecond
	// upstreamInterval is the time between the starts of two upstreams. It divides no whole
	// number of seconds, so that events fall on all ages of an upstream.
	upstreamInterval = 490 * time.Millisecond
	// listDelay is how long an instance that starts reads the list of upstreams.
	listDelay = 80 * time.Millisecond
)

// region runs the instances of one region, each with its membership and its pool, on a
// virtual clock. New upstreams start all the time, and there are no warm ones, so that
// every request goes to a cold upstream that its instance may send to.
type region struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	seeds     []netip.AddrPort
	instances map[int]*regionInstance
	messages  []regionMessage
	// transit returns the time that a heartbeat takes, and false if it is lost.
	transit func(from, to int) (time.Duration, bool)
	// dialTime returns the time to open a connection.
	dialTime func() time.Duration
	// requestShare is the probability that an instance has a request in one step.
	requestShare float64
	upstreams    []regionUpstream
	runs         uint64
	// limit returns the limit that limitedUpstream names; nil if there is no such upstream.
	limit func(now time.Time) gossip.RateLimit
	// limitedArrivals are the requests that limitedUpstream got.
	limitedArrivals []limitedArrival
	answers         []limitedAnswer
}

// limitedUpstream is warm, serves the service "app" alone, and names a limit.
var limitedUpstream = Upstream{
	ID:        "limited",
	StartTime: start.Add(-time.Hour),
	Service:   "app",
	Address:   netip.MustParseAddrPort("10.0.3.1:80"),
	Zone:      "zone-0",
	Region:    "west",
	Slots:     1000,
}

// limitedArrival is a request that reached limitedUpstream.
type limitedArrival struct {
	at time.Time
	// told is set if the sender had received an answer with the limit toldBefore ago or
	// earlier.
	told bool
}

// limitedAnswer is an answer of limitedUpstream on its way.
type limitedAnswer struct {
	at    time.Time
	to    *regionInstance
	lease *Lease
	limit gossip.RateLimit
}

type regionInstance struct {
	membership *gossip.State
	pool       *Pool
	phase      member.Phase
	nextTick   time.Time
	listedAt   time.Time
	// listed is the number of upstreams that the pool holds.
	listed int
	// frozenUntil is when a paused process goes on.
	frozenUntil time.Time
	dialing     []regionDial
	// toldAt is when the first answer with a limit arrived; zero if none did.
	toldAt time.Time
}

// regionDial is a request whose connection is being opened.
type regionDial struct {
	lease  *Lease
	openAt time.Time
}

// disturbances are the ways in which instances of a region come to hold different views of
// it.
var disturbances = map[string]func(r *region){
	"many stop in turn": func(r *region) {
		for n := range 18 {
			r.instances[n].phase = member.Draining
			r.instances[n].membership.Announce()
			r.run(150 * time.Millisecond)
			if n >= 8 {
				delete(r.instances, n-8)
			}
		}
	},
	"many are killed at once and start again": func(r *region) {
		for n := range 20 {
			delete(r.instances, n)
		}
		r.run(600 * time.Millisecond)
		r.startAll(20)
	},
	"many join": func(r *region) {
		for n := range 24 {
			r.start(regionSize + n)
		}
	},
	"some are not heard": func(r *region) {
		r.transit = func(from, to int) (time.Duration, bool) { return 3 * time.Millisecond, from >= 9 }
	},
	"some hear nothing": func(r *region) {
		r.transit = func(from, to int) (time.Duration, bool) { return 3 * time.Millisecond, to >= 9 }
	},
	"four islands": func(r *region) {
		r.transit = func(from, to int) (time.Duration, bool) { return 3 * time.Millisecond, from%4 == to%4 }
	},
	"each for itself": func(r *region) {
		r.transit = func(from, to int) (time.Duration, bool) { return 0, false }
	},
	"heartbeats lost": func(r *region) {
		r.transit = func(from, to int) (time.Duration, bool) { return 3 * time.Millisecond, r.random.Float64() < 0.4 }
	},
	"heartbeats late": func(r *region) {
		r.transit = func(from, to int) (time.Duration, bool) {
			return time.Duration(r.random.Int64N(int64(3 * time.Second))), true
		}
	},
	"paused in turn, resumed together": func(r *region) {
		end := r.now.Add(12 * time.Second)
		for n := range 12 {
			r.instances[n].frozenUntil = end
			r.run(time.Second)
		}
	},
}

type regionMessage struct {
	at      time.Time
	from    int
	to      int
	records []gossip.Record
}

type regionUpstream struct {
	Upstream
	startedAt time.Time
	arrivals  []time.Time
}

func newRegion(t *testing.T, seed uint64) *region {
	random := rand.New(rand.NewPCG(seed, 17))
	return &region{
		t:            t,
		random:       random,
		now:          start,
		seeds:        []netip.AddrPort{regionAddress(0), regionAddress(1)},
		instances:    map[int]*regionInstance{},
		transit:      func(int, int) (time.Duration, bool) { return time.Duration(1+random.IntN(9)) * time.Millisecond, true },
		dialTime:     func() time.Duration { return time.Duration(random.IntN(4)) * time.Millisecond },
		requestShare: 0.5,
	}
}

func regionAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(n)}), 7000)
}

// start starts an instance, or starts it again.
func (r *region) start(n int) {
	r.runs++
	id := ident.Instance(fmt.Sprintf("entry-%d", n))
	record := gossip.Record{ID: id, Incarnation: r.runs, Region: "west", PeerAddress: regionAddress(n)}
	p := New(Settings{Self: id, Region: "west", PromptRate: 60})
	p.SetServices(map[ident.Service]spec.Service{
		"chat": {Name: "chat", Warmup: warmupTime, WarmupRate: warmupRate, Engine: true},
		"app":  {Name: "app"},
	})
	r.instances[n] = &regionInstance{
		membership: gossip.New(record, r.seeds, rand.New(rand.NewPCG(r.runs, 3))),
		pool:       p,
		nextTick:   r.now.Add(time.Duration(r.random.Int64N(int64(gossip.TickInterval)))),
		listedAt:   r.now.Add(listDelay),
	}
}

func (r *region) startAll(n int) {
	for i := range n {
		r.start(i)
	}
}

// run lets time pass.
func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(regionStep) {
		if len(r.upstreams) == 0 || r.now.Sub(r.upstreams[len(r.upstreams)-1].startedAt) >= upstreamInterval {
			u := testUpstream(len(r.upstreams))
			u.StartTime = r.now
			r.upstreams = append(r.upstreams, regionUpstream{Upstream: u, startedAt: r.now})
		}
		r.deliver()
		r.deliverAnswers()
		for n := range 64 {
			if i := r.instances[n]; i != nil && !r.now.Before(i.frozenUntil) {
				r.step(n, i)
			}
		}
	}
}

// step lets one instance do what is due. An instance that was paused sends the requests
// that waited before it ticks.
func (r *region) step(n int, i *regionInstance) {
	if i.phase < member.Stopped && r.random.Float64() < r.requestShare {
		r.choose(i, Request{Service: "chat", Tokens: 500})
	}
	if r.limit != nil && i.phase < member.Stopped && r.random.Float64() < r.requestShare {
		r.choose(i, Request{Service: "app"})
	}
	r.sendDialed(i)
	if r.now.Before(i.nextTick) {
		return
	}
	i.nextTick = r.now.Add(gossip.TickInterval)
	i.readList(r)
	i.membership.UpdateSelf(func(own *gossip.Record) {
		own.Phase = i.phase
		own.UpstreamLimits = i.pool.UpstreamLimits(r.now)
	})
	for _, hb := range i.membership.DueHeartbeats(r.now) {
		r.post(n, hb)
	}
	i.publish(r.now)
}

// readList makes the upstreams known that started since the last tick.
func (i *regionInstance) readList(r *region) {
	if r.now.Before(i.listedAt) {
		return
	}
	if r.limit != nil {
		i.pool.SetUpstream(r.now, limitedUpstream)
	}
	if i.phase == member.Starting {
		i.phase = member.Ready
		i.membership.Announce()
	}
	for ; i.listed < len(r.upstreams); i.listed++ {
		u := r.upstreams[i.listed]
		u.WarmupLeft = warmupTime - r.now.Sub(u.startedAt)
		if u.WarmupLeft > 0 {
			i.pool.SetUpstream(r.now, u.Upstream)
		}
	}
}

// publish applies the membership to the pool.
func (i *regionInstance) publish(now time.Time) {
	v := i.membership.View(now)
	i.pool.SetRegion(now, v.RegionInstances(), v.RegionAgrees)
	i.pool.SetPeerLimits(now, v.RegionLimits(now))
}

// choose has the pool pick an upstream, which the request reaches once its connection is
// open.
func (r *region) choose(i *regionInstance, request Request) {
	lease, found := i.pool.Pick(r.now, request)
	if !found {
		return
	}
	i.dialing = append(i.dialing, regionDial{lease, r.now.Add(r.dialTime())})
}

// sendDialed sends the requests whose connections are open.
func (r *region) sendDialed(i *regionInstance) {
	left := i.dialing[:0]
	for _, d := range i.dialing {
		if d.openAt.After(r.now) {
			left = append(left, d)
			continue
		}
		r.send(i, d.lease)
	}
	i.dialing = left
}

// send sends a request if it is still admitted. Upstreams are removed when they are warm.
func (r *region) send(i *regionInstance, lease *Lease) {
	paced, admitted := lease.AdmitSend(r.now)
	if admitted && lease.Upstream.ID == limitedUpstream.ID {
		r.sendLimited(i, lease)
		return
	}
	lease.End(r.now, Cancelled)
	if admitted && paced == nil {
		i.pool.RemoveUpstream(r.now, lease.Upstream.ID)
	}
	for n := range r.upstreams {
		u := &r.upstreams[n]
		if admitted && u.ID == lease.Upstream.ID && r.now.Sub(u.startedAt) < warmupTime {
			u.arrivals = append(u.arrivals, r.now)
		}
	}
}

// answerDelay is the time until limitedUpstream answers.
const answerDelay = 20 * time.Millisecond

// toldBefore is how long before a request its sender must have been told of the limit for
// the request to count.
const toldBefore = 500 * time.Millisecond

// sendLimited lets a request reach limitedUpstream, which names its limit as of then.
func (r *region) sendLimited(i *regionInstance, lease *Lease) {
	told := !i.toldAt.IsZero() && r.now.Sub(i.toldAt) >= toldBefore
	r.limitedArrivals = append(r.limitedArrivals, limitedArrival{r.now, told})
	r.answers = append(r.answers, limitedAnswer{r.now.Add(answerDelay), i, lease, r.limit(r.now)})
}

// deliverAnswers delivers the answers of limitedUpstream that are due.
func (r *region) deliverAnswers() {
	left := r.answers[:0]
	for _, a := range r.answers {
		if a.at.After(r.now) || r.now.Before(a.to.frozenUntil) {
			left = append(left, a)
			continue
		}
		if a.limit.Named && a.to.toldAt.IsZero() {
			a.to.toldAt = r.now
		}
		a.lease.ReportLimit(r.now, a.limit)
		a.lease.ResponseReceived(r.now)
		a.lease.End(r.now, Answered)
	}
	r.answers = left
}

func (r *region) post(from int, hb gossip.Heartbeat) {
	to := int(hb.Address.Addr().As4()[3])
	if delay, delivered := r.transit(from, to); delivered {
		r.messages = append(r.messages, regionMessage{at: r.now.Add(delay), from: from, to: to, records: hb.Records})
	}
}

func (r *region) deliver() {
	left := r.messages[:0]
	for _, m := range r.messages {
		to := r.instances[m.to]
		if m.at.After(r.now) || to != nil && r.now.Before(to.frozenUntil.Add(gossip.TickInterval)) {
			left = append(left, m)
			continue
		}
		if to == nil || to.phase == member.Stopped {
			continue
		}
		if to.membership.Receive(r.now, m.records) {
			to.publish(r.now)
		}
	}
	r.messages = left
}

// expectBound fails the test if a cold upstream got more requests in some second from a
// time on than the rule allows.
func (r *region) expectBound(from time.Time) {
	r.t.Helper()
	allowed := int(math.Floor(warmupRate*warmupOverage + warmupSlack))
	for _, u := range r.upstreams {
		for i, first := range u.arrivals {
			if first.Before(from) || i+allowed >= len(u.arrivals) {
				continue
			}
			if u.arrivals[i+allowed].Sub(first) <= time.Second {
				r.t.Errorf("%s got more than %d requests in the second from %s", u.ID, allowed, first.Sub(start))
				return
			}
		}
	}
}

// meanArrivals returns how many requests the upstreams got on average while they were
// cold, of those that started in the last time d and are warm now.
func (r *region) meanArrivals(d time.Duration) float64 {
	total, count := 0, 0
	for _, u := range r.upstreams {
		age := r.now.Sub(u.startedAt)
		if age > d || age < warmupTime {
			continue
		}
		total += len(u.arrivals)
		count++
	}
	return float64(total) / float64(max(1, count))
}
