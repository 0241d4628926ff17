package member

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/ident"
)

// network drives several states under one virtual clock, with a queue of messages.
type network struct {
	now   time.Time
	nodes map[ident.Instance]*node
	order []ident.Instance
	queue []message
	// cuts and capturePattern are patterns such as "west>north-1", of two name
	// prefixes.
	cuts           []string
	capturePattern string
	captured       []message
	out            strings.Builder
}

type node struct {
	state       *State
	pausedUntil time.Time
}

type message struct {
	from, to ident.Instance
	at       time.Time
	event    Event
}

const stepInterval = 50 * time.Millisecond

func newNetwork() *network {
	return &network{now: time.UnixMilli(0), nodes: map[ident.Instance]*node{}}
}

func (m *message) matches(pattern string) bool {
	from, to, found := strings.Cut(pattern, ">")
	return found && strings.HasPrefix(string(m.from), from) && strings.HasPrefix(string(m.to), to)
}

func (n *network) step(id ident.Instance, e Event) {
	for _, action := range n.nodes[id].state.Step(n.now, e) {
		m := message{from: id, at: n.now.Add(stepInterval)}
		switch a := action.(type) {
		case SendHeartbeat:
			m.to, m.event = n.instanceAt(a.Address), HeartbeatArrived{Heartbeat: a.Heartbeat}
			n.queue = append(n.queue, m)
		case SendSummary:
			m.to, m.event = n.instanceAt(a.Address), SummaryArrived{Summary: a.Summary}
			n.queue = append(n.queue, m)
		case PauseDetected:
			fmt.Fprintf(&n.out, "%s paused for %s\n", id, a.Gap)
		}
	}
}

func (n *network) deliver() {
	queue := n.queue
	n.queue = nil
	for _, m := range queue {
		to := n.nodes[m.to]
		cut := false
		for _, pattern := range n.cuts {
			cut = cut || m.matches(pattern)
		}
		switch {
		case m.matches(n.capturePattern):
			n.captured = append(n.captured, m)
		case cut:
		case to == nil && n.nodes[m.from] != nil:
			n.step(m.from, SendFailed{To: m.to})
		case to == nil:
		case m.at.After(n.now) || to.pausedUntil.After(n.now):
			n.queue = append(n.queue, m)
		default:
			n.step(m.to, m.event)
		}
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(stepInterval)
		n.deliver()
		due := n.now.UnixMilli()%TickInterval.Milliseconds() == 0
		for _, id := range n.order {
			if v := n.nodes[id]; due && v != nil && !v.pausedUntil.After(n.now) {
				n.step(id, Tick{})
			}
		}
	}
}

// entryOf describes an instance whose name begins with its region: "west-1".
func entryOf(id ident.Instance) Entry {
	region, _, _ := strings.Cut(string(id), "-")
	address := netip.AddrPortFrom(netip.AddrFrom16([16]byte([]byte(fmt.Sprintf("%-16s", id)))), 1)
	return Entry{ID: id, Region: ident.Region(region), Zone: ident.Zone(region + "-a"), Peer: address}
}

// instanceAt returns the instance with an address created by entryOf.
func (n *network) instanceAt(address netip.AddrPort) ident.Instance {
	name := address.Addr().As16()
	return ident.Instance(strings.TrimSpace(string(name[:])))
}

// startRun starts a run named like "west-1~12", optionally with seeds.
func (n *network) startRun(run string, seeds ...netip.AddrPort) {
	name, number, _ := strings.Cut(run, "~")
	id := ident.Instance(name)
	if n.nodes[id] == nil {
		n.order = append(n.order, id)
	}
	start, _ := strconv.ParseUint(number, 10, 64)
	n.nodes[id] = &node{state: New(Options{Self: entryOf(id), Start: start, Seeds: seeds})}
	n.step(id, LocalStateChanged{Phase: Ready, Revisions: Revisions{Table: 1}})
}

