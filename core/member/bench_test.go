package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"arbutustrestle/core/ident"
)

// The target: 370 instances in 14 regions, with 14 models, and at most 7 KB/s of
// control traffic at each instance, both directions added.
const (
	targetEntries      = 370
	targetRegions      = 14
	targetControlBytes = 7000
	summaryPayload     = 14 * 24
	heartbeatPayload   = 32
	// messageOverheadBytes is what TCP, IP and yamux add to a message, including the
	// acknowledgement in the other direction.
	messageOverheadBytes = 12 + 2*52
	addressBytes         = 2 + len("10.100.100.100:10000")
)

func stringSize[T ~string](s T) int { return 1 + protowire.SizeBytes(len(s)) }

func varintsSize(list ...uint64) (size int) {
	for _, n := range list {
		size += 1 + protowire.SizeVarint(n)
	}
	return size
}

// wireSize returns the size of a message in protobuf, with the overhead of its
// transport.
func wireSize(e Event) int {
	switch e := e.(type) {
	case HeartbeatArrived:
		h := &e.Heartbeat
		size := messageOverheadBytes + stringSize(h.From.String()) + len(h.Payload) + varintsSize(h.Sequence, h.Echo.Start, h.Echo.Sequence, uint64(h.Phase), uint64(h.Revisions.Table), uint64(h.Revisions.Entries), uint64(h.Revisions.Upstreams), 0)
		if h.Self != nil {
			size += stringSize(h.Self.ID) + stringSize(h.Self.Zone) + stringSize(h.Self.Region) + 3*addressBytes
		}
		for _, sum := range h.Summaries {
			size += wireSize(SummaryArrived{Summary: sum}) - messageOverheadBytes
		}
		return size
	case SummaryArrived:
		s := &e.Summary
		size := messageOverheadBytes + stringSize(s.Region) + stringSize(s.Origin.String()) + len(s.Payload) + varintsSize(s.Sequence, uint64(s.AgeMillis), uint64(s.ReadyCount), uint64(s.TableRevision), 0, 0)
		for _, c := range s.Contacts {
			size += 2 + stringSize(c.Incarnation.String()) + stringSize(c.Zone) + 2*addressBytes
		}
		return size
	}
	return 0
}

// newFleet starts region r00 with the given size, and 13 others that make up the
// target together with it, or have 9 instances each.
func newFleet(size int) *network {
	n := newNetwork()
	listing := Listing{Revision: 1}
	for r := range targetRegions {
		count := size
		if r > 0 {
			count = max(9, (targetEntries-size)/(targetRegions-1))
		}
		for i := range count {
			id := ident.Instance(fmt.Sprintf("r%02d-%03d", r, i))
			n.startRun(fmt.Sprintf("%s~%d", id, 1<<60+r*1000+i))
			listing.Entries = append(listing.Entries, entryOf(id))
		}
	}
	revisions := Revisions{Table: 100_000, Entries: 100_000, Upstreams: 100_000}
	for _, id := range n.order {
		n.step(id, ListingRead{Listing: listing})
		n.step(id, LocalStateChanged{Phase: Ready, Revisions: revisions, Payload: make([]byte, heartbeatPayload), SummaryPayload: make([]byte, summaryPayload)})
	}
	n.run(20 * time.Second)
	return n
}

// measureTraffic returns the traffic of the instances of r00 without faults, sent and
// received: the mean and the highest bytes per second of an instance, and the messages
// per second of an instance of the fleet.
func (n *network) measureTraffic(seconds int) (mean, busiest, messages float64) {
	bytes := map[ident.Instance]int{}
	entries, messageCount := 0, 0
	for end := n.now.Add(time.Duration(seconds) * time.Second); n.now.Before(end); {
		n.run(stepInterval)
		for _, m := range n.queue {
			bytes[m.from] += wireSize(m.event)
			bytes[m.to] += wireSize(m.event)
			messageCount++
		}
	}
	sum := 0
	for _, id := range n.order {
		if id[:3] == "r00" {
			entries++
			sum += bytes[id]
			busiest = max(busiest, float64(bytes[id])/float64(seconds))
		}
	}
	return float64(sum) / float64(entries*seconds), busiest, 2 * float64(messageCount) / float64(len(n.order)*seconds)
}

// TestControlTraffic checks the traffic of the busiest instance, in a region of mean
// size, against the target; BenchmarkFleet has other sizes.
func TestControlTraffic(t *testing.T) {
	if _, busiest, _ := newFleet(26).measureTraffic(30); busiest > targetControlBytes {
		t.Errorf("%.0f B/s, limit %d B/s", busiest, targetControlBytes)
	}
}

// BenchmarkFleet reports the traffic, and the bytes that one state holds, its view
// included.
func BenchmarkFleet(b *testing.B) {
	for _, size := range regionSizes {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			heapBefore := heapBytes()
			n := newFleet(size)
			n.queue = nil
			b.ReportMetric(float64(heapBytes()-heapBefore)/float64(len(n.nodes)), "B/state")
			mean, busiest, messages := n.measureTraffic(60)
			b.ReportMetric(mean, "mean-B/s")
			b.ReportMetric(busiest, "busiest-B/s")
			b.ReportMetric(messages, "fleet-messages/s")
		})
	}
}

var regionSizes = []int{9, 26, 65, 120}

// BenchmarkDecisions measures each kind of step and lookup at one instance of the
// region.
func BenchmarkDecisions(b *testing.B) {
	for _, size := range regionSizes {
		n := newFleet(size)
		s := n.nodes["r00-004"].state
		p := s.findPeer("r00-001")
		run := ident.Incarnation{Instance: "r00-001", Start: p.start}
		h := Heartbeat{From: run, Sequence: p.sequence, Phase: Ready, Revisions: p.revisions}
		for _, operation := range []struct {
			name string
			run  func()
		}{
			{"tick", func() { n.now = n.now.Add(TickInterval); s.Step(n.now, Tick{}) }},
			{"heartbeat", func() {
				h.Sequence++
				h.Echo = Echo{Start: s.options.Start, Sequence: p.sentSequence}
				s.Step(n.now, HeartbeatArrived{Heartbeat: h})
			}},
			{"view-build", func() { s.buildView() }},
			{"view-lookup", func() { s.View().MemberByIncarnation(run) }},
		} {
			b.Run(fmt.Sprintf("%s/entries=%d", operation.name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					operation.run()
				}
			})
		}
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
