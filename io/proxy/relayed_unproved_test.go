package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/relay"
)

// TestRelayedToUnprovedVersion guards against a relayed stream that begins at an upstream whose version
// isn't proved though the sender, which may be of an earlier build, needs to know the version, and against
// one that is told a version which isn't proved as one that is.
func TestRelayedToUnprovedVersion(t *testing.T) {
	for _, c := range []struct {
		name                  string
		ended                 bool
		resumable, suffices   bool
		served, toldAsUnknown bool
	}{
		{"proved", false, true, false, true, false},
		{"proved, and it need not be", false, true, true, true, false},
		{"unproved", true, true, false, false, false},
		{"unproved, which suffices", true, true, true, true, true},
		{"unproved, not resumable", true, false, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			do := closing("id: 1\ndata: a\n\n")
			inst := newTestInstance(t, do, do).ready(t)
			inst.publishVersions(t, "v1", "v1")
			if c.ended {
				now := inst.proxy.Clock.Now()
				inst.proxy.Pool.MarkEnded(now, "u-0", testAddress(inst.upstreams[0]))
				inst.proxy.Pool.MarkEnded(now, "u-1", testAddress(inst.upstreams[1]))
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			links, address := linkTo(ctx, t, inst)
			answer, failure := relay.Send(ctx, links, address, &relay.Request{
				Attempt:          http1.Attempt{RequestID: "1", Method: http.MethodPost, Target: "/resume/", Host: "h", Remaining: 5 * time.Second},
				Service:          "app",
				Kind:             spec.Stream,
				Resumable:        c.resumable,
				UnprovedSuffices: c.suffices,
			})
			if !c.served {
				if failure == nil || failure.Outcome != result.NotRun || failure.Reason != result.NoUpstream || inst.arrivals() != 0 {
					t.Errorf("failure %v, %d arrivals", failure, inst.arrivals())
				}
				return
			}
			if failure != nil {
				t.Fatal(failure)
			}
			defer func() { _ = answer.Body.Close() }()
			if answer.Meta.VersionUnproved != c.toldAsUnknown {
				t.Errorf("told as unproved: %t", answer.Meta.VersionUnproved)
			}
		})
	}
}

// TestUnprovedOnlyWithoutOtherPlace guards against a stream that goes on nowhere though another region, or
// an upstream here, would have begun it as one that does: a region is told that an unproved version suffices
// only if there is no other place. One that is taken up never begins at an unproved version.
func TestUnprovedOnlyWithoutOtherPlace(t *testing.T) {
	regionOf := func(name ident.Region, now time.Time) gossip.Member {
		loads := []gossip.ServiceLoad{{Service: "app", Upstreams: 1}}
		record := gossip.Record{ID: ident.Instance(name), Region: name, Phase: member.Ready, ServiceLoads: loads}
		return gossip.Member{Record: record, Alive: true, Contact: true, LoadsAt: now}
	}
	for _, c := range []struct {
		name     string
		regions  []ident.Region
		local    bool
		change   func(call *Call)
		suffices bool
	}{
		{"one region", []ident.Region{"far"}, false, func(*Call) {}, true},
		{"two regions", []ident.Region{"far", "west"}, false, func(*Call) {}, false},
		{"two regions, one at home", []ident.Region{"far", "west"}, false, func(c *Call) { c.Route.HomeRegions = []ident.Region{"far"} }, true},
		{"an upstream here", []ident.Region{"far"}, true, func(*Call) {}, false},
		{"an upstream here that isn't reached", []ident.Region{"far"}, true, func(c *Call) { c.elsewhere = true }, true},
		{"not resumable", []ident.Region{"far"}, false, func(c *Call) { c.Route.Resumable = false }, false},
		{"taken up", []ident.Region{"far"}, false, func(c *Call) { c.versionBound = pool.VersionBound{Bound: true, Version: "v1"} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clk := clock.System{}
			now := clk.Now()
			p := &Proxy{Self: "entry-1", Region: "near", Clock: clk, Pool: pool.New(pool.Settings{Self: "entry-1", Region: "near", PromptRate: 60}), Spill: &spill.Table{}}
			view := &gossip.View{Self: gossip.Record{ID: "entry-1", Region: "near"}}
			for _, name := range c.regions {
				view.Members = append(view.Members, regionOf(name, now))
			}
			p.Spill.Update(now, view)
			if c.local {
				p.Pool.SetUpstream(now, pool.Upstream{ID: "u-0", Service: "app", Region: "near", Slots: 10})
			}
			call := &Call{Service: "app", Route: &spec.Route{Kind: spec.Stream, Resumable: true}, visited: []ident.Region{"far"}, Arrived: now, Deadline: now.Add(time.Second)}
			c.change(call)
			if got := p.unprovedSuffices(call); got != c.suffices {
				t.Errorf("an unproved version suffices: %t", got)
			}
		})
	}
}
