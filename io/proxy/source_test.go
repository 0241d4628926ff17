package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/mirror"
)

// testSource publishes a list of items for each group.
type testSource struct {
	mu    sync.Mutex
	items map[mirror.Group][]mirror.Item
	// changed holds the changes that watches deliver.
	changed map[mirror.Group][]mirror.Item
}

// change delivers a change to the next watch of a group.
func (s *testSource) change(g mirror.Group, i mirror.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = map[mirror.Group][]mirror.Item{}
	}
	s.changed[g] = append(s.changed[g], i)
}

// changes returns the changes of a group after a revision.
func (s *testSource) changes(g mirror.Group, after uint64) []mirror.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.changed[g]), func(i mirror.Item) bool { return i.Revision <= after })
}

func (s *testSource) List(_ context.Context, g mirror.Group) ([]mirror.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		return nil, 0, errors.New("nothing published yet")
	}
	return s.items[g], 1, nil
}

func (s *testSource) Watch(ctx context.Context, g mirror.Group, after uint64, wait time.Duration) ([]mirror.Item, uint64, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if list := s.changes(g, after); len(list) > 0 {
			return list, list[len(list)-1].Revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Trace(ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil, after, nil
}
