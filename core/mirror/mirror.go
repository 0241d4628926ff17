// Package mirror keeps published values by key and revision. What is held only moves
// forward: a listing or an event that is older than what is held changes nothing,
// whether it comes from the platform or from a peer.
package mirror

// Item is one published value, or its removal.
type Item struct {
	Key string
	// Revision is that of the last change; it orders the states of a key.
	Revision uint64
	Data     []byte
	Removed  bool
}

// Mirror holds the values of one group of keys. Its zero value is empty. It is not
// safe for concurrent use.
type Mirror struct {
	items map[string]Item
	// revision is that up to which all changes are known; it never sinks.
	revision uint64
	// changed is that of the last change of an item; it is not above revision for long.
	changed uint64
}

// Revision returns the revision up to which all changes are known; zero when nothing
// was read yet.
func (s *Mirror) Revision() uint64 {
	return s.revision
}

// LastChange returns the revision of the last change that is held. Who has read up to it
// lacks nothing, however far others have read since.
func (s *Mirror) LastChange() uint64 {
	return s.changed
}

// Apply takes in single changes and returns those that are new, in their order.
// The revision is that up to which the changes are complete.
func (s *Mirror) Apply(changes []Item, revision uint64) []Item {
	var taken []Item
	for _, i := range changes {
		if s.put(i) {
			taken = append(taken, i)
		}
	}
	s.revision = max(s.revision, revision)
	return taken
}

// Replace takes in a whole listing as of a revision and returns what changed. A
// listing that is older than what is held can't remove anything.
func (s *Mirror) Replace(listing []Item, revision uint64) []Item {
	var taken []Item
	listed := make(map[string]struct{}, len(listing))
	for _, i := range listing {
		listed[i.Key] = struct{}{}
		if s.put(i) {
			taken = append(taken, i)
		}
	}
	if revision < s.revision {
		return taken
	}
	for key, held := range s.items {
		if _, found := listed[key]; found || held.Removed || held.Revision > revision {
			continue
		}
		gone := Item{Key: key, Revision: revision, Removed: true}
		s.items[key] = gone
		s.changed = max(s.changed, revision)
		taken = append(taken, gone)
	}
	s.revision = revision
	return taken
}

// Items returns all values that are held, without removed ones.
func (s *Mirror) Items() []Item {
	list := make([]Item, 0, len(s.items))
	for _, i := range s.items {
		if !i.Removed {
			list = append(list, i)
		}
	}
	return list
}

func (s *Mirror) put(i Item) bool {
	if s.items == nil {
		s.items = map[string]Item{}
	}
	if held, found := s.items[i.Key]; found && held.Revision >= i.Revision {
		return false
	}
	s.items[i.Key] = i
	s.changed = max(s.changed, i.Revision)
	return true
}
