package table_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// parse returns the example sheets with the replacements in text. Each replacement
// is a line with the file name followed by the lines of the file; a file without
// lines is left out.
func parse(text string) []table.Sheet {
	files := map[string]string{}
	for name, example := range exampleSheets {
		files[name] = example
	}
	name := ""
	for line := range strings.Lines(strings.TrimPrefix(text, "\n")) {
		if strings.HasSuffix(line, ".csv\n") {
			name = strings.TrimSpace(line)
			files[name] = ""
			continue
		}
		files[name] += line
	}
	var sheets []table.Sheet
	for name, contents := range files {
		if contents != "" {
			sheets = append(sheets, table.ParseSheet(name, []byte(contents)))
		}
	}
	return sheets
}

// TestCheck checks the text of each fault and the results of lookups.
func TestCheck(t *testing.T) {
	var built *table.Table
	datadriven.RunTest(t, "testdata/check", func(_ *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "lookup" {
			return lookup(built, strings.Split(d.Input, "\n"))
		}
		found, faults := table.Check(parse(d.Input + "\n"))
		if len(faults) > 0 {
			return faults.Error() + "\n"
		}
		built = found
		return "ok\n"
	})
}

// lookup returns the results for lines such as "call app GET /bookings" and
// "versions planner plan".
func lookup(t *table.Table, lines []string) string {
	var out strings.Builder
	for _, line := range lines {
		words := strings.Fields(line)
		if words[0] == "versions" {
			class, _ := table.ParseClass(words[2])
			fmt.Fprintln(&out, t.Versions(ident.Model(words[1]), class))
			continue
		}
		row, ok := t.Call(ident.Service(words[1]), words[2], words[3])
		if !ok {
			row = &table.CallRow{}
		}
		fmt.Fprintf(&out, "%t %s %s %t\n", ok, row.Method, row.Path, row.Repeatable)
	}
	return out.String()
}

func publish(base ident.Revision, note string, sheets []table.Sheet) (table.Manifest, map[table.Digest][]byte) {
	split := table.Split(sheets, 256)
	pages := map[table.Digest][]byte{}
	for _, page := range split {
		pages[page.Ref.Digest] = page.Data
	}
	return table.NewManifest(base, "ann", note, split), pages
}

func TestBuild(t *testing.T) {
	manifest, pages := publish(4, `a "note", in quotes`, targetSheets(200))
	parsed, err := table.ParseManifest(manifest.Encode())
	if err != nil || !slices.Equal(parsed.Pages, manifest.Pages) || parsed.Version() != manifest.Version() {
		t.Fatalf("got %v, %v", parsed, err)
	}
	built, err := table.Build(parsed, pages)
	if err != nil || built.Version() != manifest.Version() || len(built.Workspaces()) != 200 {
		t.Fatalf("got %v", err)
	}
	whole, _ := table.Check(targetSheets(200))
	if changes := table.Diff(whole, built); len(changes) > 0 {
		t.Errorf("publishing changed %v", changes)
	}

	digest := manifest.Pages[len(manifest.Pages)-1].Digest
	page := pages[digest]
	pages[digest] = bytes.Replace(page, []byte("GET"), []byte("PUT"), 1)
	if _, err := table.Build(manifest, pages); !errors.Is(err, errors.NotValid) {
		t.Errorf("page that does not match its digest: got %v", err)
	}
	delete(pages, digest)
	if _, err := table.Build(manifest, pages); !errors.Is(err, errors.NotFound) {
		t.Errorf("absent page: got %v", err)
	}
	pages[digest] = page
	published := manifest.Encode()
	for cut := range bytes.Count(published, []byte("\n")) {
		lines := bytes.SplitAfter(published, []byte("\n"))
		if _, err := table.ParseManifest(bytes.Join(lines[:cut], nil)); err == nil {
			t.Errorf("manifest truncated after line %d was accepted", cut)
		}
	}
	if _, err := table.ParseManifest(bytes.ReplaceAll(published, []byte("\n"), []byte("\r\n"))); err == nil {
		t.Error("manifest with CRLF line endings, and thus another digest, was accepted")
	}
	manifest.Pages = slices.DeleteFunc(manifest.Pages, func(p table.PageRef) bool { return p.Sheet == table.CallsSheet })
	var faults table.Faults
	if _, err := table.Build(manifest, pages); !errors.As(err, &faults) {
		t.Errorf("manifest without the calls sheet: got %v", err)
	}
}

