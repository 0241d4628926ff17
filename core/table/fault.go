package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a sheet, told so that an operator can
// find the cell and mend it.
type Fault struct {
	// File is the name under which the sheet or page was read.
	File string
	// Line counts from 1, the header row; 0 when the fault is in no single line.
	Line int
	// Column is a column's name; empty when the fault is in no single column.
	Column  string
	Problem string
	Remedy  string
}

// Error gives the fault in one line: "zones.csv:3: region: is empty; name the
// region of the zone".
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

// Faults is every fault that was found, in the order of files and lines.
type Faults []Fault

// Error gives one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// err avoids the trap of a typed nil in an error.
func (fs Faults) err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// sorted returns the faults by file, line and column.
func (fs Faults) sorted() Faults {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return fs
}
