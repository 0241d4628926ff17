package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"arbutustrestle/core/table"
)

// path identifies a key, or a section if the name is empty.
type path struct {
	section, name string
}

// String returns "section.name", or the only one of the two that is present.
func (p path) String() string {
	switch {
	case p.name == "":
		return p.section
	case p.section == ini.DefaultSection:
		return p.name
	}
	return p.section + "." + p.name
}

// key describes one key that a settings file may have.
type key struct {
	path path
	// defaultText is the value of a missing key; if empty, the key is required.
	defaultText string
	read        parseFunc
}

// reader reads one file according to a list of keys.
type reader struct {
	file string
	// values holds the last text of each key.
	values map[path]string
	// lines holds the first line of each section and key, counted from 1.
	lines map[path]int
	// invalid means that the file could not be parsed as a whole, so that values is
	// empty.
	invalid bool
	faults  table.Faults
}

// lineRemedy describes the lines that are allowed.
const lineRemedy = "write each line as [section] or key = value, or begin it with # as a comment"

// options turn off the features that make a file ambiguous: values over several lines,
// keys without a value, and colons as delimiters.
var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SkipUnrecognizableLines:  true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

func newReader(file string, data []byte) *reader {
	r := &reader{file: file, values: map[path]string{}, lines: map[path]int{}}
	r.index(string(data))
	parsed, err := ini.LoadSources(options, data)
	if err != nil {
		r.invalid = true
		r.add(path{}, "is not an INI file: "+strings.TrimSpace(err.Error()), lineRemedy)
		return r
	}
	for _, section := range parsed.Sections() {
		for _, k := range section.Keys() {
			r.values[path{section.Name(), k.Name()}] = k.Value()
		}
	}
	return r
}

// index finds the line of each section and key, which the library does not report, and
// reports duplicate keys and lines that are neither a section nor a key.
func (r *reader) index(text string) {
	section := ini.DefaultSection
	number := 0
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		number++
		line = strings.TrimSpace(line)
		left, _, isKey := strings.Cut(line, "=")
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, _, _ = strings.Cut(line[1:], "]")
			section = strings.TrimSpace(section)
			r.recordLine(path{section, ""}, number)
		case isKey:
			r.recordKeyLine(path{section, strings.TrimSpace(left)}, number)
		default:
			r.faults = append(r.faults, table.Fault{
				File: r.file, Line: number,
				Problem: fmt.Sprintf("%q is neither a section nor a key", line),
				Remedy:  lineRemedy,
			})
		}
	}
}

func (r *reader) recordLine(p path, line int) {
	if r.lines[p] == 0 {
		r.lines[p] = line
	}
}

func (r *reader) recordKeyLine(p path, line int) {
	if first := r.lines[p]; first != 0 {
		r.faults = append(r.faults, table.Fault{
			File: r.file, Line: line, Column: p.String(),
			Problem: fmt.Sprintf("stands in line %d already", first),
			Remedy:  "remove one of the two lines",
		})
	}
	r.recordLine(p, line)
}

// fault returns a fault at the line of a key, or of its section.
func (r *reader) fault(p path, problem, remedy string) table.Fault {
	line := r.lines[p]
	if line == 0 {
		line = r.lines[path{p.section, ""}]
	}
	return table.Fault{File: r.file, Line: line, Column: p.String(), Problem: problem, Remedy: remedy}
}

func (r *reader) add(p path, problem, remedy string) {
	r.faults = append(r.faults, r.fault(p, problem, remedy))
}

// readAll reads each key, and reports the keys of the file that are not in the list.
func (r *reader) readAll(keys []key) {
	if r.invalid {
		return
	}
	for _, k := range keys {
		text, ok := r.values[k.path]
		if !ok {
			text = k.defaultText
		}
		if !ok && text == "" {
			r.add(k.path, "is missing", fmt.Sprintf("add the line %s = ... to section [%s]", k.path.name, k.path.section))
			continue
		}
		if problem, remedy := k.read(text); problem != "" {
			r.add(k.path, problem, remedy)
		}
	}
	for p := range r.lines {
		r.checkKnown(p, keys)
	}
}

// checkKnown reports a section or a key that is not in the list.
func (r *reader) checkKnown(p path, keys []key) {
	var sections, names []string
	for _, k := range keys {
		if !slices.Contains(sections, k.path.section) {
			sections = append(sections, k.path.section)
		}
		if k.path.section == p.section {
			names = append(names, k.path.name)
		}
	}
	switch {
	case p.section == ini.DefaultSection:
		r.add(p, "stands before the first section", "move it into a section")
	case len(names) == 0 && p.name == "":
		r.add(p, "is not a section", "use one of "+strings.Join(sections, ", "))
	case len(names) > 0 && p.name != "" && !slices.Contains(names, p.name):
		r.add(p, "is not a key", "use one of "+strings.Join(names, ", "))
	}
}

// sorted returns the faults by line and key.
func (r *reader) sorted() table.Faults {
	slices.SortStableFunc(r.faults, func(a, b table.Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.faults
}
