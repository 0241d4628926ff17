package proxy

import (
	"sync"

	"arbutustrestle/core/memory"
)

const (
	// initialBodyBytes is the first buffer for a body whose length isn't known.
	initialBodyBytes = 4 << 10
	// segmentBytes is the size of the segments in which the rest of a larger body is read.
	segmentBytes = 64 << 10
	// bodyGrowth is the factor by which the first buffer grows up to the size of a segment.
	bodyGrowth = 4
)

// segments holds the segments of bodies that were read, or given up: buffers that grow by being copied
// would leave as much garbage as they hold.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// bodyBuffer holds a body while it arrives. The memory is taken as it does, since callers may announce a
// large body and send nothing. It must be freed.
type bodyBuffer struct {
	share *memory.Share
	// most is the largest size of the body.
	most int64
	// first is the beginning; it is full if there are segments, and so are all of them but the last.
	first []byte
	rest  []*[segmentBytes]byte
	// last is the number of bytes in the last segment.
	last int
}

func (b *bodyBuffer) size() int64 {
	size := int64(len(b.first))
	if n := len(b.rest); n > 0 {
		size += int64(n-1)*segmentBytes + int64(b.last)
	}
	return size
}

// space returns the space for the next bytes, which is empty once the body has its largest size. It
// reports false if there is no memory.
func (b *bodyBuffer) space() ([]byte, bool) {
	left := b.most - b.size()
	switch {
	case left == 0:
		return nil, true
	case len(b.first) < cap(b.first):
		return b.first[len(b.first):cap(b.first)], true
	case cap(b.first) < segmentBytes:
		return b.growFirst(min(max(bodyGrowth*int64(cap(b.first)), initialBodyBytes), segmentBytes, b.most))
	case len(b.rest) == 0 || b.last == segmentBytes:
		if !b.share.Grow(int64(cap(b.first)) + int64(len(b.rest)+1)*segmentBytes) {
			return nil, false
		}
		b.rest = append(b.rest, segments.Get().(*[segmentBytes]byte))
		b.last = 0
	}
	return b.rest[len(b.rest)-1][b.last:min(segmentBytes, int64(b.last)+left)], true
}

func (b *bodyBuffer) growFirst(capacity int64) ([]byte, bool) {
	if !b.share.Grow(capacity) {
		return nil, false
	}
	b.first = append(make([]byte, 0, capacity), b.first...)
	return b.first[len(b.first):capacity], true
}

// add counts bytes that were read into the space.
func (b *bodyBuffer) add(bytes int) {
	if len(b.rest) == 0 {
		b.first = b.first[:len(b.first)+bytes]
		return
	}
	b.last += bytes
}

// join returns the whole body.
func (b *bodyBuffer) join() []byte {
	if len(b.rest) == 0 {
		return b.first
	}
	data := append(make([]byte, 0, b.size()), b.first...)
	left := b.size() - int64(len(b.first))
	for _, s := range b.rest {
		part := min(left, segmentBytes)
		data = append(data, s[:part]...)
		left -= part
	}
	return data
}

// free gives the segments back.
func (b *bodyBuffer) free() {
	for _, s := range b.rest {
		segments.Put(s)
	}
	b.rest = nil
}
