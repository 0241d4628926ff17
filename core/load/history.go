package load

import "time"

const (
	// historyBuckets and bucketDuration limit the time that the history covers: 16
	// buckets of 250 ms are 4 s.
	historyBuckets = 16
	bucketDuration = 250 * time.Millisecond
)

// history counts the requests of this instance in flight, and how that number changed
// over the last seconds.
type history struct {
	// inFlight is never negative.
	inFlight int
	// changes[i] is the net change during the bucket numbered stamps[i].
	changes [historyBuckets]int32
	stamps  [historyBuckets]int64
	// lastReset is the number of the bucket that reset cleared last.
	lastReset int64
}

func bucket(at time.Time) int64 {
	return at.UnixNano() / int64(bucketDuration)
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

// reset clears the changes of the current bucket, because a report that was measured
// now includes them. Later changes in the same bucket are counted again.
func (h *history) reset(now time.Time) {
	number := bucket(now)
	h.add(now, 0)
	h.changes[uint64(number)%historyBuckets] = 0
	h.lastReset = number
}

// since returns the net change after the time start, as far back as the history goes.
// The bucket of start itself counts only if it was reset at that time.
func (h *history) since(now, start time.Time) int {
	first := bucket(start) + 1
	if h.lastReset == first-1 {
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
