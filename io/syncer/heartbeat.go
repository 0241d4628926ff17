package syncer

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/gossip"
	"arbutustrestle/io/wire"
)

// sending is the beat that is being written to an address, and the one that waits.
type sending struct {
	next *gossip.Heartbeat
}

// patience returns how long a beat to an address may take, and remembers it for the next.
func (l *Loop) patience(to netip.AddrPort) time.Duration {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.parts.Links.Connected(to) || l.quick[to] {
		delete(l.quick, to)
		return sendTimeout
	}
	l.quick[to] = true
	return quickTimeout
}

const (
	// sendTimeout bounds one beat, with the opening of a link.
	sendTimeout = 2 * time.Second
	// quickTimeout bounds every other beat that has to open a link: three round trips
	// between regions, of 110 ms, and as much again. An address that was dark when a
	// connection to it began is tried again by the kernel after a second only, which is
	// long when all entries have just started and look for each other.
	quickTimeout = 600 * time.Millisecond
)

// send sends a beat in the background. While one is being written to an address, the
// newest one waits and older ones are dropped: each says all that the one before did.
func (l *Loop) send(ctx context.Context, s gossip.Heartbeat) {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if busy := l.sending[s.Address]; busy != nil {
		busy.next = &s
		return
	}
	l.sending[s.Address] = &sending{}
	l.work.Go(func() { l.sendAll(ctx, s) })
}

func (l *Loop) sendAll(ctx context.Context, s gossip.Heartbeat) {
	for next := &s; next != nil; next = l.nextSend(next) {
		l.sendOne(ctx, *next)
	}
}

func (l *Loop) nextSend(last *gossip.Heartbeat) *gossip.Heartbeat {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	next := l.sending[last.Address].next
	if next == nil {
		delete(l.sending, last.Address)
		return nil
	}
	l.sending[last.Address] = &sending{}
	return next
}

func (l *Loop) sendOne(ctx context.Context, s gossip.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, l.patience(s.Address))
	defer cancel()
	notice := &wire.Notice{Kind: &wire.Notice_Beat{Beat: wire.BeatToWire(s.Records)}}
	err := l.parts.Links.Notify(ctx, s.Address, notice)
	if err == nil {
		return
	}
	l.parts.Metrics.Events.Add("beat-failed", 1)
	if s.To != "" && refused(err) {
		l.post(func(now time.Time) { l.mesh.MarkUnreachable(now, s.To) })
	}
}

// refused reports whether nobody listens at an address. A cut and a full queue look
// otherwise.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(op, syscall.ECONNREFUSED)
}

// take takes in the records of a beat.
func (l *Loop) take(records []gossip.Record) {
	l.post(func(now time.Time) {
		if l.mesh.Receive(now, records) {
			l.publish(now)
		}
	})
}