// sendListing passes a listing of names to an instance; "west-1!" is leaving.
func (n *network) sendListing(to ident.Instance, revision string, names []string) {
	number, _ := strconv.Atoi(revision)
	l := Listing{Revision: ident.Revision(number)}
	for _, name := range names {
		id, leaving := strings.CutSuffix(name, "!")
		e := entryOf(ident.Instance(id))
		e.Leaving = leaving
		l.Entries = append(l.Entries, e)
	}
	n.step(to, ListingRead{Listing: l})
}

// printView writes an instance's view of the others in one line.
func (n *network) printView(id ident.Instance) {
	v := n.nodes[id].state.View()
	fmt.Fprintf(&n.out, "%s:", id)
	for i := range v.Members() {
		m := &v.Members()[i]
		if m.Entry.ID == id {
			continue
		}
		fmt.Fprintf(&n.out, " %s~%d=%s", m.Entry.ID, m.Start, m.Status)
		for i, set := range []bool{m.Usable, !m.Listed, m.Leaving} {
			if set {
				fmt.Fprintf(&n.out, ",%s", []string{"usable", "unlisted", "leaving"}[i])
			}
		}
	}
	for _, r := range v.Regions() {
		fmt.Fprintf(&n.out, " [%s fresh=%t ready=%d", r.Name, r.Fresh, r.ReadyCount)
		for _, c := range r.Contacts {
			fmt.Fprintf(&n.out, " %s~%d", c.Incarnation.Instance, c.Incarnation.Start)
		}
		n.out.WriteString("]")
	}
	fmt.Fprintf(&n.out, " advised=%v stale=%t\n", v.AvailableInstances(), v.Stale)
}

var phases = map[string]Phase{"draining": Draining, "stopped": Stopped}

func (n *network) runCommand(words []string) {
	id := ident.Instance(words[min(1, len(words)-1)])
	wait, _ := time.ParseDuration(words[len(words)-1])
	switch words[0] {
	case "start":
		for _, run := range words[1:] {
			n.startRun(run)
		}
	case "seed": // seed RUN SEED
		n.startRun(words[1], entryOf(ident.Instance(words[2])).Peer)
	case "crash":
		delete(n.nodes, id)
	case "list": // list TO|all REVISION NAME...
		for _, to := range n.order {
			if n.nodes[to] != nil && (id == "all" || id == to) {
				n.sendListing(to, words[2], words[3:])
			}
		}
	case "run":
		n.run(wait)
	case "pause": // The instance does not step, and messages to it wait.
		n.nodes[id].pausedUntil = n.now.Add(wait)
	case "fail": // fail FROM TO: a forwarded request could not be delivered.
		n.step(id, SendFailed{To: ident.Instance(words[2])})
	case "phase":
		n.step(id, LocalStateChanged{Phase: phases[words[2]], Revisions: Revisions{Table: 1}})
	case "cut":
		n.cuts = words[1:]
	case "catch": // Holds messages back until replay.
		n.capturePattern = words[1]
	case "replay": // Newest first, each twice.
		n.capturePattern = ""
		for i := 2*len(n.captured) - 1; i >= 0; i-- {
			n.step(n.captured[i/2].to, n.captured[i/2].event)
		}
		n.captured = nil
	case "view":
		n.printView(id)
	case "usable":
		v := n.nodes[id].state.View()
		usable := slices.DeleteFunc(slices.Clone(v.Members()), func(m Member) bool { return !m.Usable })
		fmt.Fprintf(&n.out, "%s: %d of %d usable\n", id, len(usable), len(v.Members()))
	case "counts":
		fmt.Fprintf(&n.out, "%+v\n", n.nodes[id].state.Counts())
	}
}

func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(_ *testing.T, d *datadriven.TestData) string {
		n := newNetwork()
		for _, line := range strings.Split(d.Input, "\n") {
			command, _, _ := strings.Cut(line, "#")
			for _, part := range strings.Split(command, ";") {
				if words := strings.Fields(part); len(words) > 0 {
					n.runCommand(words)
				}
			}
		}
		return n.out.String()
	})
}
