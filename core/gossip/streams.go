package gossip

import "arbutustrestle/core/ident"

// StreamKey is the hash of the id of the request that brought the first event of a stream.
type StreamKey uint64

// StreamOrigin is where a stream began. It may go on only at an upstream of the same service
// and version.
type StreamOrigin struct {
	Service ident.Service
	// Version is the version of the upstream's software; empty if the upstream publishes none.
	Version string
}

// BegunStreams are streams with one origin.
type BegunStreams struct {
	Origin StreamOrigin
	Keys   []StreamKey
}
