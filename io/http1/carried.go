package http1

import (
	"bytes"
	"hash/maphash"
	"net/http"
	"slices"
)

const (
	// maxCarried bounds the requests on a connection. An answer to any of them may come late.
	maxCarried = 128
	// maxHeads bounds the requests with the method HEAD on a connection.
	maxHeads = 64
	// maxRefused bounds the refused requests that a connection is kept with.
	maxRefused = 64
)

// requestKey stands for the id of a request. Callers choose ids, which may be long.
type requestKey uint64

var keySeed = maphash.MakeSeed()

func keyOf(requestID string) requestKey {
	return requestKey(maphash.String(keySeed, requestID))
}

// startBytes is how much of an id is remembered, for a head that is cut inside it.
const startBytes = 8

// carriedRequest is what is remembered of a request.
type carriedRequest struct {
	key requestKey
	// start is the beginning of the id, which has idBytes.
	start   [startBytes]byte
	idBytes int
}

// carried holds the requests that a connection has carried. Its zero value holds none.
type carried struct {
	// all holds maxCarried requests at most.
	all []carriedRequest
	// heads holds those whose method is HEAD, maxHeads at most: a late answer to one has no body.
	heads []requestKey
	// refused holds those that the upstream has refused.
	refused []requestKey
}

// add records a request that is sent next. It returns false if the connection must not be used again, as it
// would remember too many.
func (c *carried) add(requestID, method string) bool {
	request := carriedRequest{key: keyOf(requestID), idBytes: len(requestID)}
	copy(request.start[:], requestID)
	c.all = append(c.all, request)
	if method == http.MethodHead {
		c.heads = append(c.heads, request.key)
	}
	return len(c.all) < maxCarried && len(c.heads) < maxHeads
}

func (c *carried) has(requestID string) bool {
	key := keyOf(requestID)
	return slices.ContainsFunc(c.all, func(r carriedRequest) bool { return r.key == key })
}

// mayHave reports whether a text may be the beginning of an id.
func (c *carried) mayHave(text string) bool {
	start := text[:min(len(text), startBytes)]
	return slices.ContainsFunc(c.all, func(r carriedRequest) bool {
		return len(text) <= r.idBytes && bytes.HasPrefix(r.start[:], []byte(start))
	})
}

// methodOf returns a method whose answers end like those of a request that was sent on the connection. An
// id that is unknown counts as one of a request whose answer may have a body.
func (c *carried) methodOf(requestID string) string {
	if slices.Contains(c.heads, keyOf(requestID)) {
		return http.MethodHead
	}
	return http.MethodGet
}

// addRefused records that the upstream refused a request. It returns false once there are
// more than the connection remembers.
func (c *carried) addRefused(requestID string) bool {
	c.refused = append(c.refused, keyOf(requestID))
	return len(c.refused) <= maxRefused
}

func (c *carried) hasRefused(requestID string) bool {
	return slices.Contains(c.refused, keyOf(requestID))
}