// TestSplitIsStable checks that changing, adding or removing one row produces at
// most two new pages.
func TestSplitIsStable(t *testing.T) {
	before := table.Split(targetSheets(1300), table.PageBytes)
	for _, page := range before {
		if len(page.Data) > table.PageBytes+128 {
			t.Errorf("a page of %s has %d bytes", page.Ref.Sheet, len(page.Data))
		}
	}
	const workspaces = 4
	for i := range 40 {
		changed, added, removed := targetSheets(1300), targetSheets(1301), targetSheets(1300)
		changed[workspaces].Rows[i*32].Cells[4] = "41"
		removed[workspaces].Rows = slices.Delete(removed[workspaces].Rows, i*32, i*32+1)
		added[workspaces].Rows[1300].Cells[0] = fmt.Sprintf("new-%d", i)
		for _, sheets := range [][]table.Sheet{changed, added, removed} {
			newPages := 0
			for _, page := range table.Split(sheets, table.PageBytes) {
				if !slices.ContainsFunc(before, func(p table.Page) bool { return p.Ref == page.Ref }) {
					newPages++
				}
			}
			// A page that grows too large is split; one that shrinks may merge with its
			// sibling.
			if newPages > 2 {
				t.Fatalf("row %d: %d new pages", i, newPages)
			}
		}
	}
}

func TestDiff(t *testing.T) {
	a, _ := table.Check(parse(""))
	b, _ := table.Check(parse("workspaces.csv\nworkspace,home,places\nfamily-peeters,west,west north\nschool-gent,west,west\npolicy.csv\nsetting,value\n"))
	var lines []string
	for _, change := range table.Diff(a, b) {
		lines = append(lines, fmt.Sprintf("%s %v %v %v", change.Sheet, change.Key, change.Before, change.After))
	}
	want := []string{
		"policy [objective] [objective cost] []",
		"workspaces [family-peeters] [family-peeters west west 5  ] [family-peeters west west north   ]",
		"workspaces [school-gent] [] [school-gent west west   ]",
	}
	if !slices.Equal(lines, want) || len(table.Diff(nil, a)) != 8 {
		t.Errorf("got %q", lines)
	}
}

func FuzzParseSheet(f *testing.F) {
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		sheet := table.ParseSheet(name, data)
		built, faults := table.Check([]table.Sheet{sheet})
		if built != nil || len(faults) == 0 {
			t.Fatal("a single sheet was accepted as a table")
		}
		if len(sheet.Faults) > 0 {
			return
		}
		// Splitting the sheet and parsing its pages preserves all rows.
		pages := table.Split([]table.Sheet{sheet}, 64)
		rows := 0
		for _, page := range pages {
			reparsed := table.ParseSheet(string(page.Ref.Sheet)+".csv", page.Data)
			if len(reparsed.Faults) > 0 {
				t.Fatalf("page %q: %v", page.Data, reparsed.Faults)
			}
			rows += len(reparsed.Rows)
		}
		if rows != len(sheet.Rows) {
			t.Fatalf("%d rows became %d", len(sheet.Rows), rows)
		}
	})
}

func FuzzParseManifest(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		manifest, err := table.ParseManifest(data)
		if err != nil {
			return
		}
		if manifest.Version().Digest != table.DigestOf(data) {
			t.Fatalf("%q became %q", data, manifest.Encode())
		}
	})
}
