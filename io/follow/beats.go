package follow

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/mesh"
	"arbutustrestle/io/wire"
)

// sending is the beat that is being written to an address, and the one that waits.
type sending struct {
	next *mesh.Send
}

// sendTimeout bounds one beat, with the opening of a link.
const sendTimeout = 2 * time.Second

// send sends a beat in the background. While one is being written to an address, the
// newest one waits and older ones are dropped: each says all that the one before did.
func (l *Loop) send(ctx context.Context, s mesh.Send) {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if busy := l.sending[s.Address]; busy != nil {
		busy.next = &s
		return
	}
	l.sending[s.Address] = &sending{}
	l.work.Go(func() { l.sendAll(ctx, s) })
}

func (l *Loop) sendAll(ctx context.Context, s mesh.Send) {
	for next := &s; next != nil; next = l.nextSend(next) {
		l.sendOne(ctx, *next)
	}
}

func (l *Loop) nextSend(last *mesh.Send) *mesh.Send {
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

func (l *Loop) sendOne(ctx context.Context, s mesh.Send) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	notice := &wire.Notice{Kind: &wire.Notice_Beat{Beat: wire.BeatToWire(s.Records)}}
	err := l.parts.Links.Notify(ctx, s.Address, notice)
	if err == nil {
		return
	}
	l.parts.Metrics.Events.Add("beat-failed", 1)
	if s.To != "" && refused(err) {
		l.post(func(now time.Time) { l.mesh.Lost(now, s.To) })
	}
}

// refused reports whether nobody listens at an address. A cut and a full queue look
// otherwise.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(op, syscall.ECONNREFUSED)
}

// take takes in the records of a beat.
func (l *Loop) take(records []mesh.Record) {
	l.post(func(now time.Time) {
		if l.mesh.Take(now, records) {
			l.publish(now)
		}
	})
}
