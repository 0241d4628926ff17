package poison

import (
	"fmt"
	"testing"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// loseAt records that a request was lost with an upstream.
func loseAt(d *Detector, seconds float64, id string, upstream ident.Upstream, traits gossip.Traits, progress Progress) {
	d.RequestLost(at(seconds), LossID(id, upstream), traits, progress)
}

// losses that two failed runs of TestPartThatCrashesUpstreams have logged, see
// docs/incidents/sound-part-refused.md.
var loggedRuns = map[string]func(d *Detector){
	"between events": func(d *Detector) {
		loseAt(d, 5.195, "bad-0", "i-1", keys("session-0", "deadly"), JustBegun)
		loseAt(d, 5.619, "sound-2", "i-3", keys("session-2"), JustBegun)
		loseAt(d, 5.619, "bad-4", "i-3", keys("session-4", "deadly"), JustBegun)
		loseAt(d, 6.127, "sound-9", "i-0", keys("session-4"), Waiting)
		loseAt(d, 6.128, "sound-0", "i-0", keys("session-0"), JustBegun)
		loseAt(d, 6.128, "bad-8", "i-0", keys("session-3", "deadly"), JustBegun)
		loseAt(d, 7.630, "bad-24", "i-1", keys("session-4", "deadly"), JustBegun)
		loseAt(d, 7.630, "sound-24", "i-1", keys("session-4"), JustBegun)
		loseAt(d, 7.867, "sound-17", "i-2", keys("session-2"), Waiting)
		loseAt(d, 7.868, "bad-20", "i-2", keys("session-0", "deadly"), Waiting)
		loseAt(d, 7.868, "sound-19", "i-2", keys("session-4"), Waiting)
	},
	// The first two ends are of one moment, so that both parts were lost in three.
	"inside the first event": func(d *Detector) {
		loseAt(d, 5.904, "bad-4", "i-3", keys("session-4", "deadly"), Waiting)
		loseAt(d, 5.904, "sound-1", "i-3", keys("session-1"), JustBegun)
		loseAt(d, 5.948, "sound-3", "i-2", keys("session-3"), Waiting)
		loseAt(d, 5.949, "bad-0", "i-2", keys("session-0", "deadly"), Waiting)
		loseAt(d, 6.396, "sound-9", "i-0", keys("session-4"), Waiting)
		loseAt(d, 6.396, "sound-8", "i-0", keys("session-3"), JustBegun)
		loseAt(d, 6.397, "bad-8", "i-0", keys("session-3", "deadly"), Waiting)
		loseAt(d, 7.698, "sound-18", "i-1", keys("session-3"), Waiting)
		loseAt(d, 7.698, "bad-16", "i-1", keys("session-1", "deadly"), Waiting)
	},
}

// TestLostBesideCause guards against refusing the part of a session that was lost only with upstreams
// which another part had ended, here and at an instance that learns all from reports.
func TestLostBesideCause(t *testing.T) {
	for name, do := range loggedRuns {
		t.Run(name, func(t *testing.T) {
			near, far := &Detector{Self: "near"}, &Detector{Self: "far"}
			do(near)
			far.Merge(at(8.3), near.Evidence(at(8)), false)
			for _, d := range []*Detector{near, far} {
				if !refused(d, 9, "session-9", "deadly") {
					t.Errorf("%s: the part that ends upstreams is sent", d.Self)
				}
				for _, session := range []string{"session-0", "session-1", "session-2", "session-3", "session-4"} {
					if refused(d, 9, session) {
						t.Errorf("%s: %s is refused", d.Self, session)
					}
				}
			}
		})
	}
}

// TestRequestLostBesideCause guards against refusing a sound request whose tries were all lost with
// upstreams that the deadly part ended, and against sending one that ends upstreams itself.
func TestRequestLostBesideCause(t *testing.T) {
	for _, c := range []struct {
		name string
		// alone is the number of further losses without the deadly part.
		alone int
		want  bool
	}{
		{"three tries beside it", 0, false},
		{"two more alone", 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &Detector{Self: "a"}
			lose(d, keys("deadly"), 1, 1.3, 1.6)
			for n := range 3 + c.alone {
				seconds, upstream := float64(2+n), ident.Upstream(fmt.Sprint("i-", n))
				if n < 3 {
					loseAt(d, seconds, fmt.Sprint("bad-", n), upstream, keys("deadly"), Waiting)
				}
				loseAt(d, seconds, "sound", upstream, request(7), Waiting)
			}
			if _, found := d.Check(at(8), request(7)); found != c.want {
				t.Errorf("refused: %v", found)
			}
			if !refused(d, 8, "deadly") {
				t.Error("the part that ends upstreams is sent")
			}
		})
	}
}

// loseBeside records losses of two parts, in different requests, with the same end of an upstream at
// each of the given times.
func loseBeside(d *Detector, a, b string, seconds ...float64) {
	for _, s := range seconds {
		upstream := ident.Upstream(at(s).String())
		loseAt(d, s, a, upstream, keys(a), Waiting)
		loseAt(d, s+0.01, b, upstream, keys(b), Waiting)
	}
}

