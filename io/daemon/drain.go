package daemon

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/loop"
	"arbutustrestle/io/metric"
)

const (
	// pollInterval is how often a drain looks whether the last request has ended.
	pollInterval = 50 * time.Millisecond
	// announceTime is how long an instance goes on after its records were handed over,
	// so that its peers hear of the successor and of its end.
	announceTime = 2 * time.Second
)

// Drain stops an instance without cutting off a request.
type Drain struct {
	loop    *loop.Loop
	records *entry.Records
	metrics *metric.Set
	clock   clock.Clock
	log     zerolog.Logger

	once    sync.Once
	started chan struct{}
}

func newDrain(l *loop.Loop, r *entry.Records, m *metric.Set, c clock.Clock, log zerolog.Logger) *Drain {
	return &Drain{loop: l, records: r, metrics: m, clock: c, log: log, started: make(chan struct{})}
}

// Start begins the drain; further calls do nothing.
func (d *Drain) Start() {
	d.once.Do(func() { close(d.started) })
}

// await waits for the reason to drain and drains. The error says that a second
// signal cut it short.
func (d *Drain) await(signals <-chan os.Signal) error {
	select {
	case <-signals:
		d.Start()
	case <-d.started:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.run(ctx)
	}()
	select {
	case <-done:
		return nil
	case <-signals:
		return errors.Errorf("ended by a second signal with %s requests in flight", d.metrics.InFlight)
	}
}

// run leaves the advice to callers, finishes what runs, and hands the records over.
func (d *Drain) run(ctx context.Context) {
	d.log.Info().Str("in-flight", d.metrics.InFlight.String()).Msg("draining")
	d.loop.Post(node.PhaseChanged{Phase: member.Draining})
	d.finish(ctx)
	d.handOver(ctx)
	// Peers' views go on naming this instance for a moment; what they still send is
	// refused as not run.
	pause(ctx, announceTime)
	d.finish(ctx)
	d.loop.Post(node.PhaseChanged{Phase: member.Stopped})
	pause(ctx, pollInterval)
	d.log.Info().Msg("drained")
}

func (d *Drain) finish(ctx context.Context) {
	for d.metrics.InFlight.Value() > 0 && pause(ctx, pollInterval) {
		continue
	}
}

func (d *Drain) handOver(ctx context.Context) {
	v := d.loop.View()
	if v.Table == nil || d.records.Usage().Records == 0 {
		return
	}
	note, err := d.loop.HandOver(ctx, v.Table.Policy().RecordRetention)
	if err != nil {
		d.log.Warn().Err(err).Str("step", "handover").Msg("records not handed over; repeated keys will be answered with an unknown outcome")
		return
	}
	d.records.Note(note)
	d.log.Info().Str("peer", note.Successor.String()).Msg("records handed over")
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
