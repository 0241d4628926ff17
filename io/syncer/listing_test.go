package syncer

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/mirror"
)

// twoListings is a source of two listings, of which the second lacks a value.
type twoListings struct {
	t     *testing.T
	calls int
}

func (s *twoListings) List(ctx context.Context, _ mirror.Group) ([]mirror.Item, uint64, error) {
	s.calls++
	switch s.calls {
	case 1:
		return []mirror.Item{{Key: "evacuate/zone", Revision: newRevision(s.t, 1, 5), Data: []byte("evacuated")}}, newRevision(s.t, 1, 5), nil
	case 2:
		return nil, newRevision(s.t, 2, 3), nil
	}
	<-ctx.Done()
	return nil, 0, errors.Trace(ctx.Err())
}

func (s *twoListings) Watch(ctx context.Context, _ mirror.Group, _ uint64, _ time.Duration) ([]mirror.Item, uint64, error) {
	<-ctx.Done()
	return nil, 0, errors.Trace(ctx.Err())
}

// TestSecondListingRemoves guards against a zone that is taken back at once after a return
// of the store: a listing that was read before the first one was merged passed for a list of
// changes, so that what it lacks was removed by a later listing of the same era.
func TestSecondListingRemoves(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := newEraWorld(t, 1).instances[0].loop
	l.opts.Source = &twoListings{t: t}
	done := make(chan struct{})
	go func() {
		l.watch(ctx, mirror.OperatorGroup)
		close(done)
	}()
	first, second := <-l.events, <-l.events
	now := l.opts.Clock.Now()
	first(now)
	second(now)
	cancel()
	<-done
	if _, pending := l.pendingRestores["zone"]; !pending || len(l.mirrors[mirror.OperatorGroup].Items()) > 0 {
		t.Errorf("pending %v, held %v", l.pendingRestores, l.mirrors[mirror.OperatorGroup].Items())
	}
}
