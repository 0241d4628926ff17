package daemon

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/drain"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/loop"
)

const (
	// flightInterval is how often a drain looks at what is in flight.
	flightInterval = 50 * time.Millisecond
	// stopNoticeTime is how long an instance goes on after its last request, so that
	// its peers hear of its successor and of its end.
	stopNoticeTime = 1500 * time.Millisecond
)

// Drain carries out the graceful shutdown of an instance.
type Drain struct {
	loop  *loop.Loop
	core  *entry.Server
	clock clock.Clock
	log   zerolog.Logger

	once    sync.Once
	started chan struct{}

	// The fields below belong to the goroutine of await.

	state drain.Drain
	// ended has the result of the handover that runs.
	ended chan drain.HandoverResult
}

func newDrain(l *loop.Loop, core *entry.Server, c clock.Clock, log zerolog.Logger) *Drain {
	return &Drain{
		loop:    l,
		core:    core,
		clock:   c,
		log:     log,
		started: make(chan struct{}),
		ended:   make(chan drain.HandoverResult, 1),
	}
}

// Start begins the drain; further calls do nothing.
func (d *Drain) Start() {
	d.once.Do(func() { close(d.started) })
}

// await waits for the reason to drain and drains. A second signal shortens the
// waits, and a third one ends it at once; the error says what that cut off.
func (d *Drain) await(signals <-chan os.Signal) error {
	select {
	case <-signals:
		d.Start()
	case <-d.started:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.configure()
	ticker := time.NewTicker(flightInterval)
	defer ticker.Stop()
	exit := d.step(ctx, drain.Stop{})
	for repeated := 0; exit == nil; {
		select {
		case <-ticker.C:
			exit = d.step(ctx, d.core.InFlight())
		case e := <-d.ended:
			exit = d.step(ctx, e)
		case <-signals:
			repeated++
			exit = d.step(ctx, repeatedSignal(repeated))
		}
	}
	return d.leave(exit)
}

// repeatedSignal returns the event of a signal after the first.
func repeatedSignal(count int) drain.Event {
	if count == 1 {
		return drain.Stop{}
	}
	return drain.Abort{}
}

// configure takes the operator's bound from the table in force.
func (d *Drain) configure() {
	if t := d.loop.View().Table; t != nil {
		d.state.Limits.ReportAfter = t.Policy().GracefulShutdown
	}
}

// step gives an event to the state and carries out its actions. It returns the
// action that ends the drain.
func (d *Drain) step(ctx context.Context, event drain.Event) *drain.Exit {
	for _, action := range d.state.Step(d.clock.Now(), event) {
		switch a := action.(type) {
		case drain.Announce:
			d.log.Info().Int("in-flight", d.core.InFlight().Requests).Msg("draining")
			d.loop.Post(node.PhaseChanged{Phase: member.Draining})
		case drain.RefuseNew:
			d.core.RefuseNewRequests(a.RetryAfter)
		case drain.HandOver:
			go d.handOver(ctx, a)
		case drain.Report:
			d.log.Warn().Int("in-flight", a.Requests).Time("last-deadline", a.LastDeadline).Msg("requests outlast the expected time of the shutdown")
		case drain.Exit:
			return &a
		}
	}
	return nil
}

// handOver gives the records to a successor, another one with each attempt.
func (d *Drain) handOver(ctx context.Context, a drain.HandOver) {
	err := d.loop.HandOverRecords(ctx, a.Attempt)
	if err != nil {
		d.log.Warn().Err(err).Str("step", "handover").Int("attempt", a.Attempt).Msg("records not handed over")
	}
	select {
	case d.ended <- drain.HandoverResult{Attempt: a.Attempt, Complete: err == nil}:
	case <-ctx.Done():
	}
}

// leave says goodbye to the peers and reports what was cut off.
func (d *Drain) leave(exit *drain.Exit) error {
	if exit.Cut > 0 {
		return errors.Errorf("ended with %d requests in flight", exit.Cut)
	}
	// The next heartbeats name the successor of the records.
	time.Sleep(stopNoticeTime)
	d.loop.Post(node.PhaseChanged{Phase: member.Stopped})
	time.Sleep(flightInterval)
	d.log.Info().Msg("drained")
	return nil
}
