package syncer

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
)

const (
	// copyAge is the greatest age of a copy from which the store comes back.
	copyAge = 5 * time.Second
	// registerWithin, rewriteWithin and expireAfter are the times in which, after a return,
	// live upstreams and operators write again, and descriptions of others expire. The first
	// leaves two answers' delay until relistTimeout; docs/design/platform.md has what later
	// registrations cost.
	registerWithin = 1600 * time.Millisecond
	rewriteWithin  = 9 * time.Second
	expireAfter    = 3600 * time.Millisecond
)

// eraUpstream is an upstream that registers itself, with the description that is true.
type eraUpstream struct {
	id       ident.Upstream
	zone     ident.Zone
	region   ident.Region
	started  int
	sequence int
	cold     bool
	draining bool
	gone     bool
	// goneAt is the revision of the first removal of its description since it has left.
	goneAt uint64
}

func (u *eraUpstream) key() string { return "upstream/" + string(u.id) }

func (u *eraUpstream) describe() []byte {
	return fmt.Appendf(nil, "%s %s %s %d %d %t %t", u.id, u.zone, u.region, u.started, u.sequence, u.cold, u.draining)
}

// eraStore is a store that comes back from older copies, with its writers.
type eraStore struct {
	random *rand.Rand
	now    time.Time
	era    uint64
	number uint64
	items  map[string]mirror.Item
	// copies holds the state after each change, the oldest first.
	copies []eraCopy

	config    int
	evacuated map[ident.Zone]bool
	upstreams []*eraUpstream
	// due holds the time at which the writer of a key compares it with what is true.
	due map[string]time.Time
}

type eraCopy struct {
	at     time.Time
	number uint64
	items  map[string]mirror.Item
}

// truth returns what the writer of a key would have there; nil if nothing.
func (s *eraStore) truth(key string) []byte {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "config":
		return fmt.Append(nil, s.config)
	case "evacuate":
		if s.evacuated[ident.Zone(name)] {
			return []byte("evacuated")
		}
	case "upstream":
		for _, u := range s.upstreams {
			if u.key() == key && !u.gone {
				return u.describe()
			}
		}
	}
	return nil
}

// write brings a key to what is true.
func (s *eraStore) write(key string) {
	delete(s.due, key)
	data := s.truth(key)
	held, found := s.items[key]
	present := found && !held.Removed
	if present == (data != nil) && bytes.Equal(held.Data, data) {
		return
	}
	s.number++
	s.items[key] = mirror.Item{Key: key, Revision: s.number, Data: data, Removed: data == nil}
	s.copies = append(s.copies, eraCopy{at: s.now, number: s.number, items: maps.Clone(s.items)})
}

// leave removes the description of an upstream that stops.
func (s *eraStore) leave(u *eraUpstream) {
	u.gone = true
	s.write(u.key())
	u.goneAt, _ = mirror.NewRevision(s.era, s.number)
}

func (s *eraStore) writeDue() {
	for _, key := range slices.Sorted(maps.Keys(s.due)) {
		if !s.now.Before(s.due[key]) {
			s.write(key)
		}
	}
}

// comeBack makes the store come back from a copy. Each writer finds out in its time.
func (s *eraStore) comeBack() {
	var recent []eraCopy
	for _, c := range s.copies {
		if s.now.Sub(c.at) <= copyAge {
			recent = append(recent, c)
		}
	}
	if len(recent) == 0 {
		return
	}
	copied := recent[s.random.IntN(len(recent))]
	keys := maps.Clone(s.items)
	maps.Copy(keys, copied.items)
	s.era++
	s.number = copied.number
	s.items = maps.Clone(copied.items)
	s.copies = []eraCopy{copied}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		within := rewriteWithin
		if strings.HasPrefix(key, "upstream/") {
			within = registerWithin
			if s.truth(key) == nil {
				s.due[key] = s.now.Add(expireAfter)
				continue
			}
		}
		s.due[key] = s.now.Add(time.Duration(s.random.Int64N(int64(within))))
	}
}

func eraGroup(key string) mirror.Group {
	if strings.HasPrefix(key, "upstream/") {
		return mirror.UpstreamsGroup
	}
	return mirror.OperatorGroup
}

// read returns the changes of a group after a number, or all present values.
func (s *eraStore) read(t *testing.T, g mirror.Group, after uint64, full bool) ([]mirror.Item, uint64) {
	var items []mirror.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		i := s.items[key]
		if eraGroup(key) == g && (full && !i.Removed || !full && i.Revision > after) {
			i.Revision = newRevision(t, s.era, i.Revision)
			items = append(items, i)
		}
	}
	return items, newRevision(t, s.era, s.number)
}

// eraDecoder decodes the values of an eraStore.
type eraDecoder struct {
	services map[ident.Service]spec.Service
}

func (d eraDecoder) Decode(i mirror.Item) (mirror.Change, error) {
	kind, name, _ := strings.Cut(i.Key, "/")
	switch {
	case kind == "evacuate" && i.Removed:
		return mirror.ZoneRestored{Zone: ident.Zone(name)}, nil
	case kind == "evacuate":
		return mirror.ZoneEvacuated{Zone: ident.Zone(name)}, nil
	case kind == "upstream" && i.Removed:
		return mirror.UpstreamRemoved{ID: ident.Upstream(name)}, nil
	case kind == "upstream":
		var u eraUpstream
		if _, err := fmt.Sscan(string(i.Data), &u.id, &u.zone, &u.region, &u.started, &u.sequence, &u.cold, &u.draining); err != nil {
			return nil, errors.Trace(err)
		}
		described := pool.Upstream{ID: u.id, Service: ident.Service(u.id), Zone: u.zone, Region: u.region, Draining: u.draining, StartTime: time.Unix(int64(u.started), 0), Sequence: uint64(u.sequence)}
		if u.cold {
			described.WarmupLeft = eraDuration
		}
		return mirror.UpstreamUpdated{Upstream: described}, nil
	}
	var version uint64
	if _, err := fmt.Sscan(string(i.Data), &version); err != nil {
		return nil, errors.Trace(err)
	}
	return mirror.ConfigUpdated{Config: &spec.Config{Version: version, Services: d.services}}, nil
}
