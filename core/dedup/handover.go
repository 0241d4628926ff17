package dedup

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Limits of one chunk of a handover. A chunk exceeds chunkBytes by at most one
// record.
const (
	chunkRecords = 512
	chunkBytes   = 256 << 10
)

// maxChunks is the maximum number of chunks that a handover may announce.
const maxChunks = 1 << 16

// Chunk is a part of limited size of the records of a stopped incarnation.
type Chunk struct {
	// Owner is the incarnation whose keys the chunk contains.
	Owner ident.Incarnation
	// Exporter is the incarnation that exported the chunk: Owner or a successor of
	// Owner.
	Exporter ident.Incarnation
	// ExportNumber numbers the exports of Exporter.
	ExportNumber uint32
	// Index numbers the chunks of one Owner in one export, from 0 to Total-1.
	Index, Total int
	// Complete means that all chunks together contain every key that Owner has ever
	// begun, except for calls that ended NotRun and keys of epochs below OldestEpoch.
	Complete bool
	// OldestEpoch is the first epoch that is not dropped. CurrentEpoch is the last
	// epoch in which a key may have begun.
	OldestEpoch, CurrentEpoch uint32
	Records                   []ExportedRecord
}

// ExportedRecord is one record in a handover.
type ExportedRecord struct {
	Epoch       uint32
	Unique      string
	Workspace   ident.Workspace
	Fingerprint Fingerprint
	// Running means that the call was still running when it was exported.
	Running bool
	// Answer is nil for a running call and when the answer is not kept.
	Answer *Answer
}

// importDivisor divides the limits for imports: records are imported only as long as
// they leave half of the successor's space free for its own keys.
const importDivisor = 2

// importedRecords holds the records that a successor received of a stopped
// incarnation.
type importedRecords struct {
	index        index
	oldestEpoch  uint32
	currentEpoch uint32
	// complete never returns to false: the owner was sealed before its first export,
	// so no later export contains another key.
	complete bool
	// exporter and exportNumber identify the export whose chunks receivedChunks
	// records, by index.
	exporter       ident.Incarnation
	exportNumber   uint32
	receivedChunks map[int]struct{}
	// expires is on the clock of the importing instance.
	expires time.Time
}

// Export seals the records and returns them as chunks, together with the records
// that were handed over to this incarnation. It omits records of workspaces whose
// data may not be held at the successor. Calls that are still running are exported as
// running; a second export after their end adds their outcomes.
func (r *Records) Export(now time.Time, allowed func(ident.Workspace) bool) []Chunk {
	r.Advance(now)
	r.Seal()
	r.exportCount++
	head := Chunk{Owner: r.self, OldestEpoch: r.oldestEpoch, CurrentEpoch: r.currentEpoch, Complete: true}
	chunks := r.splitIntoChunks(head, r.own, allowed)
	for _, owner := range slices.SortedFunc(maps.Keys(r.imports), compareIncarnations) {
		i := r.imports[owner]
		head = Chunk{Owner: owner, OldestEpoch: i.oldestEpoch, CurrentEpoch: i.currentEpoch, Complete: i.complete}
		chunks = append(chunks, r.splitIntoChunks(head, i.index, allowed)...)
	}
	return chunks
}

// splitIntoChunks divides the records of an index into chunks that start as copies of
// head.
func (r *Records) splitIntoChunks(head Chunk, records index, allowed func(ident.Workspace) bool) []Chunk {
	head.Exporter = r.self
	head.ExportNumber = r.exportCount
	chunks := []Chunk{head}
	size := 0
	records.each(head.Owner, func(k Key, rec *callRecord) {
		if rec.refusal != nil {
			return
		}
		if !allowed(rec.workspace) {
			head.Complete = false
			return
		}
		last := &chunks[len(chunks)-1]
		if len(last.Records) == chunkRecords || size >= chunkBytes {
			chunks = append(chunks, head)
			last = &chunks[len(chunks)-1]
			size = 0
		}
		size += rec.size(k.Unique).bytes
		last.Records = append(last.Records, ExportedRecord{
			Epoch:       k.Epoch,
			Unique:      k.Unique,
			Workspace:   rec.workspace,
			Fingerprint: rec.fingerprint,
			Running:     rec.running,
			Answer:      rec.answer,
		})
	})
	for i := range chunks {
		chunks[i].Index = i
		chunks[i].Total = len(chunks)
		chunks[i].Complete = head.Complete
	}
	return chunks
}

