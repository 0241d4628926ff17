package syncer

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/quota"
	"arbutustrestle/io/wire"
)

const (
	// transferTimeout bounds the sending of a transfer, which is refused where it arrives late.
	transferTimeout = 500 * time.Millisecond
	// quotaPeerTime is how long a link to another region stays open after a transfer on it.
	quotaPeerTime = 10 * time.Second
)

// setQuotaMembers passes the membership to the ledger.
func (l *Loop) setQuotaMembers(now time.Time, v *gossip.View) {
	m := quotaMembers(v, l.opts.Zones)
	l.opts.Quota.SetMembers(now, m)
	if issuing := l.opts.Quota.Issuing(); issuing != l.issuing {
		l.issuing = issuing
		l.opts.Log.Info().Bool("issues", issuing).Int("instances", m.Issuing).Int("ready-in-region", len(m.Ready)).Msg("issue of quota tokens changed")
	}
}

// quotaMembers returns the membership for the ledger. Silent instances count as issuing as
// long as they are known, and so do instances of zones of which nothing is known.
func quotaMembers(v *gossip.View, zones map[ident.Zone]ident.Region) quota.Members {
	m := quota.Members{Self: v.Self.ID, Issuing: 1}
	byZone := map[ident.Zone]int{v.Self.Zone: 1}
	others := map[ident.Region][]ident.Instance{}
	if v.Self.Phase == member.Ready {
		m.Ready = append(m.Ready, v.Self.ID)
	}
	for i := range v.Members {
		o := &v.Members[i]
		byZone[o.Zone]++
		if o.Phase == member.Stopped {
			continue
		}
		m.Issuing++
		switch {
		case !o.Alive || o.Phase != member.Ready:
		case o.Region == v.Self.Region:
			m.Ready = append(m.Ready, o.ID)
		default:
			others[o.Region] = append(others[o.Region], o.ID)
		}
	}
	slices.Sort(m.Ready)
	m.Issuing += quota.Unseen(byZone, zones)
	for region, ready := range others {
		m.Others = append(m.Others, quota.RegionMembers{Region: region, Ready: ready})
	}
	slices.SortFunc(m.Others, func(a, b quota.RegionMembers) int { return cmp.Compare(a.Region, b.Region) })
	return m
}

// sendTransfers sends transfers in the background, in one message to each receiver.
func (l *Loop) sendTransfers(now time.Time, list []quota.Transfer) {
	if len(list) == 0 {
		return
	}
	byReceiver := map[ident.Instance][]quota.Transfer{}
	for _, t := range list {
		byReceiver[t.To] = append(byReceiver[t.To], t)
	}
	sent := l.opts.Quota.Sent(now)
	for _, m := range l.View().Membership.Members {
		transfers := byReceiver[m.ID]
		if len(transfers) == 0 {
			continue
		}
		if m.Region != l.opts.Self.Region {
			l.quotaPeers[m.PeerAddress] = now
		}
		notice := &wire.Notice{Kind: &wire.Notice_QuotaTransfer{QuotaTransfer: wire.QuotaTransferToWire(sent, transfers)}}
		l.work.Go(func() { l.sendTransfer(l.runCtx, m.Record, notice) })
	}
}

// sendTransfer sends one message. Tokens in one that isn't delivered are lost.
func (l *Loop) sendTransfer(ctx context.Context, to gossip.Record, n *wire.Notice) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	l.opts.Metrics.Events.Add("quota-transfers", 1)
	if err := l.opts.Links.Notify(ctx, to.PeerAddress, n); err != nil {
		l.opts.Metrics.Events.Add("quota-transfers-failed", 1)
		l.opts.Log.Debug().Err(err).Str("peer", string(to.ID)).Msg("quota tokens not transferred; they are lost")
	}
}

// keepQuotaPeers adds the addresses of recent transfers to other regions to those whose links
// stay open.
func (l *Loop) keepQuotaPeers(now time.Time, keep map[netip.AddrPort]struct{}) {
	for address, at := range l.quotaPeers {
		if now.Sub(at) > quotaPeerTime {
			delete(l.quotaPeers, address)
			continue
		}
		keep[address] = struct{}{}
	}
}

// receiveTransfers takes over the tokens that a peer has moved here, and sends the loans that it
// asks for.
func (l *Loop) receiveTransfers(from ident.Incarnation, m *wire.QuotaTransfer) {
	sent, transfers := wire.QuotaTransferFromWire(m)
	loans := l.opts.Quota.Receive(l.opts.Clock.Now(), from, sent, transfers)
	l.postTransfers(loans)
}

// postTransfers has the loop send transfers, if there are any.
func (l *Loop) postTransfers(list []quota.Transfer) {
	if len(list) > 0 {
		l.post(func(now time.Time) { l.sendTransfers(now, list) })
	}
}

func (l *Loop) answerDraw(d *wire.QuotaDraw) *wire.QuotaAnswer {
	workspace := ident.Workspace(d.GetWorkspace())
	answer := l.opts.Quota.Grant(l.opts.Clock.Now(), workspace, d.GetNeed(), d.GetExtra())
	if answer.Granted == 0 {
		l.AskLoans(workspace)
	}
	return wire.QuotaAnswerToWire(answer)
}

// AskLoans asks other regions for tokens of a workspace, if its pool here lacks some.
func (l *Loop) AskLoans(w ident.Workspace) {
	l.postTransfers(l.opts.Quota.Asks(l.opts.Clock.Now(), w))
}
