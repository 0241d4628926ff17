package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// keys returns the traits of a request with the prompt parts, whose fingerprint isn't known.
func keys(parts ...string) gossip.Traits {
	var traits gossip.Traits
	for _, part := range parts {
		traits.Parts = append(traits.Parts, PartKey(part))
	}
	return traits
}

// request returns the traits of a request with a fingerprint and prompt parts.
func request(fingerprint gossip.TraitKey, parts ...string) gossip.Traits {
	traits := keys(parts...)
	traits.Fingerprint = fingerprint
	return traits
}

// lose records a loss of one request, with an upstream of its own, at each of the given times, in
// seconds.
func lose(d *Detector, traits gossip.Traits, seconds ...float64) {
	for _, s := range seconds {
		d.RequestLost(at(s), ownLoss(s), traits, Waiting)
	}
}

func ownLoss(seconds float64) uint64 {
	return LossID("request", ident.Upstream(fmt.Sprint("upstream-", seconds)))
}

// loseBegun is like lose, for requests whose answer had just begun.
func loseBegun(d *Detector, traits gossip.Traits, seconds ...float64) {
	for _, s := range seconds {
		d.RequestLost(at(s), ownLoss(s), traits, JustBegun)
	}
}

func refused(d *Detector, seconds float64, traits ...string) bool {
	_, found := d.Check(at(seconds), keys(traits...))
	return found
}

// TestConvictions checks what convicts a trait, and what doesn't.
func TestConvictions(t *testing.T) {
	cases := []struct {
		name string
		do   func(d *Detector)
		want bool
	}{
		{"two losses", func(d *Detector) { lose(d, keys("p"), 1, 2) }, false},
		{"three losses", func(d *Detector) { lose(d, keys("p"), 1, 2, 3) }, true},
		{"three losses at once", func(d *Detector) { lose(d, keys("p"), 1, 1.05, 1.1) }, false},
		{"five losses of answers that had just begun", func(d *Detector) { loseBegun(d, keys("p"), 1, 2, 3, 4, 5) }, false},
		{"six losses of answers that had just begun", func(d *Detector) { loseBegun(d, keys("p"), 1, 2, 3, 4, 5, 6) }, true},
		{"two losses before the answer, two after its beginning", func(d *Detector) {
			lose(d, keys("p"), 1, 2)
			loseBegun(d, keys("p"), 3, 4)
		}, true},
		{"losses of both kinds in three moments", func(d *Detector) {
			lose(d, keys("p"), 1, 2, 3)
			loseBegun(d, keys("p"), 1.05, 2.05, 3.05)
		}, true},
		{"losses of both kinds in two moments", func(d *Detector) {
			lose(d, keys("p"), 1, 2)
			loseBegun(d, keys("p"), 1.05, 2.05)
		}, false},
		{"answers that had outlasted their beginning", func(d *Detector) {
			for i := range 9 {
				d.RequestLost(at(float64(i)), uint64(i), keys("p"), Running)
			}
		}, false},
		{"one request lost three times", func(d *Detector) {
			for i := range 3 {
				d.RequestLost(at(float64(i)), 7, keys("p"), Waiting)
			}
		}, false},
		{"an answer in between", func(d *Detector) {
			lose(d, keys("p"), 1, 2)
			d.AnswerSound(at(2.5), keys("p"))
			lose(d, keys("p"), 3)
		}, false},
		{"an answer afterwards", func(d *Detector) {
			lose(d, keys("p"), 1, 2, 3)
			d.AnswerSound(at(4), keys("p"))
		}, false},
		{"an answer long before, seven losses", func(d *Detector) {
			d.AnswerSound(at(0), keys("p"))
			lose(d, keys("p"), 1, 2, 3, 4, 5, 6, 7)
		}, false},
		{"an answer long before, eight losses", func(d *Detector) {
			d.AnswerSound(at(0), keys("p"))
			lose(d, keys("p"), 1, 2, 3, 4, 5, 6, 7, 8)
		}, true},
		{"a part of one request that came again", func(d *Detector) { lose(d, request(7, "p"), 1, 2, 3) }, false},
		{"a part of two requests, one of which came again", func(d *Detector) {
			lose(d, request(7, "p"), 1, 2)
			lose(d, request(8, "p"), 3)
		}, true},
		{"a trait that others share", func(d *Detector) {
			lose(d, keys("q", "p"), 1)
			lose(d, keys("q"), 2, 3)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := &Detector{Self: "a"}
			c.do(d)
			if got := refused(d, 9, "first", "p"); got != c.want {
				t.Errorf("refused: %v", got)
			}
		})
	}
}

