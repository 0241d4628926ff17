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
	// reported is the number of the bucket that reset last emptied.
	reported int64
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

// reset forgets the changes of the present bucket, which a report that is true now
// holds already. Those that follow in the same bucket then count.
func (h *history) reset(now time.Time) {
	number := bucket(now)
	h.add(now, 0)
	h.changes[uint64(number)%historyBuckets] = 0
	h.reported = number
}

// since returns the net change after a moment, as far back as the history goes. The
// bucket of the moment itself counts only if it was reset at that moment.
func (h *history) since(now, moment time.Time) int {
	first := bucket(moment) + 1
	if h.reported == first-1 {
		first--
	}
	first = max(first, bucket(now)-historyBuckets+1)
	sum := 0
	for i, number := range h.stamps {
		if number >= first {
			sum += int(h.changes[i])
		}
	}
	return sum
}
