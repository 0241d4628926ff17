// Package fetch gets the published values: the table and the lists. A few readers
// in each availability zone watch the platform and the others get the values from
// them. What is in force never goes back to an older revision, whatever a stale
// platform or a peer that is behind says.
package fetch

import (
	"strings"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/table"
)

// Key names a published value on the platform, such as "table/manifest".
type Key string

const (
	// ManifestKey holds the manifest of the newest table.
	ManifestKey Key = "table/manifest"
	// EntriesKey holds the list of entry instances of all regions.
	EntriesKey Key = "list/entries"

	upstreamsPrefix = "list/upstreams-"
	pagePrefix      = "table/page/"
)

// UpstreamsKey returns the key of the list of a region's upstreams.
func UpstreamsKey(region ident.Region) Key {
	return Key(upstreamsPrefix + string(region))
}

// PageKey returns the key of a page of the table.
func PageKey(digest table.Digest) Key {
	return Key(pagePrefix + string(digest))
}

// PageDigest returns the digest of a page's key, and false for other keys.
func (k Key) PageDigest() (table.Digest, bool) {
	digest, found := strings.CutPrefix(string(k), pagePrefix)
	return table.Digest(digest), found
}

// Value is a published value as it is handed to a peer.
type Value struct {
	// Revision is the platform's revision; 0 for pages, which never change.
	Revision ident.Revision
	Data     []byte
}

// Peer is an alive entry of the own region, or a contact in another one.
type Peer struct {
	Instance ident.Instance
	Zone     ident.Zone
	// Usable is set when messages are known to reach the peer.
	Usable    bool
	Revisions member.Revisions
	// Remote is set for a contact in another region, of which only the table's
	// revision is known.
	Remote bool
}

// MembershipOf returns what a view says of the other entries.
func MembershipOf(v *member.View) Membership {
	var m Membership
	for _, entries := range v.EntriesPerZone() {
		m.FleetSize += entries
		m.FleetReaders += min(entries, readersPerZone)
	}
	m.Peers, m.ExpectedPeers = PeersOf(v)
	m.addRegions(v)
	return m
}

// addRegions adds a contact of each other region, so that an instance that is alone
// in its region still hears of a newer table than a stale platform's.
func (m *Membership) addRegions(v *member.View) {
	for i := range v.Regions() {
		r := &v.Regions()[i]
		m.ListedRegions++
		if entry, found := rank.First("remote", v.ListedInstances(r.Name)); found {
			m.RemoteEntries = append(m.RemoteEntries, entry)
		}
		if !r.Fresh {
			continue
		}
		m.FreshRegions++
		if len(r.Contacts) == 0 {
			continue
		}
		c := r.Contacts[0]
		held := member.Revisions{Table: r.TableRevision}
		m.Peers = append(m.Peers, Peer{Instance: c.Incarnation.Instance, Zone: c.Zone, Usable: true, Revisions: held, Remote: true})
	}
}

// PeersOf returns the other alive entries of a view, and the number of other
// entries of the region that are listed as staying.
func PeersOf(v *member.View) (peers []Peer, expected int) {
	for i := range v.Members() {
		m := &v.Members()[i]
		if m.Entry.ID == v.Self.Entry.ID {
			continue
		}
		if m.Listed && !m.Leaving {
			expected++
		}
		if m.Status == member.Alive {
			peers = append(peers, Peer{Instance: m.Entry.ID, Zone: m.Entry.Zone, Usable: m.Usable, Revisions: m.Revisions})
		}
	}
	return peers, expected
}

// StartSource says where a starting instance took its values from.
type StartSource uint8

const (
	// SourceBoth means that the platform and every expected peer answered.
	SourceBoth StartSource = iota
	// SourceSomePeers means that the platform and some of the expected peers answered in time.
	SourceSomePeers
	// SourcePlatformOnly means that no peer answered in time.
	SourcePlatformOnly
	// SourcePeersOnly means that the platform did not answer in time.
	SourcePeersOnly
)

// String returns the kebab-case name of the source.
func (s StartSource) String() string {
	switch s {
	case SourceSomePeers:
		return "some-peers"
	case SourcePlatformOnly:
		return "platform-only"
	case SourcePeersOnly:
		return "peers-only"
	default:
		return "both"
	}
}
