package proxy

import (
	"time"

	"arbutustrestle/core/poison"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/syncer"
)

// beginningTime is how long after its first event an answer counts as just begun. An upstream that
// falls over while it begins to write ends in this time, also with some pauses between events.
const beginningTime = 1500 * time.Millisecond

// beginning follows the beginning of an answer: an upstream may end by a request while it begins to
// write the answer, so that only an answer that has outlasted this shows that its request is sound.
type beginning struct {
	proxy  *Proxy
	call   *Call
	answer *http1.Answer
	headAt time.Time
	// eventAt is when the first whole event had arrived, or the first part of an answer that is
	// no stream of events; zero before.
	eventAt time.Time
	// outlasted is set once the traits of the request were recorded as sound.
	outlasted bool
}

func (p *Proxy) beginAnswer(call *Call, a *http1.Answer) *beginning {
	return &beginning{proxy: p, call: call, answer: a, headAt: p.Clock.Now()}
}

// partArrived records that a part of the answer has arrived.
func (b *beginning) partArrived() {
	now := b.proxy.Clock.Now()
	if b.eventAt.IsZero() && (!b.answer.HasEvents() || b.answer.Events() > 0) {
		b.eventAt = now
	}
	if !b.eventAt.IsZero() && now.Sub(b.eventAt) >= beginningTime {
		b.recordSound(now)
	}
}

// whole records that the answer was whole.
func (b *beginning) whole() {
	b.recordSound(b.proxy.Clock.Now())
}

func (b *beginning) recordSound(now time.Time) {
	if b.outlasted || b.answer.Status < 200 || b.answer.Status >= 300 {
		return
	}
	b.outlasted = true
	syncer.RecordConvictions(b.proxy.Log, b.proxy.Metrics, b.proxy.Poison.AnswerSound(now, b.call.traits()))
}

// progress returns how far the answer had come when it broke off.
func (b *beginning) progress() poison.Progress {
	now := b.proxy.Clock.Now()
	switch {
	case b.answer.HasEvents() && b.eventAt.IsZero():
		return poison.Waiting
	case !b.answer.HasEvents() && now.Sub(b.headAt) < beginningTime:
		return poison.Waiting
	case b.answer.HasEvents() && now.Sub(b.eventAt) < beginningTime:
		return poison.JustBegun
	default:
		return poison.Running
	}
}
