package dedup

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Bounds of one chunk of a handover. A chunk exceeds chunkBytes by at most one
// record.
const (
	chunkRecords = 512
	chunkBytes   = 256 << 10
)

// maxChunks bounds the number of chunks that a handover may announce.
const maxChunks = 1 << 16

// Chunk is a bounded part of the records of a stopped incarnation.
type Chunk struct {
	// Owner is the incarnation whose keys the chunk holds.
	Owner ident.Incarnation
	// Exporter is the incarnation that exported it: From, or a successor of From.
	Exporter ident.Incarnation
	// ExportNumber numbers the exports of Via.
	ExportNumber uint32
	// Index counts the chunks of one From in one export; it is below Total.
	Index, Total int
	// Complete says that all chunks together hold every key that From ever began,
	// but for calls that ended NotRun and those of epochs below Oldest.
	Complete bool
	// OldestEpoch is the first epoch that is not dropped; CurrentEpoch is the last in which a
	// key may have begun.
	OldestEpoch, CurrentEpoch uint32
	Records                   []ExportedRecord
}

// ExportedRecord is one record in a handover.
type ExportedRecord struct {
	Epoch       uint32
	Unique      string
	Workspace   ident.Workspace
	Fingerprint Fingerprint
	// Running says that the call still ran when it was exported.
	Running bool
	// Answer is nil while running and when the answer is not kept.
	Answer *Answer
}

// importShare is the divisor of the limits above which nothing more is imported,
// so that a successor keeps room for its own keys.
const importShare = 2

// imported is what a successor holds of a stopped incarnation.
type imported struct {
	book    book
	oldest  uint32
	current uint32
	// complete never returns to false: the owner was sealed before its first export,
	// so that no later one holds another key.
	complete bool
	// via and export name the export of which received counts the chunks.
	via      ident.Incarnation
	export   uint32
	received map[int]struct{}
	// expires is on the clock of the importing instance.
	expires time.Time
}

// Export seals the records and returns them as chunks, together with those that
// were handed over to this incarnation. Records of workspaces that may not be
// held at the successor are left out. Calls that still run are exported as such;
// a second export after they have ended completes them.
func (r *Records) Export(now time.Time, allowed func(ident.Workspace) bool) []Chunk {
	r.Advance(now)
	r.Seal()
	r.exports++
	head := Chunk{Owner: r.self, OldestEpoch: r.oldest, CurrentEpoch: r.current, Complete: true}
	chunks := r.split(head, r.own, allowed)
	for _, owner := range slices.SortedFunc(maps.Keys(r.imports), compare) {
		i := r.imports[owner]
		head = Chunk{Owner: owner, OldestEpoch: i.oldest, CurrentEpoch: i.current, Complete: i.complete}
		chunks = append(chunks, r.split(head, i.book, allowed)...)
	}
	return chunks
}

// split cuts a book into chunks that start as copies of head.
func (r *Records) split(head Chunk, b book, allowed func(ident.Workspace) bool) []Chunk {
	head.Exporter = r.self
	head.ExportNumber = r.exports
	chunks := []Chunk{head}
	size := 0
	b.each(head.Owner, func(k Key, kept *record) {
		if !allowed(kept.workspace) {
			head.Complete = false
			return
		}
		last := &chunks[len(chunks)-1]
		if len(last.Records) == chunkRecords || size >= chunkBytes {
			chunks = append(chunks, head)
			last = &chunks[len(chunks)-1]
			size = 0
		}
		size += kept.size(k.Unique).bytes
		last.Records = append(last.Records, ExportedRecord{
			Epoch:       k.Epoch,
			Unique:      k.Unique,
			Workspace:   kept.workspace,
			Fingerprint: kept.fingerprint,
			Running:     kept.running,
			Answer:      kept.answer,
		})
	})
	for i := range chunks {
		chunks[i].Index = i
		chunks[i].Total = len(chunks)
		chunks[i].Complete = head.Complete
	}
	return chunks
}

