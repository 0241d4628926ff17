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
	// pollInterval is the time between two checks of the requests in flight.
	pollInterval = 50 * time.Millisecond
	// stopNoticeTime is how long an instance keeps running after its last request, so
	// that its heartbeats name the successor of its records to the peers.
	stopNoticeTime = 1500 * time.Millisecond
)

// Drain performs the graceful shutdown of an instance.
type Drain struct {
	loop   *loop.Loop
	server *entry.Server
	clock  clock.Clock
	log    zerolog.Logger

	once    sync.Once
	started chan struct{}

	// The fields below are used only by the goroutine that runs await.

	state drain.Drain
	// handoverResults receives the result of the running handover.
	handoverResults chan drain.HandoverResult
}

func newDrain(l *loop.Loop, server *entry.Server, c clock.Clock, log zerolog.Logger) *Drain {
	return &Drain{
		loop:            l,
		server:          server,
		clock:           c,
		log:             log,
		started:         make(chan struct{}),
		handoverResults: make(chan drain.HandoverResult, 1),
	}
}

// Start begins the drain. Later calls have no effect.
func (d *Drain) Start() {
	d.once.Do(func() { close(d.started) })
}

// await waits for a signal or a call of Start, then drains. The next signal shortens the
// waits, and the one after it ends the drain at once. The error reports the requests that
// were cut off.
func (d *Drain) await(signals <-chan os.Signal) error {
	select {
	case <-signals:
		d.Start()
	case <-d.started:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.configure()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	exit := d.step(ctx, drain.Stop{})
	for repeated := 0; exit == nil; {
		select {
		case <-ticker.C:
			exit = d.step(ctx, d.server.InFlight())
		case e := <-d.handoverResults:
			exit = d.step(ctx, e)
		case <-signals:
			repeated++
			exit = d.step(ctx, repeatedSignal(repeated))
		}
	}
	return d.finish(exit)
}

// repeatedSignal returns the event of the signal with the given number, counted from 1, of
// those that arrive during the drain.
func repeatedSignal(count int) drain.Event {
	if count == 1 {
		return drain.Stop{}
	}
	return drain.Abort{}
}

// configure sets the expected time of the shutdown from the active table.
func (d *Drain) configure() {
	if t := d.loop.View().Table; t != nil {
		d.state.Limits.ReportAfter = t.Policy().GracefulShutdown
	}
}

// step applies an event to the drain state and performs the resulting actions. It returns
// the action that ends the drain, or nil.
func (d *Drain) step(ctx context.Context, event drain.Event) *drain.Exit {
	for _, action := range d.state.Step(d.clock.Now(), event) {
		switch a := action.(type) {
		case drain.Announce:
			d.log.Info().Int("in-flight", d.server.InFlight().Requests).Msg("draining")
			d.loop.Post(node.PhaseChanged{Phase: member.Draining})
		case drain.RefuseNew:
			d.server.RefuseNewRequests(a.RetryAfter)
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

// handOver sends the records to a successor. Each attempt chooses another one.
func (d *Drain) handOver(ctx context.Context, a drain.HandOver) {
	err := d.loop.HandOverRecords(ctx, a.Attempt)
	if err != nil {
		d.log.Warn().Err(err).Str("step", "handover").Int("attempt", a.Attempt).Msg("records not handed over")
	}
	select {
	case d.handoverResults <- drain.HandoverResult{Attempt: a.Attempt, Complete: err == nil}:
	case <-ctx.Done():
	}
}

// finish announces the end of this instance to its peers. It returns an error at once
// when requests were cut off.
func (d *Drain) finish(exit *drain.Exit) error {
	if exit.Cut > 0 {
		return errors.Errorf("shutdown cut off %d requests in flight", exit.Cut)
	}
	// The heartbeats that are sent in this time name the successor of the records.
	time.Sleep(stopNoticeTime)
	d.loop.Post(node.PhaseChanged{Phase: member.Stopped})
	time.Sleep(pollInterval)
	d.log.Info().Msg("drained")
	return nil
}
