package dedup

import "arbutustrestle/core/ident"

// space accounts for what the records hold.
type space struct {
	total held
	// running counts the calls that run here; reserved is the part of the total's
	// bytes that is kept free for their answers.
	running  int
	reserved int
	// byWorkspace sums up to total. It has no entry for a workspace without records.
	byWorkspace map[ident.Workspace]held
}

// held is a number of records and the bytes that they take.
type held struct {
	records int
	bytes   int
}

// plus returns the sum.
func (h held) plus(other held) held {
	return held{records: h.records + other.records, bytes: h.bytes + other.bytes}
}

// minus returns the difference.
func (h held) minus(other held) held {
	return held{records: h.records - other.records, bytes: h.bytes - other.bytes}
}

// within reports whether neither number exceeds the other's.
func (h held) within(bound held) bool {
	return h.records <= bound.records && h.bytes <= bound.bytes
}

// add accounts for records of a workspace, or for bytes added to one.
func (s *space) add(w ident.Workspace, h held) {
	if s.byWorkspace == nil {
		s.byWorkspace = map[ident.Workspace]held{}
	}
	s.total = s.total.plus(h)
	s.byWorkspace[w] = s.byWorkspace[w].plus(h)
}

// remove undoes add.
func (s *space) remove(w ident.Workspace, h held) {
	s.total = s.total.minus(h)
	left := s.byWorkspace[w].minus(h)
	if left == (held{}) {
		delete(s.byWorkspace, w)
		return
	}
	s.byWorkspace[w] = left
}

// fits reports whether one more record fits into the bounds divided by share.
func (s *space) fits(h held, l Limits, share int) bool {
	bound := held{records: l.MaxRecords / share, bytes: l.MaxBytes / share}
	return s.total.plus(h).within(bound)
}

// mayGrow reports whether a workspace holds no more than is free. One that takes
// all that it can get ends with half of the space, and others find room still.
func (s *space) mayGrow(w ident.Workspace, l Limits) bool {
	bound := held{records: l.MaxRecords, bytes: l.MaxBytes}
	return s.byWorkspace[w].within(bound.minus(s.total))
}