// Import takes in one chunk, in any order and also twice. It returns a NotValid
// error for a chunk that no instance exports, and a QuotaLimitExceeded error when
// the records are full; what has been taken in then stays.
func (r *Records) Import(now time.Time, c Chunk) error {
	r.Advance(now)
	valid := c.Total > 0 && c.Total <= maxChunks && c.Index >= 0 && c.Index < c.Total
	if !valid || c.Owner == r.self || c.Owner.IsZero() {
		return errors.NotValidf("handover chunk %d of %d from %s", c.Index, c.Total, c.Owner)
	}
	i := r.imports[c.Owner]
	if i == nil {
		i = &imported{book: book{}}
		r.imports[c.Owner] = i
	}
	i.expires = now.Add(r.limits.Retention)
	i.oldest = max(i.oldest, c.OldestEpoch)
	i.current = max(i.current, c.CurrentEpoch)
	for _, h := range c.Records {
		if err := r.take(i, c.Owner, h); err != nil {
			return errors.Trace(err)
		}
	}
	i.receive(c)
	return nil
}

// take adds one record to an import. An ended record replaces a running one, and
// never the other way round.
func (r *Records) take(i *imported, owner ident.Incarnation, h ExportedRecord) error {
	if !validUnique(h.Unique) {
		return errors.NotValidf("unique part in a handover")
	}
	k := Key{Owner: owner, Epoch: h.Epoch, Unique: h.Unique}
	kept := i.book.find(k)
	if kept != nil {
		if kept.running && !h.Running {
			r.replace(kept, h)
		}
		return nil
	}
	fresh := &record{workspace: h.Workspace, fingerprint: h.Fingerprint, running: h.Running}
	size := fresh.size(h.Unique)
	if !r.space.fits(size, r.limits, importShare) {
		return errors.QuotaLimitExceededf("records of %s at its successor", owner)
	}
	i.book.put(k, fresh)
	r.space.add(h.Workspace, size)
	r.replace(fresh, h)
	return nil
}

// replace takes over how a handed call ended, without its answer when there is no
// room for that.
func (r *Records) replace(kept *record, h ExportedRecord) {
	kept.running = h.Running
	if h.Answer == nil || kept.stripped {
		return
	}
	size := held{bytes: h.Answer.size()}
	if r.space.fits(size, r.limits, importShare) {
		kept.answer = h.Answer
		r.space.add(kept.workspace, size)
	}
}

// receive notes that a chunk was taken in whole.
func (i *imported) receive(c Chunk) {
	if i.complete {
		return
	}
	if i.via != c.Exporter || i.export != c.ExportNumber || i.received == nil {
		i.via = c.Exporter
		i.export = c.ExportNumber
		i.received = map[int]struct{}{}
	}
	i.received[c.Index] = struct{}{}
	i.complete = c.Complete && len(i.received) == c.Total
}

// ImportComplete reports whether every key of a stopped incarnation is held here, so
// that it may be told to be a successor.
func (r *Records) ImportComplete(owner ident.Incarnation) bool {
	i := r.imports[owner]
	return i != nil && i.complete
}

// beginImported decides a try whose key belongs to another incarnation. It never
// runs the call: two successors of one incarnation would both run it.
func (r *Records) beginImported(c Call) Decision {
	i := r.imports[c.Key.Owner]
	if i == nil {
		return refuse(result.Unknown, result.OwnerGone)
	}
	if kept := i.book.find(c.Key); kept != nil {
		decision := kept.repeat(c)
		if _, running := decision.(Join); running {
			return refuse(result.Unknown, result.OwnerGone)
		}
		return decision
	}
	switch {
	case c.Key.Epoch < i.oldest:
		return refuse(result.Unknown, result.KeyExpired)
	case !i.complete:
		return refuse(result.Unknown, result.OwnerGone)
	case c.Key.Epoch > i.current:
		return refuse(result.NotRun, result.KeyMalformed)
	default:
		// The owner was sealed before it exported, and no successor runs the call.
		return refuseLater(result.OwnerGone, retryAfterDrain)
	}
}
