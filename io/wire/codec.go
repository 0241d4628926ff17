// Package wire defines the messages between instances, and their conversion to and from
// the types of the core.
package wire

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/node"
	"arbutustrestle/core/share"
)

// Codec encodes and decodes the payloads of heartbeats and summaries with protobuf.
type Codec struct{}

var _ node.Codec = Codec{}

// EncodeGossip encodes the payload of a heartbeat. It encodes times as ages, since the
// clocks of two machines are not comparable.
func (Codec) EncodeGossip(now time.Time, g node.Gossip) []byte {
	message := &Gossip{}
	for _, l := range g.Loads {
		message.Loads = append(message.Loads, loadToWire(now, l))
	}
	for _, u := range g.Usage {
		message.Usage = append(message.Usage, claimsToWire(u))
	}
	for _, n := range g.SuccessorNotes {
		message.Notes = append(message.Notes, SuccessorNoteToWire(now, n))
	}
	for _, d := range g.Demands {
		message.Demands = append(message.Demands, &Demand{Group: d.Group, Wanted: uint32(d.Wanted)})
	}
	return encode(message)
}

// DecodeGossip decodes the payload of a heartbeat. It returns a NotValid error for a
// payload that no instance sends.
func (Codec) DecodeGossip(now time.Time, payload []byte) (node.Gossip, error) {
	var message Gossip
	if err := proto.Unmarshal(payload, &message); err != nil {
		return node.Gossip{}, errors.NewNotValid(err, "gossip")
	}
	var g node.Gossip
	for _, l := range message.GetLoads() {
		g.Loads = append(g.Loads, loadFromWire(now, l))
	}
	for _, u := range message.GetUsage() {
		g.Usage = append(g.Usage, claimsFromWire(u))
	}
	for _, n := range message.GetNotes() {
		note, err := SuccessorNoteFromWire(now, n)
		if err != nil {
			return node.Gossip{}, errors.Trace(err)
		}
		g.SuccessorNotes = append(g.SuccessorNotes, note)
	}
	for _, d := range message.GetDemands() {
		g.Demands = append(g.Demands, node.Demand{Group: d.GetGroup(), Wanted: int(min(d.GetWanted(), maxWantedSlots))})
	}
	return g, nil
}

// EncodeLoad encodes the free capacity of a region, the payload of a summary.
func (Codec) EncodeLoad(l node.RegionLoad) []byte {
	message := &RegionLoad{}
	for _, m := range l.Models {
		message.Models = append(message.Models, &ModelLoad{
			Model: string(m.Model), FreeSlots: uint32(m.Free), Slots: uint32(m.Slots), WaitMs: milliseconds(m.Wait),
		})
	}
	for _, s := range l.Services {
		message.Models = append(message.Models, &ModelLoad{
			Service: string(s.Service), FreeSlots: uint32(s.Free), Slots: uint32(s.Slots), WaitMs: milliseconds(s.Wait),
		})
	}
	return encode(message)
}

// DecodeLoad decodes the free capacity of a region. It returns a NotValid error for a
// payload that no instance sends.
func (Codec) DecodeLoad(payload []byte) (node.RegionLoad, error) {
	var message RegionLoad
	if err := proto.Unmarshal(payload, &message); err != nil {
		return node.RegionLoad{}, errors.NewNotValid(err, "region load")
	}
	var l node.RegionLoad
	for _, m := range message.GetModels() {
		free := float64(m.GetFreeSlots())
		slots := float64(m.GetSlots())
		wait := time.Duration(m.GetWaitMs()) * time.Millisecond
		if m.GetService() != "" {
			l.Services = append(l.Services, node.ServiceLoad{Service: ident.Service(m.GetService()), Free: free, Slots: slots, Wait: wait})
			continue
		}
		l.Models = append(l.Models, node.ModelLoad{Model: ident.Model(m.GetModel()), Free: free, Slots: slots, Wait: wait})
	}
	return l, nil
}

// encode marshals a message of this package, which is not expected to fail. On an error
// it returns nil.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

