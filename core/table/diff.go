package table

import (
	"slices"
)

// RowChange is a row that differs between two tables.
type RowChange struct {
	Sheet SheetName
	// Key holds the key cells of the row.
	Key []string
	// Before and After hold the cells of the row in column order. Before is nil for
	// an added row, After for a removed one.
	Before, After []string
}

// Diff returns the rows that differ between table a and table b, in the order of
// SheetNames and, within a sheet, sorted by key. Either table may be nil.
func Diff(a, b *Table) []RowChange {
	var changes []RowChange
	for i := range layouts {
		changes = append(changes, diffSheet(&layouts[i], a, b)...)
	}
	return changes
}

func diffSheet(l *layout, a, b *Table) []RowChange {
	before := rowsByKey(l, a)
	after := rowsByKey(l, b)
	var changes []RowChange
	for key, row := range before {
		if !slices.Equal(row, after[key]) {
			changes = append(changes, RowChange{Sheet: l.name, Key: row[:l.keys], Before: row, After: after[key]})
		}
	}
	for key, row := range after {
		if before[key] == nil {
			changes = append(changes, RowChange{Sheet: l.name, Key: row[:l.keys], After: row})
		}
	}
	slices.SortFunc(changes, func(x, y RowChange) int { return slices.Compare(x.Key, y.Key) })
	return changes
}

func rowsByKey(l *layout, t *Table) map[string][]string {
	rows := map[string][]string{}
	if t == nil {
		return rows
	}
	for _, record := range t.sheet(l.name).Rows {
		rows[l.key(record)] = record.Cells
	}
	return rows
}