// TestMergedEvidence checks that losses at different instances add up, that an answer at
// any of them counts at all, and that one request isn't counted twice.
func TestMergedEvidence(t *testing.T) {
	a, b := &Detector{Self: "a"}, &Detector{Self: "b"}
	exchange := func(seconds float64) {
		a.Merge(at(seconds), b.Evidence(at(seconds)), false)
		b.Merge(at(seconds), a.Evidence(at(seconds)), false)
	}
	lose(a, keys("p"), 1)
	lose(b, keys("p"), 2)
	for range 3 {
		exchange(2.5)
	}
	if refused(a, 3, "p") || refused(b, 3, "p") {
		t.Fatal("refused after two losses")
	}
	lose(b, keys("p"), 3)
	exchange(3.5)
	if !refused(a, 4, "p") || !refused(b, 4, "p") {
		t.Fatal("not refused after three losses")
	}
	a.AnswerSound(at(5), keys("p"))
	exchange(5.5)
	exchange(6)
	if refused(a, 7, "p") || refused(b, 7, "p") {
		t.Fatal("refused after an answer")
	}
}

// TestProbes checks that one instance lets a request with a convicted trait through after a
// while, later each time that it is lost, and none of the others does.
func TestProbes(t *testing.T) {
	instances := []ident.Instance{"a", "b", "c", "d"}
	probes := 0
	for _, id := range instances {
		d := &Detector{Self: id}
		d.SetInstances(instances)
		lose(d, keys("p"), 1, 2, 3)
		for s := 4.0; s < 400; s += 0.5 {
			if _, found := d.AdmitSend(at(s), keys("p")); found {
				continue
			}
			probes++
			if want := 63.0; probes == 1 && s < want || probes == 2 && s < 183 {
				t.Errorf("probe %d at %v s", probes, s)
			}
			lose(d, keys("p"), s+0.1)
		}
	}
	if probes != 2 {
		t.Errorf("%d probes in 400 s", probes)
	}
}

// TestCompanion checks that a trait which only ever came with the one that ends upstreams
// is acquitted by an answer, and meanwhile costs a probe now and then.
func TestCompanion(t *testing.T) {
	d := &Detector{Self: "a"}
	lose(d, keys("victim", "deadly"), 1, 2, 3)
	if !refused(d, 4, "victim", "deadly") {
		t.Fatal("the request that ends upstreams is sent")
	}
	if _, found := d.AdmitSend(at(4), keys("victim")); found {
		t.Fatal("no probe of the companion")
	}
	if _, found := d.AdmitSend(at(5), keys("victim")); !found {
		t.Fatal("a second probe at once")
	}
	d.AnswerSound(at(6), keys("victim"))
	if refused(d, 7, "victim") || !refused(d, 7, "deadly") {
		t.Fatal("the companion isn't acquitted, or the cause is")
	}
}

// TestSuspects checks which lost requests aren't tried again.
func TestSuspects(t *testing.T) {
	d := &Detector{Self: "a"}
	d.AnswerSound(at(0), keys("common"))
	d.RequestLost(at(1), 1, keys("common", "p"), Waiting)
	if d.Suspects(1, keys("common", "p")) {
		t.Error("a request is suspected by its own loss")
	}
	if !d.Suspects(2, keys("common", "p")) {
		t.Error("a trait without an answer isn't suspected")
	}
	if d.Suspects(2, keys("common", "q")) {
		t.Error("a trait with answers is suspected")
	}
	first, second := LossID("request", "upstream-1"), LossID("request", "upstream-2")
	d.RequestLost(at(2), first, request(7), Waiting)
	if d.Suspects(first, request(7)) {
		t.Error("a request that was lost once isn't tried again")
	}
	d.RequestLost(at(3), second, request(7), Waiting)
	if !d.Suspects(second, request(7)) {
		t.Error("a request that was lost twice is tried again")
	}
}

