package syncer

import (
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/mirror"
)

// TestReturnReachesRegion guards against instances that go on with the state of a lost era
// of the store: those that rely on peers to watch it, and one that the store rejects. A
// change that is made after the return, at a revision that was given out before, must be
// activated by all in time, twice in a row.
func TestReturnReachesRegion(t *testing.T) {
	t.Parallel()
	s := &store{changed: make(chan struct{})}
	s.put(mirror.OperatorGroup, "config")
	instances := startRegion(t, s, 6)
	await(t, 10*time.Second, "two watch and four pause", func() bool {
		return len(watching(instances)) == 2 && paused(instances) == 4
	})
	for _, key := range []string{"zone-1", "zone-2", "zone-3", "zone-4"} {
		s.put(mirror.OperatorGroup, key)
	}
	await(t, activationTimeout, "the changes are activated by all", func() bool {
		return !slices.ContainsFunc(instances, func(e *instance) bool { return !e.has("zone-4") })
	})
	for _, e := range instances {
		if !slices.Contains(watching(instances), e) {
			e.mu.Lock()
			e.rejected = true
			e.mu.Unlock()
			break
		}
	}
	for _, key := range []string{"zone-5", "zone-6"} {
		s.returnTo(t, 2)
		s.put(mirror.OperatorGroup, key)
		await(t, activationTimeout, key+" is activated by all", func() bool {
			return !slices.ContainsFunc(instances, func(e *instance) bool { return !e.has(key) })
		})
	}
	await(t, time.Second, "all announce the last era", func() bool {
		return !slices.ContainsFunc(instances, func(e *instance) bool {
			return mirror.Era(e.loop.View().Membership.Self.OperatorRevision) != 2
		})
	})
}
