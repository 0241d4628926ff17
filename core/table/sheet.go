package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// SheetName is the name of one of the sheets of a table.
type SheetName string

// The sheets. Each is stored in a file with its name and the extension ".csv".
const (
	ZonesSheet      SheetName = "zones"
	PolicySheet     SheetName = "policy"
	TrafficSheet    SheetName = "traffic"
	SharesSheet     SheetName = "shares"
	WorkspacesSheet SheetName = "workspaces"
	PoolsSheet      SheetName = "pools"
	CallsSheet      SheetName = "calls"
)

// fileEnding is the file name extension of a sheet.
const fileEnding = ".csv"

// layout defines the columns of one sheet.
type layout struct {
	name SheetName
	// columns is in canonical order; the first keys columns identify a row.
	columns []string
	keys    int
	// optional holds the columns that may be absent or empty.
	optional []string
}

var layouts = []layout{
	{ZonesSheet, []string{"zone", "region"}, 1, nil},
	{PolicySheet, []string{"setting", "value"}, 1, nil},
	{TrafficSheet, []string{"model", "class", "version", "weight"}, 3, nil},
	{SharesSheet, []string{"from", "to", "max-percent", "cost"}, 2, []string{"cost"}},
	{
		WorkspacesSheet,
		[]string{"workspace", "home", "places", "requests-per-second", "in-flight", "tokens-per-second"},
		1,
		[]string{"requests-per-second", "in-flight", "tokens-per-second"},
	},
	{PoolsSheet, []string{"pool", "kind", "serves", "slots", "checks-orders"}, 1, []string{"checks-orders"}},
	{CallsSheet, []string{"service", "method", "path", "repeatable", "timeout-s"}, 3, []string{"timeout-s"}},
}

// SheetNames returns the names of all sheets in their canonical order.
func SheetNames() []SheetName {
	names := make([]SheetName, len(layouts))
	for i, l := range layouts {
		names[i] = l.name
	}
	return names
}

// layoutOf returns the layout of a sheet, or nil if there is no such sheet.
func layoutOf(name SheetName) *layout {
	for i := range layouts {
		if layouts[i].name == name {
			return &layouts[i]
		}
	}
	return nil
}

// Record is one row of unparsed text.
type Record struct {
	// File and Line are the source position of the row.
	File string
	Line int
	// Cells holds one trimmed cell for each column, in canonical order.
	Cells []string
}

// Sheet holds the rows of one sheet, or of one page of it.
type Sheet struct {
	Name SheetName
	// File is the file name of the sheet.
	File string
	Rows []Record
	// Faults holds the faults that ParseSheet found. Check returns them too, so that
	// no table is built from a partly read sheet.
	Faults Faults
}

// Columns returns the names of the sheet's columns in their canonical order.
func (s Sheet) Columns() []string {
	l := layoutOf(s.Name)
	if l == nil {
		return nil
	}
	return slices.Clone(l.columns)
}

// ParseSheet parses a sheet in the format that spreadsheet programs save:
// comma-separated, with a header row whose columns may be in any order. The file's
// base name, such as "zones.csv", determines the sheet. It checks only the
// structure; Check validates the cells.
func ParseSheet(fileName string, data []byte) Sheet {
	name := SheetName(strings.TrimSuffix(path.Base(fileName), fileEnding))
	return parseNamed(name, fileName, data)
}

// parseNamed parses the named sheet from a file or a page.
func parseNamed(name SheetName, fileName string, data []byte) Sheet {
	p := parser{sheet: Sheet{Name: name, File: fileName}, layout: layoutOf(name)}
	if p.layout == nil {
		p.fault(0, "", fmt.Sprintf("%q is not a sheet of the table", name), "use one of "+listSheets())
		return p.sheet
	}
	p.read(data)
	return p.sheet
}

// listSheets lists the file names of all sheets, for use in a remedy.
func listSheets() string {
	names := make([]string, len(layouts))
	for i, l := range layouts {
		names[i] = string(l.name) + fileEnding
	}
	return strings.Join(names, ", ")
}

// parser holds the state of parsing one sheet.
type parser struct {
	sheet  Sheet
	layout *layout
	// position holds the index in the file of each canonical column, or -1.
	position []int
	// width is the number of columns in the header row.
	width int
}

func (p *parser) fault(line int, column, problem, remedy string) {
	p.sheet.Faults = append(p.sheet.Faults, Fault{File: p.sheet.File, Line: line, Column: column, Problem: problem, Remedy: remedy})
}

// byteOrderMark is written before the header by some spreadsheet programs.
var byteOrderMark = []byte("\xef\xbb\xbf")

func (p *parser) read(data []byte) {
	source := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, byteOrderMark)))
	source.FieldsPerRecord = -1
	header, err := source.Read()
	if err != nil {
		p.fault(1, "", "has no header row", "begin with the row "+strings.Join(p.layout.columns, ","))
		return
	}
	if !p.header(header) {
		return
	}
	for {
		cells, err := source.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.malformed(err)
			continue
		}
		line, _ := source.FieldPos(0)
		p.row(line, cells)
	}
}

// malformed reports a row that is not valid CSV.
func (p *parser) malformed(err error) {
	line := 0
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		line = parse.Line
		err = parse.Err
	}
	p.fault(line, "", "is not comma-separated text: "+err.Error(), `write a quote within a quoted cell as ""`)
}

// header locates each column and reports whether the rows can be read.
func (p *parser) header(cells []string) bool {
	p.width = len(cells)
	p.position = make([]int, len(p.layout.columns))
	for i := range p.position {
		p.position[i] = -1
	}
	if len(cells) == 1 && strings.Contains(cells[0], ";") {
		p.fault(1, "", "is separated by semicolons", "save it again with commas as the separator")
		return false
	}
	for i, cell := range cells {
		p.headerCell(i, strings.TrimSpace(cell))
	}
	for i, column := range p.layout.columns {
		if p.position[i] < 0 && !slices.Contains(p.layout.optional, column) {
			p.fault(1, column, "is missing", "add the column to the header row")
		}
	}
	return len(p.sheet.Faults) == 0
}

func (p *parser) headerCell(i int, column string) {
	at := slices.Index(p.layout.columns, column)
	switch {
	case at < 0:
		p.fault(1, column, "is not a column of this sheet", "remove it or use one of "+strings.Join(p.layout.columns, ", "))
	case p.position[at] >= 0:
		p.fault(1, column, "stands twice in the header row", "remove one of the two")
	default:
		p.position[at] = i
	}
}

// row adds one row. Rows of empty cells, which spreadsheet programs leave at the
// end, are skipped.
func (p *parser) row(line int, cells []string) {
	empty := true
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
		empty = empty && cells[i] == ""
	}
	if empty {
		return
	}
	if len(cells) != p.width {
		problem := fmt.Sprintf("has %d cells where the header has %d", len(cells), p.width)
		p.fault(line, "", problem, "give the row one cell for each column")
		return
	}
	record := Record{File: p.sheet.File, Line: line, Cells: make([]string, len(p.layout.columns))}
	for i, at := range p.position {
		if at >= 0 {
			record.Cells[i] = cells[at]
		}
	}
	p.sheet.Rows = append(p.sheet.Rows, record)
}
