package load

import (
	"sync"

	"arbutustrestle/core/ident"
)

// holdersPerPrefix is the number of upstreams stored per prefix.
const holdersPerPrefix = 2

// defaultMaxPrefixes is the default of PrefixIndex.MaxPrefixes.
const defaultMaxPrefixes = 4096

// PrefixIndex stores which upstreams reported a prompt prefix as cached. Cache events
// arrive late and with gaps, so the index may be wrong either way: it may bias a choice
// and must not decide it. It is safe for concurrent use.
type PrefixIndex struct {
	// MaxPrefixes limits the number of stored prefixes; zero means the default.
	MaxPrefixes int

	mu sync.RWMutex
	// holders has at most MaxPrefixes prefixes, each of which occurs once in order.
	holders map[uint64][holdersPerPrefix]ident.Upstream
	// order is a ring buffer of the prefixes by age; next is the position of the
	// oldest.
	order []uint64
	next  int
}

// Add records that an upstream has cached a prefix.
func (x *PrefixIndex) Add(prefix uint64, upstream ident.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.holders == nil {
		x.holders = map[uint64][holdersPerPrefix]ident.Upstream{}
	}
	list, known := x.holders[prefix]
	if !known {
		x.insert(prefix)
	}
	if list[0] != upstream {
		list[1] = list[0]
		list[0] = upstream
	}
	x.holders[prefix] = list
}

// insert stores a new prefix, in place of the oldest one if the index is full.
func (x *PrefixIndex) insert(prefix uint64) {
	size := x.MaxPrefixes
	if size == 0 {
		size = defaultMaxPrefixes
	}
	if len(x.order) < size {
		x.order = append(x.order, prefix)
		return
	}
	delete(x.holders, x.order[x.next])
	x.order[x.next] = prefix
	x.next = (x.next + 1) % size
}

// Remove records that an upstream has evicted a prefix.
func (x *PrefixIndex) Remove(prefix uint64, upstream ident.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remove(prefix, upstream)
}

func (x *PrefixIndex) remove(prefix uint64, upstream ident.Upstream) {
	list, known := x.holders[prefix]
	if !known {
		return
	}
	for i, holder := range list {
		if holder == upstream {
			list[i] = ""
		}
	}
	x.holders[prefix] = list
}

// RemoveUpstream removes an upstream from all prefixes: after a gap in its events, its
// restart or its removal from the list.
func (x *PrefixIndex) RemoveUpstream(upstream ident.Upstream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for prefix := range x.holders {
		x.remove(prefix, upstream)
	}
}

// Holds reports whether the upstream is stored as a holder of the prefix.
func (x *PrefixIndex) Holds(prefix uint64, upstream ident.Upstream) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	list, known := x.holders[prefix]
	return known && upstream != "" && (list[0] == upstream || list[1] == upstream)
}
