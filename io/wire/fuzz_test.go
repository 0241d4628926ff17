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

// FuzzMessages decodes bytes as each message that a peer sends. A message that is
// accepted must stay the same when it is encoded and decoded again.
func FuzzMessages(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	incarnation := ident.Incarnation{Instance: "west-1", Start: 7}
	entry := member.Entry{ID: "west-1", Zone: "z", Region: "west"}
	summary := member.RegionSummary{Region: "north", Origin: incarnation, Contacts: []member.Contact{{Incarnation: incarnation, Zone: "z"}}}
	note := dedup.SuccessorNote{Stopped: incarnation, Successor: incarnation, Expires: now.Add(time.Minute)}
	f.Add(encode(HeartbeatToWire(member.Heartbeat{From: incarnation, Self: &entry, Summaries: []member.RegionSummary{summary}})))
	f.Add(encode(SummaryToWire(summary)))
	f.Add(encode(ChunkToWire(dedup.Chunk{Owner: incarnation, Exporter: incarnation, Records: []dedup.ExportedRecord{{Unique: "u", Answer: &dedup.Answer{Outcome: result.Done}}}})))
	f.Add(encode(SuccessorNoteToWire(now, note)))
	f.Add(Codec{}.EncodeGossip(now, node.Gossip{Loads: []node.UpstreamLoad{{Upstream: "u"}}, SuccessorNotes: []dedup.SuccessorNote{note}}))
	f.Add(Codec{}.EncodeLoad(node.RegionLoad{Models: []node.ModelLoad{{Model: "m", Free: 3}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRoundTrip(t, data, &Heartbeat{}, HeartbeatFromWire, HeartbeatToWire)
		checkRoundTrip(t, data, &Summary{}, SummaryFromWire, SummaryToWire)
		checkRoundTrip(t, data, &Chunk{}, ChunkFromWire, ChunkToWire)
		checkRoundTrip(t, data, &Note{}, func(n *Note) (dedup.SuccessorNote, error) { return SuccessorNoteFromWire(now, n) },
			func(n dedup.SuccessorNote) *Note { return SuccessorNoteToWire(now, n) })
		if gossip, err := (Codec{}).DecodeGossip(now, data); err == nil {
			_ = Codec{}.EncodeGossip(now, gossip)
		}
		if load, err := (Codec{}).DecodeLoad(data); err == nil {
			_ = Codec{}.EncodeLoad(load)
		}
	})
}

// checkRoundTrip decodes a message, then encodes and decodes the result again.
func checkRoundTrip[M proto.Message, T any](t *testing.T, data []byte, message M, from func(M) (T, error), to func(T) M) {
	if proto.Unmarshal(data, message) != nil {
		return
	}
	decoded, err := from(message)
	if err != nil {
		return
	}
	encoded := to(decoded)
	decodedAgain, err := from(encoded)
	if err != nil {
		t.Fatalf("%T can't be decoded again: %v", message, err)
	}
	if !proto.Equal(encoded, to(decodedAgain)) {
		t.Fatalf("%T changes when it is decoded again:\n%v\n%v", message, encoded, to(decodedAgain))
	}
}
