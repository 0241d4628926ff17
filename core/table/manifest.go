package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
)

// Digest identifies a page or a manifest by its content: the first 32 hexadecimal
// digits of its SHA-256 sum.
type Digest string

// digestDigits is the length of a Digest in hexadecimal digits.
const digestDigits = 32

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:digestDigits/2]))
}

// ValidDigest reports whether text has the format of a digest.
func ValidDigest(text string) bool {
	if len(text) != digestDigits || strings.ToLower(text) != text {
		return false
	}
	_, err := hex.DecodeString(text)
	return err == nil
}

// PageRef identifies a page and the sheet that its rows belong to.
type PageRef struct {
	Sheet  SheetName
	Digest Digest
}

// Manifest is the value that activates a new table when it is published. The pages
// of the table are found by their digests.
type Manifest struct {
	// Revision must be Base + 1, otherwise Compare returns BadBase.
	Revision ident.Revision
	// Base is the revision that the author edited, 0 for the first table.
	Base ident.Revision
	// Author and Note are informational, for operators.
	Author string
	Note   string
	// Pages contains no duplicates.
	Pages []PageRef
}

// The names of the manifest rows that do not list pages.
const (
	revisionRow = "revision"
	baseRow     = "base"
	authorRow   = "author"
	noteRow     = "note"
	// pagesRow holds the number of pages, so that a truncated manifest is not
	// mistaken for a smaller table.
	pagesRow = "pages"
)

// manifestFile is the file name of the manifest in faults.
const manifestFile = "manifest"

// maxPages limits the pages of one manifest, to keep the manifest below the size
// limit of a published value.
const maxPages = 20_000

// Encode returns the published encoding: CSV with the columns name and value.
// Equal manifests have equal encodings.
func (m Manifest) Encode() []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	rows := [][]string{
		{"name", "value"},
		{revisionRow, strconv.FormatUint(uint64(m.Revision), 10)},
		{baseRow, strconv.FormatUint(uint64(m.Base), 10)},
		{authorRow, m.Author},
		{noteRow, m.Note},
		{pagesRow, strconv.Itoa(len(m.Pages))},
	}
	for _, page := range m.Pages {
		rows = append(rows, []string{string(page.Sheet), string(page.Digest)})
	}
	// Writes to a bytes.Buffer do not fail.
	_ = w.WriteAll(rows)
	return out.Bytes()
}

// Version returns the revision and the digest of the encoded manifest.
func (m Manifest) Version() Version {
	return Version{Revision: m.Revision, Digest: DigestOf(m.Encode())}
}

// ParseManifest parses the output of Encode. It returns Faults for any other
// encoding, including other line endings, so that a manifest has exactly one
// digest. It does not compare the revision with the base; Compare does.
func ParseManifest(data []byte) (Manifest, error) {
	p := manifestParser{seen: map[string]bool{}}
	p.read(data)
	for _, name := range []string{revisionRow, baseRow, pagesRow} {
		if !p.seen[name] {
			p.fault(0, name, "is missing", "add the row")
		}
	}
	if listed := len(p.manifest.Pages); p.seen[pagesRow] && p.declaredPages != uint64(listed) {
		p.fault(0, pagesRow, fmt.Sprintf("says %d where %d are listed", p.declaredPages, listed), "publish the whole manifest")
	}
	if len(p.faults) == 0 && !bytes.Equal(p.manifest.Encode(), data) {
		p.fault(0, "", "is not in the published form", "publish the bytes that were written for it, unchanged")
	}
	return p.manifest, p.faults.asError()
}

// manifestParser holds the state of parsing a manifest.
type manifestParser struct {
	manifest Manifest
	// declaredPages is the value of the row "pages", which may differ from the number
	// of pages listed.
	declaredPages uint64
	faults        Faults
	// seen holds the names of unique rows and the sheet and digest of each page row.
	seen map[string]bool
}

func (p *manifestParser) fault(line int, column, problem, remedy string) {
	p.faults = append(p.faults, Fault{File: manifestFile, Line: line, Column: column, Problem: problem, Remedy: remedy})
}

func (p *manifestParser) read(data []byte) {
	source := csv.NewReader(bytes.NewReader(data))
	source.FieldsPerRecord = 2
	header, err := source.Read()
	if err != nil || header[0] != "name" || header[1] != "value" {
		p.fault(1, "", "has no header row", "begin with the row name,value")
		return
	}
	for {
		row, err := source.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.fault(0, "", err.Error(), "write each row as name,value")
			return
		}
		line, _ := source.FieldPos(0)
		p.row(line, row[0], row[1])
	}
}

func (p *manifestParser) row(line int, name, value string) {
	key := name
	if layoutOf(SheetName(name)) != nil {
		key = name + " " + value
	}
	if p.seen[key] {
		p.fault(line, name, "stands twice", "remove one of the two rows")
		return
	}
	p.seen[key] = true
	switch name {
	case revisionRow:
		p.manifest.Revision = ident.Revision(p.number(line, name, value))
	case baseRow:
		p.manifest.Base = ident.Revision(p.number(line, name, value))
	case pagesRow:
		p.declaredPages = p.number(line, name, value)
	case authorRow:
		p.manifest.Author = value
	case noteRow:
		p.manifest.Note = value
	default:
		p.page(line, name, value)
	}
}

func (p *manifestParser) number(line int, name, value string) uint64 {
	number, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		p.fault(line, name, fmt.Sprintf("%q is not a number", value), "use a whole number")
	}
	return number
}

func (p *manifestParser) page(line int, sheet, digest string) {
	if layoutOf(SheetName(sheet)) == nil {
		p.fault(line, sheet, "is not a sheet of the table", "use one of "+listSheets())
		return
	}
	if !ValidDigest(digest) {
		p.fault(line, sheet, fmt.Sprintf("%q is not a digest", digest), "use 32 hexadecimal digits in lower case")
		return
	}
	if len(p.manifest.Pages) == maxPages {
		p.fault(line, sheet, "is one page too many", fmt.Sprintf("list at most %d pages", maxPages))
		return
	}
	p.manifest.Pages = append(p.manifest.Pages, PageRef{Sheet: SheetName(sheet), Digest: Digest(digest)})
}
