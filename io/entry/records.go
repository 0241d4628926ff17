package entry

import (
	"sync"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// Records holds the idempotency records of this incarnation. It is safe for concurrent use,
// and callers can wait for a running call.
type Records struct {
	clock clock.Clock

	mu      sync.Mutex
	records *dedup.Records
	notes   dedup.SuccessorNotes
	// running holds the keyed calls that run on this instance.
	running map[dedup.Key]*runningCall
}

// runningCall is the state that repeated tries of a running call wait for.
type runningCall struct {
	// ended is closed when the call ends, after answer is set.
	ended  chan struct{}
	answer dedup.Answer
}

// NewRecords returns the empty records of an incarnation that starts now.
func NewRecords(self ident.Incarnation, c clock.Clock, limits dedup.Limits) *Records {
	return &Records{
		clock:   c,
		records: dedup.NewRecords(self, c.Now(), limits),
		running: map[dedup.Key]*runningCall{},
	}
}

// KeyPrefix returns the prefix of idempotency keys that callers may create now.
func (r *Records) KeyPrefix() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.KeyPrefix(r.clock.Now())
}

// Epoch returns the current key epoch.
func (r *Records) Epoch() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.Epoch(r.clock.Now())
}

// Usage returns the current size of the records.
func (r *Records) Usage() dedup.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Advance(r.clock.Now())
	return r.records.Usage()
}

// begin returns the decision on one try. For Join it also returns the earlier try that
// runs.
func (r *Records) begin(c dedup.Call) (dedup.Decision, *runningCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	decision := r.records.Begin(r.clock.Now(), c)
	switch decision.(type) {
	case dedup.Run:
		r.running[c.Key] = &runningCall{ended: make(chan struct{})}
	case dedup.Join:
		return decision, r.running[c.Key]
	}
	return decision, nil
}

// end records the result of a call for which begin returned Run.
func (r *Records) end(k dedup.Key, a dedup.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.End(r.clock.Now(), k, a)
	call := r.running[k]
	call.answer = a
	close(call.ended)
	delete(r.running, k)
}

// resolve returns the place of the records of a key.
func (r *Records) resolve(self ident.Incarnation, v *member.View, k dedup.Key, asked bool) dedup.Destination {
	r.mu.Lock()
	defer r.mu.Unlock()
	resolver := dedup.Resolver{Self: self, LookupMember: memberLookup(v), Notes: &r.notes}
	return resolver.Resolve(r.clock.Now(), k, asked)
}

// memberLookup returns a lookup of incarnations in a membership view. For an instance of
// another region the incarnation is unknown here, only that the instance is listed.
func memberLookup(v *member.View) dedup.MemberLookup {
	return func(id ident.Instance) (ident.Incarnation, bool) {
		if m, found := v.Member(id); found {
			if m.Start == 0 {
				return ident.Incarnation{}, true
			}
			return m.Incarnation(), true
		}
		_, found := v.Entry(id)
		return ident.Incarnation{}, found
	}
}

// AddSuccessorNote adds a note on the successor of a stopped incarnation.
func (r *Records) AddSuccessorNote(n dedup.SuccessorNote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes.Add(r.clock.Now(), n)
}

// FindSuccessorNote returns the note on the successor of a stopped incarnation.
func (r *Records) FindSuccessorNote(old ident.Incarnation) (dedup.SuccessorNote, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notes.Find(r.clock.Now(), old)
}

// SuccessorNotes returns all notes that are held, to be sent in heartbeats.
func (r *Records) SuccessorNotes() []dedup.SuccessorNote {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notes.All(r.clock.Now())
}

// Seal makes the records refuse new keys from now on.
func (r *Records) Seal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Seal()
}

// SetRetention sets the minimum time for which a record is kept.
func (r *Records) SetRetention(retention time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.SetRetention(r.clock.Now(), retention)
}

// Export seals the records and returns them in chunks for a successor.
func (r *Records) Export(allowed func(ident.Workspace) bool) []dedup.Chunk {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.Export(r.clock.Now(), allowed)
}

// Import adds one chunk of the records of a stopping instance. See dedup.Records.Import for
// the errors.
func (r *Records) Import(c dedup.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.Import(r.clock.Now(), c)
}

// ImportComplete reports whether all records of a stopped incarnation are held here.
func (r *Records) ImportComplete(owner ident.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.ImportComplete(owner)
}

// DropDisallowedAnswers deletes the recorded responses of workspaces whose data is no
// longer allowed on this instance.
func (r *Records) DropDisallowedAnswers(allowed func(ident.Workspace) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.DropDisallowedAnswers(allowed)
}
