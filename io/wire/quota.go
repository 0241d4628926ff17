package wire

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/quota"
)

// QuotaTransferToWire converts the transfers to one receiver, which leave at the time sent.
func QuotaTransferToWire(sent time.Duration, list []quota.Transfer) *QuotaTransfer {
	m := &QuotaTransfer{SentMs: uint64(max(0, sent.Milliseconds()))}
	for _, t := range list {
		m.Moves = append(m.Moves, &QuotaMove{
			Workspace: string(t.Workspace),
			Amount:    float32(t.Amount),
			Asked:     float32(t.Asked),
			Capacity:  float32(t.Capacity),
		})
	}
	return m
}

// QuotaTransferFromWire converts the transfers of a message. The ledger ignores amounts that
// aren't valid.
func QuotaTransferFromWire(m *QuotaTransfer) (sent time.Duration, list []quota.Transfer) {
	for _, t := range m.GetMoves() {
		list = append(list, quota.Transfer{
			Workspace: ident.Workspace(t.GetWorkspace()),
			Amount:    float64(t.GetAmount()),
			Asked:     float64(t.GetAsked()),
			Capacity:  float64(t.GetCapacity()),
		})
	}
	return time.Duration(min(m.GetSentMs(), maxSentMillis)) * time.Millisecond, list
}

// maxSentMillis keeps a time from overflowing.
const maxSentMillis = 1 << 40

// QuotaAnswerToWire converts the answer to a draw.
func QuotaAnswerToWire(a quota.Answer) *QuotaAnswer {
	return &QuotaAnswer{Granted: a.Granted, RetryAfterMs: milliseconds(a.RetryAfter), Loans: a.Loans}
}

// QuotaAnswerFromWire converts the answer to a draw. The ledger ignores an amount that isn't
// valid.
func QuotaAnswerFromWire(m *QuotaAnswer) quota.Answer {
	return quota.Answer{
		Granted:    m.GetGranted(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Loans:      m.GetLoans(),
	}
}
