package wire

import (
	"net/netip"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// HeartbeatToWire encodes a heartbeat.
func HeartbeatToWire(h member.Heartbeat) *Heartbeat {
	message := &Heartbeat{
		Incarnation:       h.From.String(),
		Sequence:          h.Sequence,
		EchoStart:         h.Echo.Start,
		EchoSequence:      h.Echo.Sequence,
		Phase:             uint32(h.Phase),
		TableRevision:     uint64(h.Revisions.Table),
		EntriesRevision:   uint64(h.Revisions.Entries),
		UpstreamsRevision: uint64(h.Revisions.Upstreams),
		Payload:           h.Payload,
	}
	if h.Self != nil {
		message.Self = entryToWire(*h.Self)
	}
	for i := range h.Summaries {
		message.Summaries = append(message.Summaries, SummaryToWire(h.Summaries[i]))
	}
	return message
}

// HeartbeatFromWire decodes a heartbeat. It returns a NotValid error for a message that
// no instance sends.
func HeartbeatFromWire(m *Heartbeat) (member.Heartbeat, error) {
	from, err := ident.ParseIncarnation(m.GetIncarnation())
	if err != nil {
		return member.Heartbeat{}, errors.Trace(err)
	}
	h := member.Heartbeat{
		From:     from,
		Sequence: m.GetSequence(),
		Echo:     member.Echo{Start: m.GetEchoStart(), Sequence: m.GetEchoSequence()},
		Phase:    member.Phase(min(m.GetPhase(), uint32(member.Stopped))),
		Revisions: member.Revisions{
			Table:     ident.Revision(m.GetTableRevision()),
			Entries:   ident.Revision(m.GetEntriesRevision()),
			Upstreams: ident.Revision(m.GetUpstreamsRevision()),
		},
		Payload: m.GetPayload(),
	}
	if m.GetSelf() != nil {
		self, err := entryFromWire(m.GetSelf())
		if err != nil {
			return member.Heartbeat{}, errors.Trace(err)
		}
		h.Self = &self
	}
	for _, s := range m.GetSummaries() {
		summary, err := SummaryFromWire(s)
		if err != nil {
			return member.Heartbeat{}, errors.Trace(err)
		}
		h.Summaries = append(h.Summaries, summary)
	}
	return h, nil
}

func entryToWire(e member.Entry) *Entry {
	return &Entry{
		Id:     string(e.ID),
		Zone:   string(e.Zone),
		Region: string(e.Region),
		Peer:   e.Peer.String(),
		Caller: e.Caller.String(),
		Admin:  e.Admin.String(),
	}
}

func entryFromWire(m *Entry) (member.Entry, error) {
	if !ident.ValidName(m.GetId()) || !ident.ValidName(m.GetZone()) || !ident.ValidName(m.GetRegion()) {
		return member.Entry{}, errors.NotValidf("entry %q", m.GetId())
	}
	e := member.Entry{ID: ident.Instance(m.GetId()), Zone: ident.Zone(m.GetZone()), Region: ident.Region(m.GetRegion())}
	addresses := []struct {
		text string
		dest *netip.AddrPort
	}{{m.GetPeer(), &e.Peer}, {m.GetCaller(), &e.Caller}, {m.GetAdmin(), &e.Admin}}
	for _, a := range addresses {
		parsed, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return member.Entry{}, errors.NotValidf("address %q of entry %q", a.text, m.GetId())
		}
		*a.dest = parsed
	}
	return e, nil
}

// SummaryToWire encodes the summary of a region.
func SummaryToWire(s member.RegionSummary) *Summary {
	message := &Summary{
		Region:        string(s.Region),
		Origin:        s.Origin.String(),
		Sequence:      s.Sequence,
		HeldMs:        s.AgeMillis,
		Ready:         uint32(s.ReadyCount),
		TableRevision: uint64(s.TableRevision),
		Payload:       s.Payload,
	}
	for _, c := range s.Contacts {
		message.Contacts = append(message.Contacts, &Contact{
			Incarnation: c.Incarnation.String(),
			Zone:        string(c.Zone),
			Peer:        c.Peer.String(),
			Caller:      c.Caller.String(),
		})
	}
	return message
}

// SummaryFromWire decodes the summary of a region. It returns a NotValid error for a
// message that no instance sends.
func SummaryFromWire(m *Summary) (member.RegionSummary, error) {
	origin, err := ident.ParseIncarnation(m.GetOrigin())
	if err != nil {
		return member.RegionSummary{}, errors.Trace(err)
	}
	if !ident.ValidName(m.GetRegion()) {
		return member.RegionSummary{}, errors.NotValidf("region %q", m.GetRegion())
	}
	s := member.RegionSummary{
		Region:        ident.Region(m.GetRegion()),
		Origin:        origin,
		Sequence:      m.GetSequence(),
		AgeMillis:     m.GetHeldMs(),
		ReadyCount:    int(m.GetReady()),
		TableRevision: ident.Revision(m.GetTableRevision()),
		Payload:       m.GetPayload(),
	}
	for _, c := range m.GetContacts() {
		contact, err := contactFromWire(c)
		if err != nil {
			return member.RegionSummary{}, errors.Trace(err)
		}
		s.Contacts = append(s.Contacts, contact)
	}
	return s, nil
}

func contactFromWire(m *Contact) (member.Contact, error) {
	incarnation, err := ident.ParseIncarnation(m.GetIncarnation())
	if err != nil {
		return member.Contact{}, errors.Trace(err)
	}
	peer, err := netip.ParseAddrPort(m.GetPeer())
	if err != nil {
		return member.Contact{}, errors.NotValidf("address of contact %s", incarnation)
	}
	caller, err := netip.ParseAddrPort(m.GetCaller())
	if err != nil {
		return member.Contact{}, errors.NotValidf("address of contact %s", incarnation)
	}
	return member.Contact{Incarnation: incarnation, Zone: ident.Zone(m.GetZone()), Peer: peer, Caller: caller}, nil
}