// TestNotExplained guards against a part that ends upstreams and is sent since its losses pass for
// those of another one.
func TestNotExplained(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(d *Detector)
		want bool
	}{
		{"each time beside another part that was lost more often", func(d *Detector) {
			lose(d, keys("other"), 1)
			loseBeside(d, "other", "p", 3, 5, 7)
		}, false},
		{"that one is answered", func(d *Detector) {
			lose(d, keys("other"), 1)
			loseBeside(d, "other", "p", 3, 5, 7)
			d.AnswerSound(at(8), keys("other"))
		}, true},
		{"one further loss alone", func(d *Detector) {
			lose(d, keys("other"), 1, 2, 3)
			loseBeside(d, "other", "p", 5, 7, 9)
			lose(d, keys("p"), 11)
		}, false},
		{"two further losses alone", func(d *Detector) {
			lose(d, keys("other"), 1, 2, 3)
			loseBeside(d, "other", "p", 5, 7, 9)
			lose(d, keys("p"), 11, 13)
		}, true},
		{"as often as the other one", func(d *Detector) { loseBeside(d, "other", "p", 3, 5, 7) }, true},
		{"another part is lost more often since it is refused", func(d *Detector) {
			lose(d, keys("p"), 1)
			loseBeside(d, "p", "other", 3, 5)
			lose(d, keys("other"), 7, 8, 9, 10)
		}, true},
		{"in the same moments, with other upstreams", func(d *Detector) {
			lose(d, keys("other"), 1, 3, 5, 7)
			for _, s := range []float64{3, 5, 7} {
				loseAt(d, s, fmt.Sprint("p-", s), "elsewhere", keys("p"), Waiting)
			}
		}, true},
		{"with the same upstreams, some seconds later", func(d *Detector) {
			for _, s := range []float64{1, 5, 9, 13} {
				loseAt(d, s, fmt.Sprint("other-", s), "i-1", keys("other"), Waiting)
			}
			for _, s := range []float64{3, 7, 11} {
				loseAt(d, s, fmt.Sprint("p-", s), "i-1", keys("p"), Waiting)
			}
		}, true},
		{"beside a part that isn't convicted", func(d *Detector) {
			d.AnswerSound(at(0), keys("common"))
			lose(d, keys("common"), 1, 2)
			loseBeside(d, "common", "p", 3, 5, 7)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, peer := &Detector{Self: "a"}, &Detector{Self: "b"}
			d.SetInstances([]ident.Instance{"elsewhere"})
			peer.SetInstances([]ident.Instance{"elsewhere"})
			c.do(d)
			peer.Merge(at(16.2), d.Evidence(at(16)), false)
			if got := refused(d, 17, "p"); got != c.want {
				t.Errorf("refused: %v", got)
			}
			if got := refused(peer, 17, "p"); got != c.want {
				t.Errorf("refused by a peer: %v", got)
			}
		})
	}
}

// TestLostAsOften checks that of two parts that were lost with the same ends of upstreams in different
// requests, each is tried without the other soon, and that what becomes of it tells which is the cause.
func TestLostAsOften(t *testing.T) {
	d := &Detector{Self: "a"}
	loseBeside(d, "deadly", "victim", 1, 3, 5)
	if !refused(d, 6, "victim", "deadly") {
		t.Fatal("the request that holds both is sent")
	}
	if _, found := d.AdmitSend(at(6), keys("victim")); found {
		t.Fatal("no probe of the victim")
	}
	if _, found := d.AdmitSend(at(6.1), keys("victim")); !found {
		t.Fatal("a second probe at once")
	}
	if _, found := d.AdmitSend(at(6.2), keys("deadly")); found {
		t.Fatal("no probe of the part that ends upstreams")
	}
	loseAt(d, 6.3, "probe", "further", keys("deadly"), Waiting)
	if _, found := d.AdmitSend(at(17), keys("deadly")); !found {
		t.Fatal("a second probe of the part that ends upstreams, though the victim doesn't explain the loss of the first")
	}
	if _, found := d.AdmitSend(at(17), keys("victim")); found {
		t.Fatal("no second probe of the victim")
	}
	d.AnswerSound(at(18), keys("victim"))
	if refused(d, 19, "victim") || !refused(d, 19, "deadly") {
		t.Fatal("the victim isn't acquitted, or the cause is")
	}
}

// TestExplainedNotSuspected guards against sound requests that aren't tried elsewhere after a loss,
// since earlier ones were lost beside a part that is known to end upstreams by now.
func TestExplainedNotSuspected(t *testing.T) {
	d := &Detector{Self: "a"}
	loseBeside(d, "deadly", "victim", 1, 3)
	if !d.Suspects(7, keys("victim")) {
		t.Error("not suspected while the cause isn't known")
	}
	lose(d, keys("deadly"), 5)
	if d.Suspects(7, keys("victim")) {
		t.Error("suspected by losses whose cause is known")
	}
	if !d.Suspects(7, keys("victim", "deadly")) {
		t.Error("a request with the part that ends upstreams isn't suspected")
	}
}
