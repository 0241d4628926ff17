package member

import (
	"slices"
	"strings"
	"time"

	"arbutustrestle/core/ident"
)

// Member is one entry instance of the own region in a View.
type Member struct {
	Entry Entry
	// Start is that of the run heard last; zero when none was heard.
	Start  uint64
	Status Status
	Phase  Phase
	// Usable is set when the member has lately confirmed that messages reach it,
	// so that requests may be forwarded to it. It is set for this instance.
	Usable bool
	Listed bool
	// Leaving is set by the listing or by the member's own word.
	Leaving   bool
	Revisions Revisions
}

// Incarnation returns the run that was heard last.
func (m *Member) Incarnation() ident.Incarnation {
	return ident.Incarnation{Instance: m.Entry.ID, Start: m.Start}
}

// Region is another region in a View.
type Region struct {
	Name ident.Region
	// HasSummary is false when no summary ever came; the fields below are then zero.
	HasSummary bool
	// Fresh is false when the newest summary is old, or from before a pause.
	Fresh bool
	// SummaryMadeAt is when the newest summary was made, by this instance's clock, less
	// its time on the way.
	SummaryMadeAt time.Time
	ReadyCount    int
	TableRevision ident.Revision
	// Contacts are the entries there to which requests may be forwarded. One where
	// a send failed lately is left out.
	Contacts []Contact
	// Payload is that of the newest summary. It must not be changed.
	Payload []byte
}

// View is the membership at one moment. It never changes and is safe for
// concurrent use. The slices that its methods return must not be changed.
type View struct {
	// Self is this instance's own row.
	Self Member
	// Stale is set from a pause of this process until its peers were heard again.
	Stale bool
	// ListingRevision is that of the listing; zero when none was read.
	ListingRevision ident.Revision
	// members is sorted by name and holds this instance.
	members []Member
	alive   []ident.Instance
	advised []ident.Instance
	// regions is sorted by name.
	regions []Region
	listed  map[ident.Instance]Entry
	zones   map[ident.Zone]int
}

// Members returns every instance of the own region that is listed or heard, this
// one included, sorted by name.
func (v *View) Members() []Member {
	return v.members
}

// Member returns the row of an instance of the own region.
func (v *View) Member(id ident.Instance) (*Member, bool) {
	i, found := slices.BinarySearchFunc(v.members, id, compareMember)
	if !found {
		return nil, false
	}
	return &v.members[i], true
}

// MemberByIncarnation returns the row of an incarnation of the own region. It reports false when
// another run of the instance, or none, was heard last.
func (v *View) MemberByIncarnation(i ident.Incarnation) (*Member, bool) {
	m, found := v.Member(i.Instance)
	if !found || m.Start != i.Start || m.Status == Left {
		return nil, false
	}
	return m, true
}

// Entry returns what is known of an instance of any region: what it says of
// itself when it is of the own region, else what the listing says.
func (v *View) Entry(id ident.Instance) (Entry, bool) {
	if m, found := v.Member(id); found {
		return m.Entry, true
	}
	e, found := v.listed[id]
	return e, found
}

// EntriesPerZone returns the number of listed entries in each zone of all regions. It must
// not be changed.
func (v *View) EntriesPerZone() map[ident.Zone]int {
	return v.zones
}

// AliveInstances returns the names of the alive members in any phase, this instance
// included, sorted: the candidates for ranking in the own region.
func (v *View) AliveInstances() []ident.Instance {
	return v.alive
}

// AvailableInstances returns the names of the members that callers may be sent to: alive,
// ready and not leaving, sorted.
func (v *View) AvailableInstances() []ident.Instance {
	return v.advised
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

// ListedInstances returns the names of the entries that the listing has in another region,
// sorted.
func (v *View) ListedInstances(region ident.Region) []ident.Instance {
	var names []ident.Instance
	for id, e := range v.listed {
		if e.Region == region {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}

// buildView takes a picture of the state.
func (s *State) buildView() *View {
	v := &View{
		Stale:           s.stale,
		ListingRevision: s.listing.Revision,
		members:         make([]Member, 0, len(s.peers)+1),
		alive:           make([]ident.Instance, 0, len(s.peers)+1),
		advised:         make([]ident.Instance, 0, len(s.peers)+1),
		regions:         make([]Region, 0, len(s.regions)),
		listed:          s.listed,
		zones:           s.zones,
	}
	v.Self = s.selfMember()
	self := false
	for _, p := range s.peers {
		if !self && p.entry.ID > s.options.Self.ID {
			self = true
			v.add(v.Self)
		}
		if p.listed || p.status == Alive || p.status == Suspect {
			v.add(p.member())
		}
	}
	if !self {
		v.add(v.Self)
	}
	for _, r := range s.regions {
		v.regions = append(v.regions, s.regionView(r))
	}
	return v
}

func (v *View) add(m Member) {
	v.members = append(v.members, m)
	if m.Status != Alive {
		return
	}
	v.alive = append(v.alive, m.Entry.ID)
	if m.Phase == Ready && !m.Leaving {
		v.advised = append(v.advised, m.Entry.ID)
	}
}

func (s *State) selfMember() Member {
	_, listed := s.listed[s.options.Self.ID]
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
		Revisions: p.held,
	}
}

func (s *State) regionView(r *region) Region {
	view := Region{
		Name:          r.name,
		HasSummary:    !r.summary.Origin.IsZero(),
		Fresh:         r.fresh,
		SummaryMadeAt: r.madeAt,
		ReadyCount:    r.summary.ReadyCount,
		TableRevision: r.summary.TableRevision,
		Payload:       r.summary.Payload,
	}
	failed := func(c Contact) bool { return !s.works(c.Incarnation.Instance) }
	view.Contacts = r.summary.Contacts
	if slices.ContainsFunc(view.Contacts, failed) {
		view.Contacts = slices.DeleteFunc(slices.Clone(view.Contacts), failed)
	}
	return view
}

func compareMember(m Member, id ident.Instance) int {
	return strings.Compare(string(m.Entry.ID), string(id))
}
