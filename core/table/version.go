package table

import (
	"fmt"

	"arbutustrestle/core/ident"
)

// Version identifies a published table. Its zero value means that none is in force.
type Version struct {
	Revision ident.Revision
	// Digest is that of the manifest's bytes; empty only when Revision is 0.
	Digest Digest
}

// String gives the form "12/0123456789abcdef0123456789abcdef".
func (v Version) String() string {
	return fmt.Sprintf("%d/%s", v.Revision, v.Digest)
}

// Verdict says what to do with an offered version.
type Verdict uint8

// The verdicts. Only Take changes what is in force.
const (
	// Same means that the offer is what is in force.
	Same Verdict = iota
	// Newer means that the offer is newer.
	Newer
	// Older means that the offer is older, as from a stale platform or peer.
	Older
	// Conflict means that two manifests were published under one revision. The one
	// in force stays until a higher revision settles it.
	Conflict
	// BadBase means that the offer does not follow the revision that it claims to
	// start from.
	BadBase
)

var verdictNames = [...]string{"same", "take", "lower", "conflict", "bad-base"}

// String returns the kebab-case name of the verdict, as used in counters.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Compare decides whether an offered version may take the place of the one in
// force. The revision in force never falls by it.
func Compare(inForce, offered Version) Verdict {
	switch {
	case offered.Revision < inForce.Revision:
		return Older
	case offered.Revision > inForce.Revision:
		return Newer
	case offered.Digest == inForce.Digest:
		return Same
	default:
		return Conflict
	}
}

// Compare decides as the function of that name does, and refuses a manifest
// whose revision is not its base plus 1. Revisions in between need not have been
// seen: an instance that was cut off takes revision 9 after revision 5.
func (m Manifest) Compare(inForce Version) Verdict {
	if m.Revision == 0 || m.Base != m.Revision-1 {
		return BadBase
	}
	return Compare(inForce, m.Version())
}