func loadToWire(now time.Time, l node.UpstreamLoad) *UpstreamLoad {
	return &UpstreamLoad{
		Upstream:        string(l.Upstream),
		Running:         uint32(l.Report.Running),
		Waiting:         uint32(l.Report.Waiting),
		Slots:           uint32(l.Report.Slots),
		TokensPerSecond: uint32(l.Report.TokensPerSecond),
		Leaving:         l.Report.Leaving,
		AgeMs:           milliseconds(now.Sub(l.Report.AsOf)),
	}
}

func loadFromWire(now time.Time, l *UpstreamLoad) node.UpstreamLoad {
	return node.UpstreamLoad{
		Upstream: ident.Upstream(l.GetUpstream()),
		Report: load.Report{
			Running:         int(l.GetRunning()),
			Waiting:         int(l.GetWaiting()),
			Slots:           int(l.GetSlots()),
			TokensPerSecond: float64(l.GetTokensPerSecond()),
			Leaving:         l.GetLeaving(),
			AsOf:            now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond),
		},
	}
}

func claimsToWire(c share.WorkspaceClaims) *Usage {
	return &Usage{
		Workspace:      string(c.Workspace),
		RequestsHeld:   float32(c.Requests.Held),
		RequestsWanted: float32(c.Requests.Wanted),
		InFlightHeld:   float32(c.InFlight.Held),
		InFlightWanted: float32(c.InFlight.Wanted),
		TokensHeld:     float32(c.Tokens.Held),
		TokensWanted:   float32(c.Tokens.Wanted),
	}
}

func claimsFromWire(u *Usage) share.WorkspaceClaims {
	return share.WorkspaceClaims{
		Workspace: ident.Workspace(u.GetWorkspace()),
		Requests:  claimFromWire(u.GetRequestsHeld(), u.GetRequestsWanted()),
		InFlight:  claimFromWire(u.GetInFlightHeld(), u.GetInFlightWanted()),
		Tokens:    claimFromWire(u.GetTokensHeld(), u.GetTokensWanted()),
	}
}

// claimFromWire replaces values that are negative, not a number or maxClaim and above by
// 0, so that they don't distort the sums.
func claimFromWire(held, wanted float32) share.Claim {
	sanitize := func(f float32) float64 {
		if f > 0 && f < maxClaim {
			return float64(f)
		}
		return 0
	}
	return share.Claim{Held: sanitize(held), Wanted: sanitize(wanted)}
}

// maxWantedSlots bounds the number of slots that a peer can request.
const maxWantedSlots = 1 << 20

// maxClaim bounds a claim of a peer, in the unit of the claimed limit.
const maxClaim = 1e9

// maxNoteLifetime bounds the time for which an instance keeps a note that a peer sent.
const maxNoteLifetime = 24 * time.Hour

// SuccessorNoteToWire encodes a note with its remaining lifetime.
func SuccessorNoteToWire(now time.Time, n dedup.SuccessorNote) *Note {
	return &Note{
		Old:         n.Stopped.String(),
		Successor:   n.Successor.String(),
		RemainingMs: uint64(max(0, n.Expires.Sub(now).Milliseconds())),
	}
}

// SuccessorNoteFromWire decodes a note. It returns a NotValid error if an incarnation
// can't be parsed.
func SuccessorNoteFromWire(now time.Time, n *Note) (dedup.SuccessorNote, error) {
	stopped, err := ident.ParseIncarnation(n.GetOld())
	if err != nil {
		return dedup.SuccessorNote{}, errors.Trace(err)
	}
	successor, err := ident.ParseIncarnation(n.GetSuccessor())
	if err != nil {
		return dedup.SuccessorNote{}, errors.Trace(err)
	}
	remaining := time.Duration(min(n.GetRemainingMs(), uint64(maxNoteLifetime.Milliseconds()))) * time.Millisecond
	return dedup.SuccessorNote{Stopped: stopped, Successor: successor, Expires: now.Add(remaining)}, nil
}
