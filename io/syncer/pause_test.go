package syncer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/resume"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
)

// TestReadAfterPause guards against an instance that resumes after a pause and sends
// requests by what was published before: it must read the changes first. If the platform
// doesn't answer, it goes on after a while.
func TestReadAfterPause(t *testing.T) {
	for name, rejected := range map[string]bool{"platform answers": false, "platform is unavailable": true} {
		t.Run(name, func(t *testing.T) {
			s := &store{changed: make(chan struct{})}
			s.put(mirror.OperatorGroup, "config")
			r := &reader{store: s, decoded: map[string]uint64{}, rejected: rejected}
			p := pool.New(pool.Settings{Self: "entry-0", Region: "here"})
			l := New(Options{
				Self: gossip.Record{ID: "entry-0", Incarnation: 1, Region: "here"}, Source: r, Decoder: r, Clock: clock.System{}, Log: zerolog.Nop(),
				Metrics: metric.NewSet(), Links: &link.Pool{}, Pool: p, Spill: &spill.Table{}, Budget: &budget.Budget{Limits: budget.Limits{Window: time.Second}}, Poison: &poison.Detector{}, Streams: &resume.Table{},
			})
			ctx := context.Background()
			now := time.Now()
			p.SetUpstream(now, pool.Upstream{ID: "u", Service: "app", Region: "here"})
			items, revision, _ := s.after(mirror.OperatorGroup, 0)
			l.merge(ctx, now, mirror.OperatorGroup, items, revision, true)
			l.tick(ctx, now)
			s.put(mirror.OperatorGroup, "zone-1")
			resumed := now.Add(2 * time.Second)
			l.tick(ctx, resumed)
			if _, found := p.Pick(resumed, pool.Request{Service: "app"}); found {
				t.Error("a request is chosen before the read")
			}
			(<-l.events)(resumed)
			if _, found := p.Pick(resumed, pool.Request{Service: "app"}); !found {
				t.Error("no request is chosen after the read")
			}
			if r.has("zone-1") == rejected {
				t.Errorf("the change is activated: %t", !rejected)
			}
			l.work.Wait()
		})
	}
}
