package intake

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether bytes have arrived that weren't read yet.
func hasUnread(c net.Conn) bool {
	unread, ok := queuedBytes(c, unix.SIOCINQ)
	return ok && unread > 0
}

// queuedBytes returns the length of one of the kernel's queues of a connection.
func queuedBytes(c net.Conn, queue uint) (bytes int, ok bool) {
	system, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return 0, false
	}
	var lookErr error
	look := func(fd uintptr) { bytes, lookErr = unix.IoctlGetInt(int(fd), queue) }
	if err := raw.Control(look); err != nil || lookErr != nil {
		return 0, false
	}
	return bytes, true
}
