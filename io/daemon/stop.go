package daemon

import (
	"context"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"arbutustrestle/core/member"
	"arbutustrestle/core/result"
	"arbutustrestle/io/proxy"
)

const (
	// exitMargin is how long before the end of the grace time the process exits, even
	// if requests are still in flight.
	exitMargin = 250 * time.Millisecond
	// cutTime is how long requests that are cut off then have to end.
	cutTime = 150 * time.Millisecond
	// minDrainTime is the time that callers have to switch to other instances.
	minDrainTime = 3 * time.Second
	// refuseTime is how long before the exit an instance that is still busy takes no more
	// connections. A connection on which nothing has arrived in it carries no request.
	refuseTime = time.Second
	// keptConnTime is how long requests on kept connections are answered after that: they may
	// be under way.
	keptConnTime = 250 * time.Millisecond
	// drainPollInterval is the time between two checks of the requests in flight.
	drainPollInterval = 50 * time.Millisecond
)

// drain keeps serving while callers switch to other instances, and returns when no request
// is in flight or the grace time is over.
func (g *gateway) drain() {
	ctx := context.Background()
	start := time.Now()
	grace := g.settings.Bounds.Grace
	g.log.Info().Int("in-flight", g.proxy.InFlight()).Dur("grace", grace).Msg("draining")
	g.syncer.SetPhase(ctx, member.Draining)
	exit := start.Add(grace - exitMargin)
	g.proxy.Drain(proxy.DrainSchedule{StrictAt: start.Add(min(minDrainTime, grace/2)), ExitAt: exit})
	g.awaitIdle(start.Add(minDrainTime), exit.Add(-refuseTime))
	g.refuseCallers(start, exit)
	g.cutRequests(exit)
	g.syncer.SetPhase(ctx, member.Stopped)
	time.Sleep(drainPollInterval)
	g.log.Info().Int("in-flight", g.proxy.InFlight()).Dur("took", time.Since(start)).Msg("stopped")
	shutdownCtx, cancel := context.WithDeadline(ctx, exit.Add(cutTime))
	defer cancel()
	if err := g.callerServer.Shutdown(shutdownCtx); err != nil {
		g.log.Warn().Err(err).Int("in-flight", g.proxy.InFlight()).Msg("connections of callers closed by the exit")
	}
	for _, s := range g.auxServers {
		_ = s.Close()
	}
	g.cancel()
	g.links.Close()
}

// cutRequests ends the requests that outlast the grace time: each gets the answer that is true
// then, or a cut one, and its line in the log.
func (g *gateway) cutRequests(exit time.Time) {
	g.awaitIdle(time.Now(), exit)
	if g.proxy.InFlight() == 0 {
		return
	}
	g.log.Warn().Int("in-flight", g.proxy.InFlight()).Int("close-ended", g.proxy.CloseEnded()).Msg("requests cut off at the end of the grace time")
	g.endRequests(&result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.Draining})
	g.awaitIdle(exit, exit.Add(cutTime))
}

// refuseCallers takes no more connections, so that callers find out at once, and refuses what
// still arrives on the open ones: a request that arrives between the last look and the exit
// would be cut off. It returns when all that was sent has its answer.
func (g *gateway) refuseCallers(start, exit time.Time) {
	g.proxy.Drain(proxy.DrainSchedule{StrictAt: start, ExitAt: start})
	if err := g.callers.stop(); err != nil {
		g.log.Info().Err(err).Msg("connections that come until the listener is closed may be reset")
	}
	earliest, latest := time.Now().Add(keptConnTime), time.Now().Add(refuseTime)
	g.awaitIdle(earliest, exit)
	for time.Now().Before(latest) && time.Now().Before(exit) && g.callerConns.unanswered() > 0 {
		time.Sleep(drainPollInterval)
	}
}

