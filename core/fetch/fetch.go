// Package fetch fetches the published values: the table and the lists. A few readers
// in each availability zone watch the platform, and the other instances get the values
// from them. An active value is never replaced by an older revision, whatever a stale
// platform or an outdated peer sends.
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
	// ManifestKey is the key of the manifest of the newest table.
	ManifestKey Key = "table/manifest"
	// EntriesKey is the key of the list of instances of all regions.
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

// PageDigest returns the digest of the page with this key, and false for other keys.
func (k Key) PageDigest() (table.Digest, bool) {
	digest, found := strings.CutPrefix(string(k), pagePrefix)
	return table.Digest(digest), found
}

// Value is a published value as it is sent to a peer.
type Value struct {
	// Revision is the platform's revision; 0 for pages, which never change.
	Revision ident.Revision
	Data     []byte
}

// Peer is an alive instance of the local region, or a contact in another one.
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

// MembershipOf returns the event for a view: its other instances and its counts.
func MembershipOf(v *member.View) Membership {
	var m Membership
	for _, entries := range v.EntriesPerZone() {
		m.FleetSize += entries
		m.FleetReaders += min(entries, readersPerZone)
	}
	m.Peers, m.ExpectedPeers = PeersOf(v)
	m.addRegionContacts(v)
	return m
}

// addRegionContacts adds a contact of each other region, so that an instance that is
// alone in its region still detects a table newer than a stale platform's.
func (m *Membership) addRegionContacts(v *member.View) {
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
		revisions := member.Revisions{Table: r.TableRevision}
		m.Peers = append(m.Peers, Peer{Instance: c.Incarnation.Instance, Zone: c.Zone, Usable: true, Revisions: revisions, Remote: true})
	}
}

// PeersOf returns the other alive instances of a view, and the number of other
// instances of the region that are listed and not leaving.
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

// StartSource identifies the sources from which a starting instance got its values.
type StartSource uint8

const (
	// SourceBoth means that the platform and every expected peer answered.
	SourceBoth StartSource = iota
	// SourceSomePeers means that the platform and some of the expected peers answered
	// in time.
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
