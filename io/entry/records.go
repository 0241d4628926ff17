package entry

import (
	"sync"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// Records lets many goroutines use the idempotency records of this incarnation,
// and wait for calls that run.
type Records struct {
	clock clock.Clock

	mu      sync.Mutex
	records *dedup.Records
	notes   dedup.SuccessorNotes
	// running has each key that runs here.
	running map[dedup.Key]*runningCall
}

// runningCall is what the tries that join a running call wait for.
type runningCall struct {
	// ended is closed at the call's end, when answer is set.
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

// KeyPrefix returns what the keys start with that callers may mint now.
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

// Usage returns how full the records are.
func (r *Records) Usage() dedup.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Advance(r.clock.Now())
	return r.records.Usage()
}

// begin decides about one try. For Join it also returns the earlier try that runs.
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

// end records how a call ended that begin told to run.
func (r *Records) end(k dedup.Key, a dedup.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.End(r.clock.Now(), k, a)
	call := r.running[k]
	call.answer = a
	close(call.ended)
	delete(r.running, k)
}

// resolve finds where the records of a key are.
func (r *Records) resolve(self ident.Incarnation, v *member.View, k dedup.Key, asked bool) dedup.Destination {
	r.mu.Lock()
	defer r.mu.Unlock()
	resolver := dedup.Resolver{Self: self, LookupMember: membersOf(v), Notes: &r.notes}
	return resolver.Resolve(r.clock.Now(), k, asked)
}

// membersOf looks up incarnations in a membership view. The run of an instance in
// another region isn't known here, only that it is listed.
func membersOf(v *member.View) dedup.MemberLookup {
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

// AddSuccessorNote takes in a forwarding note.
func (r *Records) AddSuccessorNote(n dedup.SuccessorNote) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes.Add(r.clock.Now(), n)
}

// FindSuccessorNote returns the note on an incarnation that stopped.
func (r *Records) FindSuccessorNote(old ident.Incarnation) (dedup.SuccessorNote, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notes.Find(r.clock.Now(), old)
}

// SuccessorNotes returns the notes that are held, for the heartbeats.
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

// SetRetention sets how long a record is kept at least.
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

// Import takes in one chunk of a stopping instance; see dedup.Records.Import for
// the errors.
func (r *Records) Import(c dedup.Chunk) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.Import(r.clock.Now(), c)
}

// ImportComplete reports whether every key of a stopped incarnation is held here.
func (r *Records) ImportComplete(owner ident.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.ImportComplete(owner)
}

// DropDisallowedAnswers drops the answers of workspaces whose data may not be here any more.
func (r *Records) DropDisallowedAnswers(allowed func(ident.Workspace) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.DropDisallowedAnswers(allowed)
}
