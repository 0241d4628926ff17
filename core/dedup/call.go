package dedup

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Fingerprint is a digest of a whole request. It has to withstand forgery: a
// workspace that could forge one would be given another workspace's answer.
type Fingerprint [sha256.Size]byte

// FingerprintOf digests the parts of a request that must be the same on each try
// under one key.
func FingerprintOf(workspace ident.Workspace, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{string(workspace), method, path} {
		// The length keeps ("ab", "c") and ("a", "bc") apart.
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
	// Workspace decides where the record may be kept and handed over to.
	Workspace   ident.Workspace
	Fingerprint Fingerprint
}

// HeaderField is one header field of an answer, such as "Content-Type".
type HeaderField struct {
	Name  string
	Value string
}

// KeepsHeader reports whether a header field of an answer is kept in its record.
// The other fields belong to one delivery, not to the answer.
func KeepsHeader(name string) bool {
	switch strings.ToLower(name) {
	case "content-type", "content-language", "content-location", "etag", "last-modified", "location":
		return true
	default:
		return false
	}
}

// Answer is how a call ended. It is immutable once it has been given to End, which
// keeps its slices: Body is to hold no pooled buffer.
type Answer struct {
	Outcome result.Outcome
	// Step, Reason and Peer say where it ended; they are set unless Outcome is Done.
	Step   result.Step
	Reason result.Reason
	Peer   string
	// Status is the upstream's HTTP status; Header and Body are its answer. They
	// are set when Outcome is Done.
	Status int
	Header []HeaderField
	Body   []byte
}

// size returns the number of bytes that the answer holds.
func (a *Answer) size() int {
	size := len(a.Body) + len(a.Peer)
	for _, f := range a.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// Failure returns the failure that the answer records, and nil when the outcome
// is Done.
func (a *Answer) Failure() *result.Failure {
	if a.Outcome == result.Done {
		return nil
	}
	return &result.Failure{Outcome: a.Outcome, Step: a.Step, Reason: a.Reason, Peer: a.Peer}
}

// Decision is what Begin tells its caller to do with one try: Run, Join, Replay
// or Refuse.
type Decision interface {
	decision()
}

// Run tells to run the call, and then to call End exactly once.
type Run struct{}

// Join tells that an earlier try still runs: wait for it and give its answer.
type Join struct{}

// Replay tells to give the recorded answer.
type Replay struct {
	// Answer is shared with the record: it must not be changed.
	Answer *Answer
}

// Refuse tells to end the try with a failure.
type Refuse struct {
	Failure *result.Failure
}

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}
func (Refuse) decision() {}

// DowngradeNotRun returns the failure to give for a try of a keyed call that was refused
// without asking the owner's records. An earlier try under the same key may have
// run, so only the records can tell that the key's call has not run.
func DowngradeNotRun(f *result.Failure) *result.Failure {
	if f.Outcome != result.NotRun {
		return f
	}
	unsure := *f
	unsure.Outcome = result.Unknown
	return &unsure
}

// NeedsNewKey reports whether a failure says that the key's call has not run and
// never will, so that only a try under a new key can succeed. After any other
// failure the same key is to be used again: a try that was lost on its way may
// still arrive.
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

// refuse returns a refusal that arose at the dedup step.
func refuse(outcome result.Outcome, reason result.Reason) Refuse {
	return Refuse{Failure: &result.Failure{Outcome: outcome, Step: result.StepDedup, Reason: reason}}
}
