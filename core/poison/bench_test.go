package poison

import (
	"testing"

	"arbutustrestle/core/gossip"
)

// BenchmarkMerge measures one merge of the evidence of 83 peers after a storm of losses.
func BenchmarkMerge(b *testing.B) {
	peers := &Detector{Self: "a"}
	for i := range 60 {
		peers.RequestLost(at(float64(i)/10), uint64(i), gossip.Traits{Fingerprint: gossip.TraitKey(1000 + i), Parts: []gossip.TraitKey{1, gossip.TraitKey(100 + i)}}, Waiting)
	}
	one := peers.Evidence(at(10))
	var all gossip.LossEvidence
	for range 83 {
		all.Lost = append(all.Lost, one.Lost...)
		all.Sound = append(all.Sound, one.Sound...)
	}
	for name, acquitted := range map[string]bool{"held": false, "acquitted": true} {
		b.Run(name, func(b *testing.B) {
			d := &Detector{Self: "b"}
			if acquitted {
				for _, l := range one.Lost {
					d.AnswerSound(at(9.9), l.Traits)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				d.Merge(at(10), all, false)
			}
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	d := &Detector{Self: "a"}
	lose(d, keys("p"), 1, 2, 3)
	traits := keys("first", "second", "third")
	b.ReportAllocs()
	for b.Loop() {
		d.Check(at(4), traits)
	}
}

func BenchmarkAnswerSound(b *testing.B) {
	d := &Detector{Self: "a"}
	lose(d, keys("p"), 1, 2, 3)
	traits := keys("first", "second", "third")
	b.ReportAllocs()
	for b.Loop() {
		d.AnswerSound(at(4), traits)
	}
}
