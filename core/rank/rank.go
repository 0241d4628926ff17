// Package rank chooses among candidates by rendezvous hashing: all processes with the
// same candidate list make the same choice without communication, and the removal of a
// candidate moves only the keys that it held.
package rank

import "github.com/cespare/xxhash/v2"

// Score returns the weight of a candidate for a key. The candidate with the
// highest score holds the key; equal scores are broken by the smaller name.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The zero byte distinguishes ("ab", "c") from ("a", "bc"); names never contain
	// one.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Before reports whether candidate a ranks before candidate b for a key.
func Before[Name ~string](key string, a, b Name) bool {
	scoreA := Score(key, string(a))
	scoreB := Score(key, string(b))
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a < b
}

// First returns the candidate that holds the key, and false if there are no candidates.
func First[Name ~string](key string, candidates []Name) (Name, bool) {
	var best Name
	found := false
	for _, c := range candidates {
		if !found || Before(key, c, best) {
			best = c
			found = true
		}
	}
	return best, found
}

// Top returns up to count candidates, best first. The input is not changed.
func Top[Name ~string](key string, candidates []Name, count int) []Name {
	top := make([]Name, 0, min(count, len(candidates)))
	for _, c := range candidates {
		top = insert(key, top, c, count)
	}
	return top
}

// insert places a candidate in the ordered list top, which keeps at most count entries.
func insert[Name ~string](key string, top []Name, candidate Name, count int) []Name {
	at := len(top)
	for at > 0 && Before(key, candidate, top[at-1]) {
		at--
	}
	if at >= count {
		return top
	}
	if len(top) < count {
		top = append(top, candidate)
	}
	copy(top[at+1:], top[at:])
	top[at] = candidate
	return top
}
