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

// sendSlot exists for each address to which a heartbeat is being written. It holds the
// next heartbeat to that address, nil if there is none.
type sendSlot struct {
	next *gossip.Heartbeat
}

// heartbeatTimeout returns the time limit of a heartbeat to an address. While no
// connection is open, short and full limits alternate, so it records which one was
// used.
func (l *Loop) heartbeatTimeout(to netip.AddrPort) time.Duration {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.opts.Links.Connected(to) || l.shortDialed[to] {
		delete(l.shortDialed, to)
		return sendTimeout
	}
	l.shortDialed[to] = true
	return shortSendTimeout
}

const (
	// sendTimeout bounds the sending of one heartbeat, including the opening of a
	// connection.
	sendTimeout = 2 * time.Second
	// shortSendTimeout bounds every other heartbeat that has to open a connection:
	// three round trips of 110 ms between regions, doubled. If an address does not
	// respond when a connection attempt begins, the kernel retries only after a second,
	// which is long when all instances have just started and discover each other.
	shortSendTimeout = 600 * time.Millisecond
)

// send sends a heartbeat in the background. While one is being written to an address,
// only the newest further one is kept: each heartbeat supersedes the one before.
func (l *Loop) send(ctx context.Context, hb gossip.Heartbeat) {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if slot := l.sending[hb.Address]; slot != nil {
		slot.next = &hb
		return
	}
	l.sending[hb.Address] = &sendSlot{}
	l.work.Go(func() { l.sendPending(ctx, hb) })
}

func (l *Loop) sendPending(ctx context.Context, hb gossip.Heartbeat) {
	for next := &hb; next != nil; next = l.nextPending(next) {
		l.sendOne(ctx, *next)
	}
}

func (l *Loop) nextPending(last *gossip.Heartbeat) *gossip.Heartbeat {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	next := l.sending[last.Address].next
	if next == nil {
		delete(l.sending, last.Address)
		return nil
	}
	l.sending[last.Address] = &sendSlot{}
	return next
}

func (l *Loop) sendOne(ctx context.Context, hb gossip.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, l.heartbeatTimeout(hb.Address))
	defer cancel()
	notice := &wire.Notice{Kind: &wire.Notice_Beat{Beat: wire.GossipRecordsToWire(hb.Records)}}
	err := l.opts.Links.Notify(ctx, hb.Address, notice)
	if err == nil {
		return
	}
	l.opts.Metrics.Events.Add("beat-failed", 1)
	if hb.To != "" && isConnRefused(err) {
		l.post(func(now time.Time) { l.membership.MarkUnreachable(now, hb.To) })
	}
}

// isConnRefused reports whether no process listens at the address. A network partition
// and a full queue produce other errors.
func isConnRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(op, syscall.ECONNREFUSED)
}

// receiveHeartbeat merges the records of a heartbeat into the membership.
func (l *Loop) receiveHeartbeat(records []gossip.Record) {
	l.post(func(now time.Time) {
		if history := records[0].VersionHistory; history.Followed > 0 {
			l.opts.Pool.LearnVersions(now, history)
		}
		if l.membership.Receive(now, records) {
			l.publish(now)
		}
	})
}