// Import adds the records of one chunk. Chunks may arrive in any order and more than
// once. It returns a NotValid error for a chunk that no instance exports, and a
// QuotaLimitExceeded error when the space for imports is full; records added before
// the error are kept.
func (r *Records) Import(now time.Time, c Chunk) error {
	r.Advance(now)
	valid := c.Total > 0 && c.Total <= maxChunks && c.Index >= 0 && c.Index < c.Total
	if !valid || c.Owner == r.self || c.Owner.IsZero() {
		return errors.NotValidf("handover chunk %d of %d from %s", c.Index, c.Total, c.Owner)
	}
	i := r.imports[c.Owner]
	if i == nil {
		i = &importedRecords{index: index{}}
		r.imports[c.Owner] = i
	}
	i.expires = now.Add(r.limits.Retention)
	i.oldestEpoch = max(i.oldestEpoch, c.OldestEpoch)
	i.currentEpoch = max(i.currentEpoch, c.CurrentEpoch)
	for _, h := range c.Records {
		if err := r.importRecord(i, c.Owner, h); err != nil {
			return errors.Trace(err)
		}
	}
	i.markReceived(c)
	return nil
}

// importRecord adds one record to the imported ones. A record of an ended call
// replaces one of a running call, never the reverse.
func (r *Records) importRecord(i *importedRecords, owner ident.Incarnation, h ExportedRecord) error {
	if !validUnique(h.Unique) {
		return errors.NotValidf("unique part in a handover")
	}
	k := Key{Owner: owner, Epoch: h.Epoch, Unique: h.Unique}
	existing := i.index.find(k)
	if existing != nil {
		if existing.running && !h.Running {
			r.setOutcome(existing, h)
		}
		return nil
	}
	rec := &callRecord{workspace: h.Workspace, fingerprint: h.Fingerprint, running: h.Running}
	size := rec.size(h.Unique)
	if !r.space.fits(size, r.limits, importDivisor) {
		return errors.QuotaLimitExceededf("records of %s at its successor", owner)
	}
	i.index.put(k, rec)
	r.space.add(h.Workspace, size)
	r.setOutcome(rec, h)
	return nil
}

// setOutcome copies the outcome of an exported call into its record. It omits the
// answer when there is no room for it.
func (r *Records) setOutcome(rec *callRecord, h ExportedRecord) {
	rec.running = h.Running
	if h.Answer == nil || rec.answerForbidden {
		return
	}
	size := recordSpace{bytes: h.Answer.size()}
	if r.space.fits(size, r.limits, importDivisor) {
		rec.answer = h.Answer
		r.space.add(rec.workspace, size)
	}
}

// markReceived records that all records of a chunk were imported.
func (i *importedRecords) markReceived(c Chunk) {
	if i.complete {
		return
	}
	if i.exporter != c.Exporter || i.exportNumber != c.ExportNumber || i.receivedChunks == nil {
		i.exporter = c.Exporter
		i.exportNumber = c.ExportNumber
		i.receivedChunks = map[int]struct{}{}
	}
	i.receivedChunks[c.Index] = struct{}{}
	i.complete = c.Complete && len(i.receivedChunks) == c.Total
}

// ImportComplete reports whether every key of a stopped incarnation is held here, so
// that this instance may be announced as its successor.
func (r *Records) ImportComplete(owner ident.Incarnation) bool {
	i := r.imports[owner]
	return i != nil && i.complete
}

// beginImported decides a try whose key belongs to another incarnation. It never
// decides Run: two successors of one incarnation would both run the call.
func (r *Records) beginImported(c Call) Decision {
	i := r.imports[c.Key.Owner]
	if i == nil {
		return refuse(result.Unknown, result.OwnerGone)
	}
	if rec := i.index.find(c.Key); rec != nil {
		decision := rec.decideRepeat(c)
		if _, running := decision.(Join); running {
			return refuse(result.Unknown, result.OwnerGone)
		}
		return decision
	}
	switch {
	case c.Key.Epoch < i.oldestEpoch:
		return refuse(result.Unknown, result.KeyExpired)
	case !i.complete:
		return refuse(result.Unknown, result.OwnerGone)
	case c.Key.Epoch > i.currentEpoch:
		return refuse(result.NotRun, result.KeyMalformed)
	default:
		// The owner was sealed before its export, and no successor runs the call, so
		// this key never ran.
		return refuseNotRun(result.OwnerGone, retryAfterDrain)
	}
}
