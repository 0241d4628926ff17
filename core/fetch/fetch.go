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

// Digest returns the digest of a page's key, and false for other keys.
func (k Key) Digest() (table.Digest, bool) {
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
	Usable bool
	Held   member.Held
	// Remote is set for a contact in another region, of which only the table's
	// revision is known.
	Remote bool
}

// MembersOf returns what a view says of the other entries.
func MembersOf(v *member.View) Members {
	var m Members
	for _, entries := range v.Zones() {
		m.Fleet += entries
		m.Readers += min(entries, readersPerZone)
	}
	m.Peers, m.Expected = PeersOf(v)
	m.addRegions(v)
	return m
}

// addRegions adds a contact of each other region, so that an instance that is alone
// in its region still hears of a newer table than a stale platform's.
func (m *Members) addRegions(v *member.View) {
	for i := range v.Regions() {
		r := &v.Regions()[i]
		m.Regions++
		if entry, found := rank.First("remote", v.ListedIn(r.Name)); found {
			m.RemoteEntries = append(m.RemoteEntries, entry)
		}
		if !r.Fresh {
			continue
		}
		m.Heard++
		if len(r.Contacts) == 0 {
			continue
		}
		c := r.Contacts[0]
		held := member.Held{Table: r.Table}
		m.Peers = append(m.Peers, Peer{Instance: c.Incarnation.Instance, Zone: c.Zone, Usable: true, Held: held, Remote: true})
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
			peers = append(peers, Peer{Instance: m.Entry.ID, Zone: m.Entry.Zone, Usable: m.Usable, Held: m.Held})
		}
	}
	return peers, expected
}

// Source says where a starting instance took its values from.
type Source uint8

const (
	// BothAnswered means that the platform and every expected peer answered.
	BothAnswered Source = iota
	// SomePeers means that the platform and some of the expected peers answered in time.
	SomePeers
	// PlatformOnly means that no peer answered in time.
	PlatformOnly
	// PeersOnly means that the platform did not answer in time.
	PeersOnly
)

// String returns the kebab-case name of the source.
func (s Source) String() string {
	switch s {
	case SomePeers:
		return "some-peers"
	case PlatformOnly:
		return "platform-only"
	case PeersOnly:
		return "peers-only"
	default:
		return "both"
	}
}
