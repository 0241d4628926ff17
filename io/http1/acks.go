package http1

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"arbutustrestle/core/clock"
)

const (
	// acksInterval is the time between two looks at what an upstream has acknowledged.
	acksInterval = time.Second
	// unansweredTime is how long a probe or a part of a request must be unanswered at least before its
	// upstream counts as vanished, however long ago the last acknowledgement is: probes of a closed
	// window may be further apart than userTimeout. It outlasts a machine that stands still for a
	// second or so.
	unansweredTime = 2 * time.Second
	// probeInterval is the longest time between two probes of a closed window, where the system can be
	// told (Linux 6.15 and later). It is the least value that the system takes.
	probeInterval = time.Second
	// tcpRTOMaxMS is TCP_RTO_MAX_MS of linux/tcp.h.
	tcpRTOMaxMS = 44
)

// errVanished is what reads and writes return on a connection whose upstream has vanished, as the
// system's user timeout has it.
var errVanished = &net.OpError{Op: "await acknowledgement", Net: "tcp", Err: syscall.ETIMEDOUT}

// ackState is what the looks at a connection tell of its upstream. Its zero value but for the time is
// that of an exchange that has just begun.
type ackState struct {
	// began is when the exchange began.
	began time.Time
	// unansweredSince is the first of the looks at which something was sent and unanswered, with no
	// acknowledgement since; zero if nothing is.
	unansweredSince time.Time
	// stuckSince is the first of the looks at which data was being sent again to an open window and
	// acked was the same; zero if none is.
	stuckSince time.Time
	// acked is the number of bytes that were acknowledged.
	acked uint64
}

// next returns the state after a look, and whether the upstream has vanished: it acknowledges nothing, or not
// the data that its window has room for. One that acknowledges the probes of its closed window lives.
func (s ackState) next(now time.Time, info *unix.TCPInfo) (ackState, bool) {
	silent := time.Duration(info.Last_ack_recv) * time.Millisecond
	if info.Unacked == 0 && info.Probes == 0 {
		s.unansweredSince = time.Time{}
	} else if s.unansweredSince.IsZero() || now.Add(-silent).After(s.unansweredSince) {
		s.unansweredSince = now
	}
	if info.Retransmits == 0 || info.Snd_wnd == 0 {
		s.stuckSince = time.Time{}
	} else if s.stuckSince.IsZero() || info.Bytes_acked != s.acked {
		s.stuckSince = now
	}
	s.acked = info.Bytes_acked
	silent = min(silent, now.Sub(s.began))
	unanswered := !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= unansweredTime
	stuck := !s.stuckSince.IsZero() && now.Sub(s.stuckSince) >= userTimeout
	return s, unanswered && silent >= userTimeout || stuck
}

// ackWatch ends a connection whose upstream vanishes while a request is being sent to it. The system's
// user timeout isn't used meanwhile: it ends a connection whose window was closed first for that long
// ago, although the upstream acknowledges each probe, and even if it has read a part since. A nil watch can be
// stopped.
type ackWatch struct {
	conn  *conn
	clock clock.Clock
	// raw is nil if the system can't be asked.
	raw syscall.RawConn
	// written is set once the whole request was handed to the system.
	written atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	state ackState
	// lifted is set while the user timeout is off. rtoMax is the system's longest time between two
	// probes in milliseconds, once it was replaced by probeInterval; zero before.
	lifted  bool
	rtoMax  int
	stopped bool
}

// watchAcks begins to watch a connection on which a request is sent next. It must be stopped.
func watchAcks(c *conn, now clock.Clock) *ackWatch {
	w := &ackWatch{conn: c, clock: now, state: ackState{began: now.Now()}}
	if system, ok := c.Conn.(syscall.Conn); ok {
		w.raw, _ = system.SyscallConn()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(acksInterval, w.look)
	return w
}

// lift turns the user timeout off.
func (w *ackWatch) lift() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.liftLocked()
}

func (w *ackWatch) liftLocked() {
	if !w.lifted && !w.stopped {
		w.lifted = w.setOption(unix.TCP_USER_TIMEOUT, 0)
	}
}

// look looks at the connection, and again after acksInterval unless all was acknowledged.
func (w *ackWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	written := w.written.Load()
	info := w.info()
	if w.stopped || info == nil || written && isAcknowledged(info) {
		return
	}
	w.liftLocked()
	w.boundProbes()
	state, vanished := w.state.next(w.clock.Now(), info)
	if vanished {
		w.conn.faults.record("write", errVanished)
		w.conn.vanished.Store(true)
		w.setBack()
		_ = w.conn.Close()
		return
	}
	w.state = state
	w.timer.Reset(acksInterval)
}

// boundProbes makes the system probe a closed window each probeInterval. Without that the time between
// two probes doubles, and so does the time after which a vanished upstream is noticed.
func (w *ackWatch) boundProbes() {
	if w.rtoMax > 0 {
		return
	}
	before := 0
	control := func(fd uintptr) { before, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, tcpRTOMaxMS) }
	if w.raw.Control(control) == nil && before > 0 && w.setOption(tcpRTOMaxMS, int(probeInterval.Milliseconds())) {
		w.rtoMax = before
	}
}

// stop ends the watch and sets the options back. It reports whether the upstream has acknowledged the whole
// request, if the user timeout was off. The connection may be closed then or before.
func (w *ackWatch) stop() (acknowledged bool) {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.stopped = true
	w.timer.Stop()
	if !w.lifted {
		return true
	}
	w.setBack()
	info := w.info()
	return info != nil && isAcknowledged(info)
}

// setBack sets the options back to those of a connection on which no request is sent. They also bound how long
// the system holds a closed connection whose data isn't acknowledged.
func (w *ackWatch) setBack() {
	w.setOption(unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	if w.rtoMax > 0 {
		w.setOption(tcpRTOMaxMS, w.rtoMax)
	}
}

// isAcknowledged reports whether nothing that was written is left to be acknowledged.
func isAcknowledged(info *unix.TCPInfo) bool {
	return info.Unacked == 0 && info.Notsent_bytes == 0
}

// info returns what the system knows of the connection; nil if it is closed or can't be asked.
func (w *ackWatch) info() *unix.TCPInfo {
	if w.raw == nil {
		return nil
	}
	var info *unix.TCPInfo
	var infoErr error
	control := func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }
	if err := w.raw.Control(control); err != nil || infoErr != nil {
		return nil
	}
	return info
}

func (w *ackWatch) setOption(name, value int) bool {
	if w.raw == nil {
		return false
	}
	var optionErr error
	err := w.raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, name, value) })
	return err == nil && optionErr == nil
}
