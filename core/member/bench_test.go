package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"arbutustrestle/core/ident"
)

// The target: 370 entries in 14 regions, with 14 models, and at most 7 KB/s for
// control at each entry, counted here in both directions together.
const (
	targetEntries      = 370
	targetRegions      = 14
	targetControlBytes = 7000
	summaryPayload     = 14 * 24
	heartbeatPayload   = 32
	// segmentBytes is what TCP, IP and yamux add to a message, and the
	// acknowledgement on the way back.
	segmentBytes = 12 + 2*52
	addressBytes = 2 + len("10.100.100.100:10000")
)

func text[T ~string](s T) int { return 1 + protowire.SizeBytes(len(s)) }

func numbers(list ...uint64) (size int) {
	for _, n := range list {
		size += 1 + protowire.SizeVarint(n)
	}
	return size
}

// bytesOf returns the size of a message in protobuf, with what its way adds.
func bytesOf(e Event) int {
	switch e := e.(type) {
	case HeartbeatArrived:
		h := &e.Heartbeat
		size := segmentBytes + text(h.From.String()) + len(h.Payload) + numbers(h.Sequence, h.Echo.Start, h.Echo.Sequence, uint64(h.Phase), uint64(h.Revisions.Table), uint64(h.Revisions.Entries), uint64(h.Revisions.Upstreams), 0)
		if h.Self != nil {
			size += text(h.Self.ID) + text(h.Self.Zone) + text(h.Self.Region) + 3*addressBytes
		}
		for _, sum := range h.Summaries {
			size += bytesOf(SummaryArrived{Summary: sum}) - segmentBytes
		}
		return size
	case SummaryArrived:
		s := &e.Summary
		size := segmentBytes + text(s.Region) + text(s.Origin.String()) + len(s.Payload) + numbers(s.Sequence, uint64(s.AgeMillis), uint64(s.ReadyCount), uint64(s.TableRevision), 0, 0)
		for _, c := range s.Contacts {
			size += 2 + text(c.Incarnation.String()) + text(c.Zone) + 2*addressBytes
		}
		return size
	}
	return 0
}

// fleet holds region r00 of the given size, and 13 others that make up the target
// with it, or have 9 entries.
func fleet(size int) *network {
	n := newNetwork()
	listing := Listing{Revision: 1}
	for r := range targetRegions {
		count := size
		if r > 0 {
			count = max(9, (targetEntries-size)/(targetRegions-1))
		}
		for i := range count {
			id := ident.Instance(fmt.Sprintf("r%02d-%03d", r, i))
			n.start(fmt.Sprintf("%s~%d", id, 1<<60+r*1000+i))
			listing.Entries = append(listing.Entries, entryOf(id))
		}
	}
	held := Revisions{Table: 100_000, Entries: 100_000, Upstreams: 100_000}
	for _, id := range n.order {
		n.step(id, ListingRead{Listing: listing})
		n.step(id, LocalStateChanged{Phase: Ready, Revisions: held, Payload: make([]byte, heartbeatPayload), SummaryPayload: make([]byte, summaryPayload)})
	}
	n.run(20 * time.Second)
	return n
}

// traffic returns what the entries of r00 send and receive in calm: the bytes a
// second of the mean and of the busiest one, and messages a second.
func (n *network) traffic(seconds int) (mean, most, messages float64) {
	bytes := map[ident.Instance]int{}
	entries, count := 0, 0
	for end := n.now.Add(time.Duration(seconds) * time.Second); n.now.Before(end); {
		n.run(step)
		for _, m := range n.queue {
			bytes[m.from] += bytesOf(m.event)
			bytes[m.to] += bytesOf(m.event)
			count++
		}
	}
	sum := 0
	for _, id := range n.order {
		if id[:3] == "r00" {
			entries++
			sum += bytes[id]
			most = max(most, float64(bytes[id])/float64(seconds))
		}
	}
	return float64(sum) / float64(entries*seconds), most, 2 * float64(count) / float64(len(n.order)*seconds)
}

// TestControlTraffic holds the traffic of the busiest entry of a region of the
// mean size to the target; BenchmarkFleet has other sizes.
func TestControlTraffic(t *testing.T) {
	if _, most, _ := fleet(26).traffic(30); most > targetControlBytes {
		t.Errorf("%.0f B/s of %d", most, targetControlBytes)
	}
}

// BenchmarkFleet reports the traffic, and the bytes that one state holds, its view
// included.
func BenchmarkFleet(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			before := heap()
			n := fleet(size)
			n.queue = nil
			b.ReportMetric(float64(heap()-before)/float64(len(n.nodes)), "B/state")
			mean, most, messages := n.traffic(60)
			b.ReportMetric(mean, "mean-B/s")
			b.ReportMetric(most, "busiest-B/s")
			b.ReportMetric(messages, "fleet-messages/s")
		})
	}
}

var sizes = []int{9, 26, 65, 120}

// BenchmarkDecisions measures each decision at one entry of the region.
func BenchmarkDecisions(b *testing.B) {
	for _, size := range sizes {
		n := fleet(size)
		s := n.nodes["r00-004"].state
		p := s.find("r00-001")
		run := ident.Incarnation{Instance: "r00-001", Start: p.start}
		h := Heartbeat{From: run, Sequence: p.sequence, Phase: Ready, Revisions: p.held}
		for _, decision := range []struct {
			name string
			run  func()
		}{
			{"tick", func() { n.now = n.now.Add(TickInterval); s.Step(n.now, Tick{}) }},
			{"heartbeat", func() {
				h.Sequence++
				h.Echo = Echo{Start: s.options.Start, Sequence: p.sent}
				s.Step(n.now, HeartbeatArrived{Heartbeat: h})
			}},
			{"view-build", func() { s.buildView() }},
			{"view-lookup", func() { s.View().MemberByIncarnation(run) }},
		} {
			b.Run(fmt.Sprintf("%s/entries=%d", decision.name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					decision.run()
				}
			})
		}
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
