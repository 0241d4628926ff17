package entry

import (
	"net/netip"
	"slices"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/reside"
	"arbutustrestle/core/result"
)

// advisedEntry is an instance that a caller may use, as the response lists it.
type advisedEntry struct {
	Instance    ident.Instance `json:"instance"`
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	Zone        ident.Zone     `json:"zone"`
	Region      ident.Region   `json:"region"`
}

// maxAdvised bounds the number of instances in one response.
const maxAdvised = 4

// adviceFailure returns the reason why no instance can be advised, or nil.
func adviceFailure(v *node.View, w ident.Workspace) *result.Failure {
	if !ident.ValidName(string(w)) {
		return notRun(result.StepIdentify, result.BadRequest)
	}
	if v.Table == nil {
		f := notRun(result.StepIdentify, result.NotReady)
		f.RetryAfter = notReadyRetry
		return f
	}
	row, found := v.Table.Workspace(w)
	if !found {
		return notRun(result.StepIdentify, result.UnknownWorkspace)
	}
	if len(row.Regions) == 0 && len(row.Zones) == 0 {
		return notRun(result.StepResidency, result.NoPlaceAllowed)
	}
	return nil
}

// advise returns the instances that callers of a workspace should use, best first. Those of
// the home region come first. Within a region, the order is the rendezvous ranking of the
// workspace, so that all its callers prefer the same instance.
func (s *Server) advise(v *node.View, w ident.Workspace) []advisedEntry {
	if v.Table == nil {
		return nil
	}
	var entries []advisedEntry
	for _, region := range regionsByHome(v, w) {
		entries = append(entries, s.adviseRegion(v, w, region)...)
		if len(entries) >= maxAdvised {
			return entries[:maxAdvised]
		}
	}
	return entries
}

// regionsByHome returns the home region of the workspace, then this region, then the
// others.
func regionsByHome(v *node.View, w ident.Workspace) []ident.Region {
	var regions []ident.Region
	if row, found := v.Table.Workspace(w); found {
		regions = append(regions, row.Home)
	}
	regions = append(regions, v.Region)
	for i := range v.Members.Regions() {
		regions = append(regions, v.Members.Regions()[i].Name)
	}
	var unique []ident.Region
	for _, r := range regions {
		if !slices.Contains(unique, r) {
			unique = append(unique, r)
		}
	}
	return unique
}

func (s *Server) adviseRegion(v *node.View, w ident.Workspace, region ident.Region) []advisedEntry {
	var entries []advisedEntry
	if region == v.Region {
		entries = localEntries(v)
	} else {
		entries = contactEntries(v, region)
	}
	entries = slices.DeleteFunc(entries, func(e advisedEntry) bool {
		return reside.Check(v.Table, w, reside.Place{Zone: e.Zone, Region: e.Region}) != reside.Allowed
	})
	slices.SortFunc(entries, func(a, b advisedEntry) int {
		if rank.Before(string(w), a.Instance, b.Instance) {
			return -1
		}
		return 1
	})
	return entries
}

func localEntries(v *node.View) []advisedEntry {
	var entries []advisedEntry
	for _, id := range v.Members.AvailableInstances() {
		m, found := v.Members.Member(id)
		if !found {
			continue
		}
		entries = append(entries, advisedEntry{
			Instance:    id,
			Incarnation: m.Incarnation().String(),
			Address:     m.Entry.Caller,
			Zone:        m.Entry.Zone,
			Region:      m.Entry.Region,
		})
	}
	return entries
}

func contactEntries(v *node.View, region ident.Region) []advisedEntry {
	summary, found := v.Members.Region(region)
	if !found {
		return nil
	}
	var entries []advisedEntry
	for _, contact := range summary.Contacts {
		entries = append(entries, advisedEntry{
			Instance:    contact.Incarnation.Instance,
			Incarnation: contact.Incarnation.String(),
			Address:     contact.Caller,
			Zone:        contact.Zone,
			Region:      region,
		})
	}
	return entries
}

// keyPrefix returns the prefix of new idempotency keys for a workspace. It is empty if this
// instance may not hold the workspace's records.
func (s *Server) keyPrefix(v *node.View, w ident.Workspace) string {
	if v.Phase != member.Ready || !v.Allows(w) {
		return ""
	}
	return s.Records.KeyPrefix()
}
