package table

import (
	"fmt"

	"arbutustrestle/core/ident"
)

// Version identifies a published table. Its zero value means that no table is
// active.
type Version struct {
	Revision ident.Revision
	// Digest is the digest of the encoded manifest; empty only if Revision is 0.
	Digest Digest
}

// String returns the revision and digest, such as
// "12/0123456789abcdef0123456789abcdef".
func (v Version) String() string {
	return fmt.Sprintf("%d/%s", v.Revision, v.Digest)
}

// Verdict is the result of comparing an offered version with the active one.
type Verdict uint8

// The verdicts. Only a Newer version is activated.
const (
	// Same means that the offered version is the active one.
	Same Verdict = iota
	// Newer means that the offered version has a higher revision.
	Newer
	// Older means that the offered version has a lower revision, as from a stale
	// platform or peer.
	Older
	// Conflict means that two manifests were published with the same revision. The
	// active one stays until a higher revision resolves the conflict.
	Conflict
	// BadBase means that the revision of the offered manifest is not its base plus 1.
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

// Compare decides whether an offered version may replace the active one. The
// active revision never decreases.
func Compare(active, offered Version) Verdict {
	switch {
	case offered.Revision < active.Revision:
		return Older
	case offered.Revision > active.Revision:
		return Newer
	case offered.Digest == active.Digest:
		return Same
	default:
		return Conflict
	}
}

// Compare compares the manifest's version like the function Compare and rejects a
// manifest whose revision is not its base plus 1. Revisions may be skipped: an
// instance that was disconnected accepts revision 9 after revision 5.
func (m Manifest) Compare(active Version) Verdict {
	if m.Revision == 0 || m.Base != m.Revision-1 {
		return BadBase
	}
	return Compare(active, m.Version())
}
