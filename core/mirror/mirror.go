// Package mirror keeps a local copy of published values by key and revision. Revisions
// never go back, since they begin with the era of the store: a listing or an event that is
// older than the held values, or of an earlier era, changes nothing, whether it comes from
// the platform or from a peer.
package mirror

import "bytes"

// Item is one published value, or its removal.
type Item struct {
	Key string
	// Revision is the revision of the last change; it orders the states of a key. See
	// NewRevision.
	Revision uint64
	Data     []byte
	Removed  bool
}

// Mirror holds the values of one group of keys. Its zero value is empty. It is not safe
// for concurrent use.
type Mirror struct {
	items map[string]Item
	// revision is the revision up to which all changes are held; it never decreases.
	revision uint64
	// lastChange is the revision of the last change of an item. It exceeds revision only
	// briefly.
	lastChange uint64
}

// Revision returns the revision up to which all changes are held; zero when nothing was
// read yet.
func (m *Mirror) Revision() uint64 {
	return m.revision
}

// LastChange returns the revision of the last change that is held. An instance that has
// read up to it misses no change, even if peers have read up to a later revision.
func (m *Mirror) LastChange() uint64 {
	return m.lastChange
}

// Apply merges single changes and returns the new ones, in their order. The changes are
// complete up to the given revision.
func (m *Mirror) Apply(changes []Item, revision uint64) []Item {
	var changed []Item
	for _, i := range changes {
		if m.put(i) {
			changed = append(changed, i)
		}
	}
	m.revision = max(m.revision, revision)
	return changed
}

// Replace merges a complete listing as of a revision and returns the items that changed.
// A listing that is older than the held values doesn't remove anything.
func (m *Mirror) Replace(listing []Item, revision uint64) []Item {
	var changed []Item
	listed := make(map[string]struct{}, len(listing))
	for _, i := range listing {
		listed[i.Key] = struct{}{}
		if m.put(i) {
			changed = append(changed, i)
		}
	}
	if revision < m.revision {
		return changed
	}
	for key, held := range m.items {
		if _, found := listed[key]; found || held.Removed || held.Revision > revision {
			continue
		}
		removed := Item{Key: key, Revision: revision, Removed: true}
		m.items[key] = removed
		m.lastChange = max(m.lastChange, revision)
		changed = append(changed, removed)
	}
	m.revision = revision
	return changed
}

// NotTaken returns the items that differ from the held ones although their revisions are
// not higher, or that are of a lost era, so that merging them changes nothing.
func (m *Mirror) NotTaken(items []Item) []Item {
	var list []Item
	for _, i := range items {
		held, found := m.items[i.Key]
		if m.isLost(i) || found && i.Revision <= held.Revision && held.differs(i) {
			list = append(list, i)
		}
	}
	return list
}

// Items returns all held values, without removed ones.
func (m *Mirror) Items() []Item {
	list := make([]Item, 0, len(m.items))
	for _, i := range m.items {
		if !i.Removed {
			list = append(list, i)
		}
	}
	return list
}

// put holds an item if it is newer than the held one, and reports whether that is a change.
// A value that only has another revision after a return of the store is none.
func (m *Mirror) put(i Item) bool {
	if m.items == nil {
		m.items = map[string]Item{}
	}
	held, found := m.items[i.Key]
	if m.isLost(i) || found && held.Revision >= i.Revision {
		return false
	}
	m.items[i.Key] = i
	m.lastChange = max(m.lastChange, i.Revision)
	return !found || Era(held.Revision) == Era(i.Revision) || held.differs(i)
}

// isLost reports whether an item is of an era that the store has lost, also if its key has
// never been held.
func (m *Mirror) isLost(i Item) bool {
	return Era(i.Revision) < Era(m.revision)
}

// differs reports whether two items of a key have different values.
func (i Item) differs(other Item) bool {
	return i.Removed != other.Removed || !bytes.Equal(i.Data, other.Data)
}