// awaitIdle waits until no request is in flight, at least until earliest and at most until
// latest.
func (g *gateway) awaitIdle(earliest, latest time.Time) {
	for {
		now := time.Now()
		if now.After(latest) || now.After(earliest) && g.proxy.InFlight() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

const (
	// openingTime is the time without a new connection after which a listener that stops is closed
	// if it refuses new ones: a connection may need it from its first packet to its last.
	openingTime = 100 * time.Millisecond
	// acceptQuiet is the same time for a listener that can't refuse. After acceptBusyTime it is
	// acceptShortQuiet for either, and after acceptStopTime the listener is closed in any case.
	acceptQuiet      = 5 * time.Millisecond
	acceptShortQuiet = 500 * time.Microsecond
	acceptBusyTime   = 200 * time.Millisecond
	acceptStopTime   = 700 * time.Millisecond
)

// stopListener is a listener that can be closed without resetting the connections that wait to
// be accepted.
type stopListener struct {
	*net.TCPListener
	// stoppedAt is when stop was called; nil before.
	stoppedAt atomic.Pointer[time.Time]
	// quiet is set after a wait for a connection in vain, and used by Accept only.
	quiet bool
	// refuses is set if the kernel refuses new connections since the stop.
	refuses atomic.Bool
}

// stop makes Accept return what waits, and then an error. The error is set if connections can
// still come until the listener is closed, of which the last ones may be reset.
func (l *stopListener) stop() error {
	err := l.refuseNew()
	if err == nil {
		l.refuses.Store(true)
	}
	now := time.Now()
	l.stoppedAt.Store(&now)
	_ = l.SetDeadline(now.Add(l.quietTime(0)))
	return errors.Annotate(err, "refuse new connections")
}

// noInterface is the number of a network interface that doesn't exist.
const noInterface = math.MaxInt32

// refuseNew binds the listener to an interface that doesn't exist, so that it gets no packets that
// open connections: the kernel refuses them as if the port were closed. Connections that are being
// opened still come. Otherwise some arrive between the last look and the close, and are reset. Source:
// socket(7), SO_BINDTODEVICE; SO_BINDTOIFINDEX takes a number, from Linux 5.7 on without privileges.
func (l *stopListener) refuseNew() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var bindErr error
	bind := func(fd uintptr) {
		bindErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	}
	if err := raw.Control(bind); err != nil {
		return err
	}
	return bindErr
}

// quietTime returns the time without a new connection after which the listener is closed; it has
// been stopping for the given time.
func (l *stopListener) quietTime(stopping time.Duration) time.Duration {
	switch {
	case stopping > acceptBusyTime:
		return acceptShortQuiet
	case l.refuses.Load():
		return openingTime
	default:
		return acceptQuiet
	}
}

// Accept returns the next connection. Once stopped and none came for quietTime twice, it closes the
// listener.
func (l *stopListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		stoppedAt := l.stoppedAt.Load()
		if stoppedAt == nil {
			return conn, err
		}
		stopping := time.Since(*stoppedAt)
		// A deadline that passed while this process had no processor says nothing: Accept then
		// returns without a look at the connections that wait.
		quietAgain := l.quiet
		l.quiet = errors.Is(err, os.ErrDeadlineExceeded) && !l.waits()
		if errors.Is(err, os.ErrDeadlineExceeded) && !l.quiet && stopping <= acceptStopTime {
			_ = l.SetDeadline(time.Now().Add(l.quietTime(stopping)))
			continue
		}
		if l.quiet && quietAgain || stopping > acceptStopTime {
			_ = l.Close()
			if err != nil {
				return nil, net.ErrClosed
			}
			return conn, nil
		}
		_ = l.SetDeadline(time.Now().Add(l.quietTime(stopping)))
		if !l.quiet {
			return conn, err
		}
	}
}

// waits reports whether a connection waits to be accepted.
func (l *stopListener) waits() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	look := func(fd uintptr) {
		waiting, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}
	return raw.Control(look) == nil && waiting > 0
}
