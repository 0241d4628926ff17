package member

import (
	"slices"
	"strings"
	"time"

	"arbutustrestle/core/ident"
)

// Member is one instance of the local region in a View.
type Member struct {
	Entry Entry
	// Start identifies the current run; zero when no heartbeat was received.
	Start  uint64
	Status Status
	Phase  Phase
	// Usable is set when the member has recently confirmed that messages reach it, so
	// that requests may be forwarded to it. It is set for this instance.
	Usable bool
	Listed bool
	// Leaving is set by the listing or by the member's own phase.
	Leaving   bool
	Revisions Revisions
}

// Incarnation returns the run that sent the newest heartbeat.
func (m *Member) Incarnation() ident.Incarnation {
	return ident.Incarnation{Instance: m.Entry.ID, Start: m.Start}
}

// Region is another region in a View.
type Region struct {
	Name ident.Region
	// HasSummary is false when no summary was ever received; the fields below are then
	// zero.
	HasSummary bool
	// Fresh is false when the newest summary is old, or from before a pause.
	Fresh bool
	// SummaryMadeAt is when the newest summary was made, by this instance's clock,
	// without its time in transit.
	SummaryMadeAt time.Time
	ReadyCount    int
	TableRevision ident.Revision
	// Contacts are the instances there to which requests may be forwarded. One with a
	// recent failed send is omitted.
	Contacts []Contact
	// Payload is that of the newest summary. It must not be changed.
	Payload []byte
}

// View is an immutable snapshot of the membership and safe for concurrent use. The
// slices that its methods return must not be changed.
type View struct {
	// Self is this instance's own member.
	Self Member
	// Stale is set from a pause of this process until its peers have sent heartbeats
	// again.
	Stale bool
	// ListingRevision is the revision of the listing; zero when none was read.
	ListingRevision ident.Revision
	// members is sorted by name and includes this instance.
	members   []Member
	alive     []ident.Instance
	available []ident.Instance
	// regions is sorted by name.
	regions        []Region
	listedEntries  map[ident.Instance]Entry
	entriesPerZone map[ident.Zone]int
}

// Members returns every instance of the local region that is listed or sends
// heartbeats, this one included, sorted by name.
func (v *View) Members() []Member {
	return v.members
}

// Member returns an instance of the local region.
func (v *View) Member(id ident.Instance) (*Member, bool) {
	i, found := slices.BinarySearchFunc(v.members, id, compareMember)
	if !found {
		return nil, false
	}
	return &v.members[i], true
}

// MemberByIncarnation returns a run of an instance of the local region. It reports
// false when the newest heartbeat came from another run of the instance, when there
// was none, or when the run has left.
func (v *View) MemberByIncarnation(i ident.Incarnation) (*Member, bool) {
	m, found := v.Member(i.Instance)
	if !found || m.Start != i.Start || m.Status == Left {
		return nil, false
	}
	return m, true
}

// Entry returns the description of an instance of any region: its own one for the
// local region, otherwise the one in the listing.
func (v *View) Entry(id ident.Instance) (Entry, bool) {
	if m, found := v.Member(id); found {
		return m.Entry, true
	}
	e, found := v.listedEntries[id]
	return e, found
}

// EntriesPerZone returns the number of listed entries in each zone of all regions. It
// must not be changed.
func (v *View) EntriesPerZone() map[ident.Zone]int {
	return v.entriesPerZone
}

// AliveInstances returns the names of the alive members in any phase, this instance
// included, sorted: the candidates for ranking in the local region.
func (v *View) AliveInstances() []ident.Instance {
	return v.alive
}

// AvailableInstances returns the names of the members to which callers may be
// directed: alive, ready and not leaving, sorted.
func (v *View) AvailableInstances() []ident.Instance {
	return v.available
}

// Regions returns the other regions, sorted by name.
func (v *View) Regions() []Region {
	return v.regions
}

// Region returns another region.
func (v *View) Region(name ident.Region) (*Region, bool) {
	i, found := slices.BinarySearchFunc(v.regions, name, func(r Region, name ident.Region) int {
		return strings.Compare(string(r.Name), string(name))
	})
	if !found {
		return nil, false
	}
	return &v.regions[i], true
}

// ListedInstances returns the names of the listed instances of another region, sorted.
func (v *View) ListedInstances(region ident.Region) []ident.Instance {
	var names []ident.Instance
	for id, e := range v.listedEntries {
		if e.Region == region {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}

// buildView creates a snapshot of the state.
func (s *State) buildView() *View {
	v := &View{
		Stale:           s.stale,
		ListingRevision: s.listing.Revision,
		members:         make([]Member, 0, len(s.peers)+1),
		alive:           make([]ident.Instance, 0, len(s.peers)+1),
		available:       make([]ident.Instance, 0, len(s.peers)+1),
		regions:         make([]Region, 0, len(s.regions)),
		listedEntries:   s.listedEntries,
		entriesPerZone:  s.entriesPerZone,
	}
	v.Self = s.selfMember()
	selfAdded := false
	for _, p := range s.peers {
		if !selfAdded && p.entry.ID > s.options.Self.ID {
			selfAdded = true
			v.addMember(v.Self)
		}
		if p.listed || p.status == Alive || p.status == Suspect {
			v.addMember(p.member())
		}
	}
	if !selfAdded {
		v.addMember(v.Self)
	}
	for _, r := range s.regions {
		v.regions = append(v.regions, s.regionView(r))
	}
	return v
}

func (v *View) addMember(m Member) {
	v.members = append(v.members, m)
	if m.Status != Alive {
		return
	}
	v.alive = append(v.alive, m.Entry.ID)
	if m.Phase == Ready && !m.Leaving {
		v.available = append(v.available, m.Entry.ID)
	}
}

func (s *State) selfMember() Member {
	_, listed := s.listedEntries[s.options.Self.ID]
	phase := s.local.Phase
	return Member{
		Entry:     s.options.Self,
		Start:     s.options.Start,
		Status:    Alive,
		Phase:     phase,
		Usable:    true,
		Listed:    listed,
		Leaving:   s.options.Self.Leaving || phase >= Draining,
		Revisions: s.local.Revisions,
	}
}

func (p *peer) member() Member {
	return Member{
		Entry:     p.entry,
		Start:     p.start,
		Status:    p.status,
		Phase:     p.phase,
		Usable:    p.usable,
		Listed:    p.listed,
		Leaving:   p.leaving || p.phase >= Draining,
		Revisions: p.revisions,
	}
}

func (s *State) regionView(r *region) Region {
	view := Region{
		Name:          r.name,
		HasSummary:    !r.summary.Origin.IsZero(),
		Fresh:         r.fresh,
		SummaryMadeAt: r.summaryMadeAt,
		ReadyCount:    r.summary.ReadyCount,
		TableRevision: r.summary.TableRevision,
		Payload:       r.summary.Payload,
	}
	failed := func(c Contact) bool { return !s.noRecentFailure(c.Incarnation.Instance) }
	view.Contacts = r.summary.Contacts
	if slices.ContainsFunc(view.Contacts, failed) {
		view.Contacts = slices.DeleteFunc(slices.Clone(view.Contacts), failed)
	}
	return view
}

func compareMember(m Member, id ident.Instance) int {
	return strings.Compare(string(m.Entry.ID), string(id))
}
