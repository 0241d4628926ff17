package gossip

import (
	"time"

	"arbutustrestle/core/ident"
)

// StreamKey is the hash of the id of the request that brought the first event of a stream.
type StreamKey uint64

// StreamOrigin is where a stream began. It may go on only at an upstream of the same service
// and version.
type StreamOrigin struct {
	Service ident.Service
	// Version is the version of the upstream's software; empty if the upstream publishes none.
	Version string
}

// unprovedVersion stands for a version that isn't proved. No upstream publishes it, so that an
// instance of an earlier build, which binds a stream to it, finds none where it goes on.
const unprovedVersion = "\x00unproved"

// UnprovedOrigin returns the origin of a stream that began at an upstream whose version isn't proved.
func UnprovedOrigin(service ident.Service) StreamOrigin {
	return StreamOrigin{Service: service, Version: unprovedVersion}
}

// IsProved reports whether the version is that of the upstream's software.
func (o StreamOrigin) IsProved() bool { return o.Version != unprovedVersion }

// BegunStreams are streams with one origin.
type BegunStreams struct {
	Origin StreamOrigin
	Keys   []StreamKey
}

// VersionHistory is what an instance has seen of the list of upstreams. One that has just
// started can't tell from the list alone at which versions streams began that callers take
// up: the upstreams may have left.
type VersionHistory struct {
	// Followed is how long the instance has seen all versions that were listed, here or by
	// the word of a peer; zero if it hasn't read the list.
	Followed time.Duration
	InUse    []VersionUse
}

// VersionUse is a version of the software of a service's upstreams that is listed or was so
// lately.
type VersionUse struct {
	Service ident.Service
	Version string
	// SinceListed is the time since the last upstream with the version left the list; zero
	// while one is listed.
	SinceListed time.Duration
}