// TestBoundedMemory checks that evidence about ever new traits stays bounded, and that it
// doesn't displace the evidence of a conviction.
func TestBoundedMemory(t *testing.T) {
	d := &Detector{Self: "a"}
	lose(d, keys("p"), 1, 2, 3)
	for i := range 5000 {
		now := at(4 + float64(i)/100)
		trait := fmt.Sprintf("trait-%d", i)
		d.RequestLost(now, uint64(100_000+i), keys(trait), Waiting)
		d.AnswerSound(now, keys(trait+"-begun"))
		// A request whose trait is answered before and after it was lost.
		d.AnswerSound(now, keys(trait+"-sound"))
		d.RequestLost(now, uint64(200_000+i), keys(trait+"-sound"), Waiting)
		d.AnswerSound(now.Add(time.Millisecond), keys(trait+"-sound"))
	}
	if !refused(d, 55, "p") {
		t.Error("the conviction is lost")
	}
	if e := d.Evidence(at(55)); len(e.Lost) > maxRepeated+maxReported+maxLossesPerTrait || len(e.Sound) > maxReportedSound {
		t.Errorf("%d lost requests, %d begun traits", len(e.Lost), len(e.Sound))
	}
	if e := d.Evidence(at(60)); len(e.Lost) > maxRepeated+maxLossesPerTrait || len(e.Sound) > maxRepeated+maxLossesPerTrait {
		t.Errorf("%d lost requests, %d begun traits some seconds later", len(e.Lost), len(e.Sound))
	}
	if len(d.lost) > maxRepeated+maxLost+maxLossesPerTrait {
		t.Errorf("%d lost requests held", len(d.lost))
	}
	if held := len(d.history.recent) + len(d.history.older); held > 2*maxHistory {
		t.Errorf("%d traits in the history", held)
	}
}

// TestReportOfLongPrompts guards against reports that grow with the parts of prompts, which callers
// choose, and against parts that no report holds because of that.
func TestReportOfLongPrompts(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ losses, parts int }{{1, 10}, {1, 100}, {1, 1000}, {64, 100}, {64, 1000}} {
		d, peer := &Detector{Self: "a"}, &Detector{Self: "b"}
		for i := range c.losses {
			var traits gossip.Traits
			for part := range c.parts {
				traits.Parts = append(traits.Parts, gossip.TraitKey(1+i*c.parts+part))
			}
			d.RequestLost(at(0), uint64(i+1), traits, Waiting)
		}
		largest := 0
		// The instance makes a report each 0.1 s, of which the peer gets one in 1.6 s.
		seconds := int(tellTime/time.Second) / min(c.losses, 3)
		for n := range 10 * seconds {
			now := at(float64(n) / 10)
			evidence := d.Evidence(now)
			parts := 0
			for _, l := range evidence.Lost {
				parts += len(l.Traits.Parts)
			}
			largest = max(largest, parts)
			if n%16 == 15 {
				peer.Merge(now, evidence, false)
			}
		}
		if largest > maxReportedParts {
			t.Errorf("%d losses of %d parts: a report has %d parts", c.losses, c.parts, largest)
		}
		known := 0
		for _, l := range peer.lost {
			known += len(l.traits.Parts)
		}
		if c.losses == 1 && known != c.parts || c.parts == 100 && known != c.losses*c.parts {
			t.Errorf("%d losses of %d parts: a peer knows %d parts", c.losses, c.parts, known)
		}
	}
}

// TestUnansweredPartInEachReport guards against the part that crashes upstreams being in the one report
// that a peer doesn't get, since the sound parts of the same prompt take the room in the others.
func TestUnansweredPartInEachReport(t *testing.T) {
	d := &Detector{Self: "a"}
	sound := keys("deadly")
	for i := range 500 {
		sound.Parts = append(sound.Parts, PartKey(fmt.Sprint(i)))
	}
	d.AnswerSound(at(0), gossip.Traits{Parts: sound.Parts[1:]})
	d.RequestLost(at(1), 1, sound, Waiting)
	for n := range 40 {
		parts := d.Evidence(at(1 + float64(n)/10)).Lost[0].Traits.Parts
		if !slices.Contains(parts, PartKey("deadly")) {
			t.Fatalf("report %d has other parts only", n)
		}
	}
}

