package proxy

import (
	"strings"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/queue"
	"arbutustrestle/core/spec"
)

// mayWait reports whether a request may wait: its route must state by when its answer is of
// use. A stream that has begun is continued at once.
func mayWait(call *Call) bool {
	return hasTimes(call.Route) && !call.headSent
}

// hasTimes reports whether a route states by when an answer is of use.
func hasTimes(r *spec.Route) bool {
	return r.LatencyObjective > 0 && r.Timeout > 0
}

// maxSendWait returns the longest projected wait at an upstream with which a request that
// may wait here is sent.
func (c *Call) maxSendWait(now time.Time) time.Duration {
	limit := max(sendFraction*float64(c.Route.LatencyObjective), float64(minSendWait))
	if c.ticket != nil && c.ticket.Late(now) {
		limit *= lateFraction
	}
	return min(time.Duration(limit), c.usefulUntil.Sub(now))
}

// postpones reports whether a waiting request that could have been on time is projected to
// be late by now, and then puts it behind those that can be.
func (c *Call) postpones(now time.Time) bool {
	if c.ticket == nil || !c.ticket.Waits() || c.ticket.Late(now) {
		return false
	}
	first := now.Add(c.projection.FirstByte + c.projection.Wait).Sub(c.Arrived)
	if first <= time.Duration(onTimeFraction*float64(c.Route.LatencyObjective)) {
		return false
	}
	c.ticket.Postpone()
	return true
}

// item returns the item of a request in the queue.
func (q *entryQueue) item(call *Call) queue.Item {
	cost := float64(call.PromptTokens + call.OutputTokens)
	process := max(0, call.projection.FirstByte-call.projection.Wait)
	objective := time.Duration(onTimeFraction * float64(call.Route.LatencyObjective))
	useful := call.Deadline.Add(-process)
	if call.Route.Kind == spec.Stream {
		tail := min(q.tails[call.Route.Name], time.Duration(maxTailFraction*float64(call.Route.Timeout)))
		useful = useful.Add(-tail)
	}
	onTime := call.Arrived.Add(objective - min(process, objective/2))
	patience := call.Arrived.Add(time.Duration(maxWaitedFraction * float64(call.Deadline.Sub(call.Arrived))))
	return queue.Item{
		Service:     call.Service,
		Lane:        laneOf(call),
		Class:       gossip.PriorityClass(call.Priority()),
		Workspace:   string(call.workspaceName()),
		Cost:        cost,
		Bytes:       len(call.Body) + waitingBytes,
		OnTimeUntil: onTime,
		UsefulUntil: earliest(useful, latest(onTime, patience)),
	}
}

// laneOf names the regions that may serve a request: the homes of its route, and those of its
// workspace.
func laneOf(call *Call) string {
	lane := joinRegions(call.Route.HomeRegions)
	if homes := call.workspaceHomes(); len(homes) > 0 {
		lane += "/" + joinRegions(homes)
	}
	return lane
}

func joinRegions(regions []ident.Region) string {
	names := make([]string, len(regions))
	for i, region := range regions {
		names[i] = string(region)
	}
	return strings.Join(names, " ")
}

// queueDelay returns the time that the request would wait here before it is sent to an
// upstream of this region. It is zero for one that can be sent now.
func (c *Call) queueDelay(now time.Time, local pool.Projection) time.Duration {
	if !c.waits || local.Wait <= c.maxSendWait(now) {
		return 0
	}
	return c.localDelay
}

// maxWaitedFraction is the part of its time for which a request that can't be on time any more
// waits. One that is refused then has most of its time left to come back.
const maxWaitedFraction = 0.25

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
