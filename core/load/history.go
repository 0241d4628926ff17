package load

import "time"

const (
	// historyBuckets and bucketLength bound how far back the changes are known:
	// 16 buckets of 250 ms are 4 s.
	historyBuckets = 16
	bucketLength   = 250 * time.Millisecond
)

// history counts an entry's own requests in flight, and how that number changed
// over the last seconds.
type history struct {
	// inFlight is never negative.
	inFlight int
	// changes[i] is the net change during the bucket numbered stamps[i].
	changes [historyBuckets]int32
	stamps  [historyBuckets]int64
}

func bucket(at time.Time) int64 {
	return at.UnixNano() / int64(bucketLength)
}

func (h *history) add(now time.Time, change int) {
	h.inFlight = max(0, h.inFlight+change)
	number := bucket(now)
	i := uint64(number) % historyBuckets
	if h.stamps[i] != number {
		h.stamps[i] = number
		h.changes[i] = 0
	}
	h.changes[i] += int32(change)
}

// since returns the net change after a moment, as far back as the history goes.
func (h *history) since(now, moment time.Time) int {
	oldest := max(bucket(moment), bucket(now)-historyBuckets)
	sum := 0
	for i, number := range h.stamps {
		if number > oldest {
			sum += int(h.changes[i])
		}
	}
	return sum
}