// TestManyPartsHeld guards against a process whose memory is filled with the parts of lost requests.
func TestManyPartsHeld(t *testing.T) {
	d := &Detector{Self: "a"}
	const parts = 2048
	for i := range 2 * maxHeldParts / parts {
		var traits gossip.Traits
		for part := range parts {
			traits.Parts = append(traits.Parts, gossip.TraitKey(1+i*parts+part))
		}
		d.RequestLost(at(float64(i)/100), uint64(i+1), traits, Waiting)
	}
	held := 0
	for _, l := range d.lost {
		held += len(l.traits.Parts)
	}
	if held > maxHeldParts || held < maxHeldParts/2 {
		t.Errorf("%d parts held", held)
	}
}

// TestManyLostAtOnce guards against a loss that no report holds since very many requests were lost with
// it.
func TestManyLostAtOnce(t *testing.T) {
	d, peer := &Detector{Self: "a"}, &Detector{Self: "b"}
	const lost = 256
	for i := range lost {
		d.RequestLost(at(0), uint64(i+1), request(gossip.TraitKey(i+1)), Waiting)
	}
	for s := 0.4; s < reportTime.Seconds(); s += 0.4 {
		peer.Merge(at(s), d.Evidence(at(s)), false)
	}
	if len(peer.lost) < lost*9/10 {
		t.Errorf("a peer knows %d of %d lost requests", len(peer.lost), lost)
	}
}

// TestEvidenceEnds checks that evidence which instances exchange all the while ends.
func TestEvidenceEnds(t *testing.T) {
	detectors := []*Detector{{Self: "a"}, {Self: "b"}, {Self: "c"}}
	lose(detectors[0], keys("p"), 1, 2, 3)
	const delay = 0.2
	for s := 4.0; s < 1000; s++ {
		for _, from := range detectors {
			evidence := from.Evidence(at(s))
			for _, to := range detectors {
				to.Merge(at(s+delay), evidence, false)
			}
		}
	}
	for _, d := range detectors {
		d.Merge(at(1001), gossip.LossEvidence{Sound: []gossip.SoundTrait{{Trait: PartKey("other")}}}, false)
		d.RequestLost(at(1001), 99, keys("q"), Waiting)
		if e := d.Evidence(at(1001)); len(e.Lost) != 1 {
			t.Errorf("%s holds %d lost requests", d.Self, len(e.Lost))
		}
	}
}

// TestLossesNotDisplaced guards against losing the evidence against a request that comes again
// because many others are lost with it each time, at several instances.
func TestLossesNotDisplaced(t *testing.T) {
	const others = 90
	for position := 0; position <= others; position += others / 6 {
		detectors := []*Detector{{Self: "a"}, {Self: "b"}, {Self: "c"}}
		for i := range detectors {
			loseTogether(detectors, i, others, position)
		}
		for _, d := range detectors {
			if _, found := d.Check(at(30), request(deadlyRequest)); !found {
				t.Errorf("position %d: %s sends the request", position, d.Self)
			}
		}
	}
}

// loseTogether makes the instance with the given index lose the deadly request, and all
// instances together lose others, and exchanges their evidence. position is the number of
// others that are recorded first.
func loseTogether(detectors []*Detector, index, others, position int) {
	now := at(float64(10 * index))
	for i := range others + 1 {
		if i == position {
			id := LossID("deadly", ident.Upstream(fmt.Sprint(index)))
			detectors[index].RequestLost(now, id, request(deadlyRequest), Waiting)
			continue
		}
		id := uint64(1000*index + i)
		detectors[i%len(detectors)].RequestLost(now, id, request(gossip.TraitKey(1_000_000+id), fmt.Sprint(id)), Waiting)
	}
	for _, from := range detectors {
		evidence := from.Evidence(now.Add(time.Second))
		for _, to := range detectors {
			to.Merge(now.Add(1100*time.Millisecond), evidence, false)
		}
	}
}
