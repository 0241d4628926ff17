package daemon

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// acceptQuiet is the time without a new connection after which a listener that stops is
	// closed. After acceptBusyTime it is acceptShortQuiet, and after acceptStopTime the listener
	// is closed in any case.
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
}

// stop makes Accept return what waits, and then an error. The error is set if connections can
// still come until the listener is closed, of which the last ones may be reset.
func (l *stopListener) stop() error {
	err := l.ignoreNew()
	now := time.Now()
	l.stoppedAt.Store(&now)
	_ = l.SetDeadline(now.Add(acceptQuiet))
	return errors.Annotate(err, "ignore new connections")
}

// ignoreNew drops the packets that open connections: who sends them again finds the port
// closed. Otherwise connections arrive between the last look and the close, and are reset.
func (l *stopListener) ignoreNew() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	dropAll := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}}
	var attachErr error
	attach := func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &dropAll)
	}
	if err := raw.Control(attach); err != nil {
		return err
	}
	return attachErr
}

// Accept returns the next connection. Once stopped and none came for acceptQuiet, it closes the
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
			_ = l.SetDeadline(time.Now().Add(acceptQuiet))
			continue
		}
		if l.quiet && quietAgain || stopping > acceptStopTime {
			_ = l.Close()
			return conn, err
		}
		quiet := acceptQuiet
		if stopping > acceptBusyTime {
			quiet = acceptShortQuiet
		}
		_ = l.SetDeadline(time.Now().Add(quiet))
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
