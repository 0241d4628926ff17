package wire

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
)

// FuzzMessages reads bytes as each message that a peer sends. What is taken must
// come out the same when it is written and read again.
func FuzzMessages(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	one := ident.Incarnation{Instance: "west-1", Start: 7}
	entry := member.Entry{ID: "west-1", Zone: "z", Region: "west"}
	summary := member.RegionSummary{Region: "north", Origin: one, Contacts: []member.Contact{{Incarnation: one, Zone: "z"}}}
	note := dedup.SuccessorNote{Stopped: one, Successor: one, Expires: now.Add(time.Minute)}
	f.Add(encode(HeartbeatToWire(member.Heartbeat{From: one, Self: &entry, Summaries: []member.RegionSummary{summary}})))
	f.Add(encode(SummaryToWire(summary)))
	f.Add(encode(ChunkToWire(dedup.Chunk{Owner: one, Exporter: one, Records: []dedup.ExportedRecord{{Unique: "u", Answer: &dedup.Answer{Outcome: result.Done}}}})))
	f.Add(encode(SuccessorNoteToWire(now, note)))
	f.Add(Codec{}.EncodeGossip(now, node.Gossip{Loads: []node.UpstreamLoad{{Upstream: "u"}}, SuccessorNotes: []dedup.SuccessorNote{note}}))
	f.Add(Codec{}.EncodeLoad(node.RegionLoad{Models: []node.ModelLoad{{Model: "m", Free: 3}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		again(t, data, &Heartbeat{}, HeartbeatFromWire, HeartbeatToWire)
		again(t, data, &Summary{}, SummaryFromWire, SummaryToWire)
		again(t, data, &Chunk{}, ChunkFromWire, ChunkToWire)
		again(t, data, &Note{}, func(n *Note) (dedup.SuccessorNote, error) { return SuccessorNoteFromWire(now, n) },
			func(n dedup.SuccessorNote) *Note { return SuccessorNoteToWire(now, n) })
		if gossip, err := (Codec{}).DecodeGossip(now, data); err == nil {
			_ = Codec{}.EncodeGossip(now, gossip)
		}
		if load, err := (Codec{}).DecodeLoad(data); err == nil {
			_ = Codec{}.EncodeLoad(load)
		}
	})
}

// again reads a message, and writes and reads what was taken of it.
func again[M proto.Message, T any](t *testing.T, data []byte, message M, from func(M) (T, error), to func(T) M) {
	if proto.Unmarshal(data, message) != nil {
		return
	}
	taken, err := from(message)
	if err != nil {
		return
	}
	first := to(taken)
	second, err := from(first)
	if err != nil {
		t.Fatalf("%T is not read again: %v", message, err)
	}
	if !proto.Equal(first, to(second)) {
		t.Fatalf("%T changes when it is read again:\n%v\n%v", message, first, to(second))
	}
}
