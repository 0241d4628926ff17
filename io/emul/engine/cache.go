package engine

import (
	"container/list"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"slices"
	"strconv"
	"time"

	"arbutustrestle/io/emul"
)

// maxEvents bounds the cache events that are kept; older ones are a gap.
const maxEvents = 8192

// event is a change of the prefix cache.
type event struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
	// at is when it happened; it is published EventLag later.
	at time.Time
}

// cache is the prefix cache: blocks in the order of their last use.
type cache struct {
	capacity int
	lag      time.Duration
	gap      int
	// blocks holds an element of order for each cached hash.
	blocks map[uint64]*list.Element
	// order has the hash used last at the front; of one prompt, the first block.
	order *list.List
	// events are in the order of their numbers, with gaps.
	events []event
	last   uint64
}

func newCache(s Settings) cache {
	return cache{
		capacity: s.CacheBlocks,
		lag:      s.EventLag,
		gap:      s.DropEveryNthEvent,
		blocks:   map[uint64]*list.Element{},
		order:    list.New(),
	}
}

// use returns the number of leading blocks that are cached, and stores the rest
// as far as the capacity goes.
func (c *cache) use(prefixes []uint64, now time.Time) int {
	prefixes = prefixes[:min(len(prefixes), c.capacity)]
	cached := 0
	for cached < len(prefixes) && c.blocks[prefixes[cached]] != nil {
		c.order.MoveToFront(c.blocks[prefixes[cached]])
		cached++
	}
	for _, hash := range prefixes[cached:] {
		c.store(hash, now)
	}
	// A block is of no use without those before it: the last one goes first.
	for _, hash := range slices.Backward(prefixes) {
		c.order.MoveToFront(c.blocks[hash])
	}
	return cached
}

// store adds a block, in place of the one unused for longest when it is full.
func (c *cache) store(hash uint64, now time.Time) {
	if element := c.blocks[hash]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
		c.record("evicted", oldest.Value.(uint64), now)
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.record("stored", hash, now)
}

// record numbers an event and keeps it, but for those left out as gaps.
func (c *cache) record(kind string, hash uint64, now time.Time) {
	c.last++
	if c.gap > 0 && c.last%uint64(c.gap) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	prefix := hex.EncodeToString(binary.BigEndian.AppendUint64(nil, hash))
	c.events = append(c.events, event{Sequence: c.last, Kind: kind, Prefix: prefix, at: now})
}

// maxEventsPerAnswer bounds one answer to /v1/cache-events.
const maxEventsPerAnswer = 1024

// published returns the events numbered above after that are old enough.
func (c *cache) published(after uint64, now time.Time) []event {
	list := []event{}
	for _, e := range c.events {
		late := now.Sub(e.at) >= c.lag
		if e.Sequence > after && late && len(list) < maxEventsPerAnswer {
			list = append(list, e)
		}
	}
	return list
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.published(after, e.settings.Clock.Now())
	e.mu.Unlock()
	next := after
	if len(events) > 0 {
		next = events[len(events)-1].Sequence
	}
	emul.WriteJSON(w, http.StatusOK, struct {
		Next   uint64  `json:"next"`
		Events []event `json:"events"`
	}{next, events})
}
