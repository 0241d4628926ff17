package dedup

import "arbutustrestle/core/ident"

// spaceUsage accounts for the space that the records occupy.
type spaceUsage struct {
	total recordSpace
	// running is the number of calls that are running here. reservedBytes is the part
	// of the total's bytes that is reserved for their answers.
	running       int
	reservedBytes int
	// byWorkspace adds up to total. It has no element for a workspace without records.
	byWorkspace map[ident.Workspace]recordSpace
}

// recordSpace is a number of records and their size in bytes.
type recordSpace struct {
	records int
	bytes   int
}

// plus returns the sum.
func (s recordSpace) plus(other recordSpace) recordSpace {
	return recordSpace{records: s.records + other.records, bytes: s.bytes + other.bytes}
}

// minus returns the difference.
func (s recordSpace) minus(other recordSpace) recordSpace {
	return recordSpace{records: s.records - other.records, bytes: s.bytes - other.bytes}
}

// within reports whether neither number exceeds that of the bound.
func (s recordSpace) within(bound recordSpace) bool {
	return s.records <= bound.records && s.bytes <= bound.bytes
}

// add accounts for added records of a workspace, or for bytes added to its records.
func (s *spaceUsage) add(w ident.Workspace, size recordSpace) {
	if s.byWorkspace == nil {
		s.byWorkspace = map[ident.Workspace]recordSpace{}
	}
	s.total = s.total.plus(size)
	s.byWorkspace[w] = s.byWorkspace[w].plus(size)
}

// remove accounts for removed records or bytes of a workspace.
func (s *spaceUsage) remove(w ident.Workspace, size recordSpace) {
	s.total = s.total.minus(size)
	left := s.byWorkspace[w].minus(size)
	if left == (recordSpace{}) {
		delete(s.byWorkspace, w)
		return
	}
	s.byWorkspace[w] = left
}

// fits reports whether an addition stays within the limits divided by divisor.
func (s *spaceUsage) fits(size recordSpace, l Limits, divisor int) bool {
	bound := recordSpace{records: l.MaxRecords / divisor, bytes: l.MaxBytes / divisor}
	return s.total.plus(size).within(bound)
}

// withinFairShare reports whether a workspace occupies no more space than is free. A
// workspace that takes as much as it can gets half of the space, so that others still
// find room.
func (s *spaceUsage) withinFairShare(w ident.Workspace, l Limits) bool {
	bound := recordSpace{records: l.MaxRecords, bytes: l.MaxBytes}
	return s.byWorkspace[w].within(bound.minus(s.total))
}
