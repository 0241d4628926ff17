package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Fingerprint is a digest of a whole request. It must resist forgery: a workspace that
// could forge one would receive the answer of another workspace.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the digest of the parts of a request that must be identical in
// all tries with the same key.
func FingerprintOf(workspace ident.Workspace, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{string(workspace), method, path} {
		// The length distinguishes ("ab", "c") from ("a", "bc").
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// Call is one try of a keyed call.
type Call struct {
	Key Key
	// Workspace determines where the record may be kept and to which instances it may
	// be handed over.
	Workspace   ident.Workspace
	Fingerprint Fingerprint
}

// HeaderField is one header field of an answer, such as "Content-Type".
type HeaderField struct {
	Name  string
	Value string
}

// KeepsHeader reports whether a header field of an answer is kept in its record. The
// other fields describe one delivery of the answer.
func KeepsHeader(name string) bool {
	switch strings.ToLower(name) {
	case "content-type", "content-language", "content-location", "etag", "last-modified", "location":
		return true
	default:
		return false
	}
}

// Answer is the outcome of a call and its response. It must not be modified after it
// was passed to End, which keeps its slices; Body must not be a pooled buffer.
type Answer struct {
	Outcome result.Outcome
	// Step, Reason and Peer describe the failure; they are set unless Outcome is Done.
	Step   result.Step
	Reason result.Reason
	Peer   string
	// Status, Header and Body are the upstream's HTTP response. They are set when
	// Outcome is Done.
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the size of the answer's body, header and peer in bytes.
func (a *Answer) size() int {
	size := len(a.Body) + len(a.Peer)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// Failure returns the recorded failure, or nil if the outcome is Done.
func (a *Answer) Failure() *result.Failure {
	if a.Outcome == result.Done {
		return nil
	}
	return &result.Failure{Outcome: a.Outcome, Step: a.Step, Reason: a.Reason, Peer: a.Peer}
}

// Decision is the result of Begin for one try: Run, Join, Replay or Refuse.
type Decision interface {
	decision()
}

// Run means that the caller of Begin must run the call and then call End exactly once.
type Run struct{}

// Join means that an earlier try is still running. The try must wait for it and return
// its answer.
type Join struct{}

// Replay means that the try must return the recorded answer.
type Replay struct {
	// Answer is shared with the record and must not be modified.
	Answer *Answer
}

// Refuse means that the try must end with a failure.
type Refuse struct {
	Failure *result.Failure
}

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}
func (Refuse) decision() {}

// DowngradeNotRun returns the failure with the outcome NotRun replaced by Unknown. It
// is used for a try of a keyed call that was refused without consulting the owner's
// records: an earlier try with the same key may have run, and only the records can
// prove that it has not.
func DowngradeNotRun(f *result.Failure) *result.Failure {
	if f.Outcome != result.NotRun {
		return f
	}
	unknown := *f
	unknown.Outcome = result.Unknown
	return &unknown
}

// NeedsNewKey reports whether a failure means that the call of the key has not run and
// never will, so that only a try with a new key can succeed. After any other failure
// the caller must retry with the same key: a try that was lost on the network may still
// arrive.
func NeedsNewKey(f *result.Failure) bool {
	if f.Outcome != result.NotRun || f.Step != result.StepDedup {
		return false
	}
	switch f.Reason {
	case result.KeyExpired, result.Draining, result.OwnerGone:
		return true
	default:
		return false
	}
}

// refuse returns a refusal at the dedup step.
func refuse(outcome result.Outcome, reason result.Reason) Refuse {
	return Refuse{Failure: &result.Failure{Outcome: outcome, Step: result.StepDedup, Reason: reason}}
}
