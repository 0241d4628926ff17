package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"arbutustrestle/core/ident"
)

// PageBytes is the size in bytes above which a page is split in two. After a
// change an instance reads the manifest, which lists every page, and the page with
// the changed row; with workspace rows of 60 bytes this size keeps the sum of both
// near its minimum.
const PageBytes = 2048

// Page is a published part of a sheet. It is immutable once published.
type Page struct {
	Ref PageRef
	// Data is CSV with the sheet's header row.
	Data []byte
}

// key identifies a row within its sheet.
func (l *layout) key(r Record) string {
	if l.keys == 1 {
		return r.Cells[0]
	}
	return strings.Join(r.Cells[:l.keys], "\x00")
}

// hashedRow is an encoded row with its key and the hash of the key, by which rows
// are assigned to pages.
type hashedRow struct {
	hash uint64
	key  string
	text []byte
}

// Split divides sheets into pages with at most pageBytes of rows, or with a single
// row if that is longer. Rows are partitioned by the hash of their keys: a sheet
// that is too large is divided by the first bit, each part that is still too large
// by the second, and so on. Page boundaries thus depend only on the rows on either
// side, and a changed row affects only its own page.
func Split(sheets []Sheet, pageBytes int) []Page {
	var pages []Page
	for i := range layouts {
		l := &layouts[i]
		rows := hashRows(l, joinSheets(l.name, sheets))
		pages = splitRows(l, rows, pageBytes, 0, pages)
	}
	return pages
}

func hashRows(l *layout, s Sheet) []hashedRow {
	rows := make([]hashedRow, len(s.Rows))
	for i, record := range s.Rows {
		key := l.key(record)
		rows[i] = hashedRow{hash: xxhash.Sum64String(key), key: key, text: encodeRow(record.Cells)}
	}
	slices.SortFunc(rows, func(a, b hashedRow) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.key, b.key))
	})
	return rows
}

func encodeRow(cells []string) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	// Writes to a bytes.Buffer do not fail.
	_ = w.Write(cells)
	w.Flush()
	return out.Bytes()
}

// hashBits is the number of bits in a row's hash, and thus the maximum depth of
// splitting.
const hashBits = 64

// splitRows appends the pages for rows, which are sorted by hash and share the
// first depth bits of it.
func splitRows(l *layout, rows []hashedRow, pageBytes, depth int, pages []Page) []Page {
	size := 0
	for _, r := range rows {
		size += len(r.text)
	}
	if size <= pageBytes || len(rows) == 1 || depth == hashBits {
		if len(rows) > 0 || depth == 0 {
			pages = append(pages, newPage(l, rows))
		}
		return pages
	}
	bit := uint64(1) << (hashBits - 1 - depth)
	half := slices.IndexFunc(rows, func(r hashedRow) bool { return r.hash&bit != 0 })
	if half < 0 {
		half = len(rows)
	}
	pages = splitRows(l, rows[:half], pageBytes, depth+1, pages)
	return splitRows(l, rows[half:], pageBytes, depth+1, pages)
}

func newPage(l *layout, rows []hashedRow) Page {
	data := encodeRow(l.columns)
	for _, r := range rows {
		data = append(data, r.text...)
	}
	return Page{Ref: PageRef{Sheet: l.name, Digest: DigestOf(data)}, Data: data}
}

// NewManifest returns the manifest that lists the pages and whose revision is base
// plus 1.
func NewManifest(base ident.Revision, author, note string, pages []Page) Manifest {
	m := Manifest{Revision: base + 1, Base: base, Author: author, Note: note}
	for _, p := range pages {
		m.Pages = append(m.Pages, p.Ref)
	}
	return m
}

// Build assembles a table from a manifest and its pages, which are keyed by
// digest; pages that the manifest does not list are ignored. It returns a NotFound
// error if a page is absent, a NotValid error if the content of a page does not
// match its digest, and Faults if the rows do not form a valid table. It never
// returns a partial table.
func Build(manifest Manifest, pages map[Digest][]byte) (*Table, error) {
	sheets := make([]Sheet, 0, len(manifest.Pages))
	for _, ref := range manifest.Pages {
		data, ok := pages[ref.Digest]
		if !ok {
			return nil, errors.NotFoundf("page %s of sheet %s", ref.Digest, ref.Sheet)
		}
		if DigestOf(data) != ref.Digest {
			return nil, errors.NotValidf("page %s of sheet %s: its bytes have another digest", ref.Digest, ref.Sheet)
		}
		file := fmt.Sprintf("%s%s page %s", ref.Sheet, fileEnding, ref.Digest)
		sheets = append(sheets, parseNamed(ref.Sheet, file, data))
	}
	t, faults := Check(sheets)
	if len(faults) > 0 {
		return nil, faults
	}
	t.version = manifest.Version()
	return t, nil
}
