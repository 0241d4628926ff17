package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault describes one problem in a sheet, precisely enough for an operator to find
// the cell and fix it.
type Fault struct {
	// File is the file name of the sheet or page.
	File string
	// Line counts from 1, the header row; 0 if the fault is not in a single line.
	Line int
	// Column is the column's name; empty if the fault is not in a single column.
	Column  string
	Problem string
	Remedy  string
}

// Error returns the fault as one line, such as "zones.csv:3: region: is empty; name
// the region of the zone".
func (f Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", place, f.Line)
	}
	if f.Column != "" {
		place += ": " + f.Column
	}
	return fmt.Sprintf("%s: %s; %s", place, f.Problem, f.Remedy)
}

// Faults holds all faults that were found, sorted by file and line.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// asError returns nil for no faults. A plain conversion would return a non-nil
// error that holds a nil slice.
func (fs Faults) asError() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// sorted sorts the faults by file and line, keeping the order within a line.
func (fs Faults) sorted() Faults {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return fs
}
