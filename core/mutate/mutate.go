// Package mutate derives inputs for tests from a corpus, with a random source that is passed
// in: runs with the same seed try the same inputs, unlike those of go test -fuzz.
package mutate

import (
	"io/fs"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	// maxChanges bounds the changes that are made to one seed.
	maxChanges = 4
	// maxShortPart bounds most of the parts that are changed: long ones leave little of a seed.
	maxShortPart = 4
	// maxCopies bounds the copies that one change makes of a part.
	maxCopies = 8
	// maxInputBytes bounds a derived input.
	maxInputBytes = 4 << 10
)

// Corpus is what inputs are derived from. The zero value derives from the empty input.
type Corpus struct {
	// Seeds holds whole inputs.
	Seeds []string
	// Pieces holds short texts that have a meaning to the reader under test.
	Pieces []string
}

// Derive returns a seed with some random changes.
func (c *Corpus) Derive(random *rand.Rand) string {
	text := pick(random, c.Seeds)
	for range 1 + random.IntN(maxChanges) {
		text = c.change(random, text)
		text = text[:min(len(text), maxInputBytes)]
	}
	return text
}

// change returns a text with one random change.
func (c *Corpus) change(random *rand.Rand, text string) string {
	before, part, after := split(random, text)
	switch random.IntN(7) {
	case 0:
		return before + after
	case 1:
		_, _, end := split(random, pick(random, c.Seeds))
		return before + end
	case 2:
		return before + strings.Repeat(part, 2+random.IntN(maxCopies-1)) + after
	case 3:
		return flipBit(random, text)
	case 4:
		return before + string([]byte{byte(random.IntN(256))}) + part + after
	case 5:
		return before + pick(random, c.Pieces) + after
	default:
		return before + pick(random, c.Pieces) + part + after
	}
}

// split cuts a text at two random places. The part between them is short more often than not.
func split(random *rand.Rand, text string) (before, part, after string) {
	first := place(random, text)
	longest := len(text) - first
	if random.IntN(4) > 0 {
		longest = min(longest, maxShortPart)
	}
	last := first + random.IntN(longest+1)
	return text[:first], text[first:last], text[last:]
}

// place returns a random place in a text. Every other one is the start of a line, where most
// changes leave the rest of the text readable.
func place(random *rand.Rand, text string) int {
	at := random.IntN(len(text) + 1)
	if random.IntN(2) == 0 {
		at += strings.IndexByte(text[at:], '\n') + 1
	}
	return at
}

// pick returns a random element of a list, or an empty text.
func pick(random *rand.Rand, list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[random.IntN(len(list))]
}

func flipBit(random *rand.Rand, text string) string {
	if text == "" {
		return ""
	}
	b := []byte(text)
	b[random.IntN(len(b))] ^= 1 << random.IntN(8)
	return string(b)
}

// corpusHeader is the first line of a file of go's fuzzing.
const corpusHeader = "go test fuzz v1"

// Format returns the content of a file in testdata/fuzz/FUZZTEST that makes go test try the
// arguments of a fuzz test. Each is a string, a []byte, an int or a bool.
func Format(arguments ...any) string {
	lines := []string{corpusHeader}
	for _, a := range arguments {
		switch a := a.(type) {
		case string:
			lines = append(lines, "string("+strconv.Quote(a)+")")
		case []byte:
			lines = append(lines, "[]byte("+strconv.Quote(string(a))+")")
		case int:
			lines = append(lines, "int("+strconv.Itoa(a)+")")
		case bool:
			lines = append(lines, "bool("+strconv.FormatBool(a)+")")
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// ReadSeeds returns the first argument of each file in a folder of go's fuzzing, which must be
// a string or a []byte. A folder that doesn't exist has none.
func ReadSeeds(folder fs.FS) ([]string, error) {
	entries, err := fs.ReadDir(folder, ".")
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Annotate(err, "read a corpus")
	}
	var seeds []string
	for _, entry := range entries {
		content, err := fs.ReadFile(folder, entry.Name())
		if err != nil {
			return nil, errors.Annotate(err, "read a corpus")
		}
		seed, err := parseSeed(string(content))
		if err != nil {
			return nil, errors.Annotatef(err, "read %s", entry.Name())
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func parseSeed(content string) (string, error) {
	lines := strings.Split(content, "\n")
	if len(lines) < 2 || lines[0] != corpusHeader {
		return "", errors.Errorf("first line is not %q", corpusHeader)
	}
	for _, kind := range []string{"string", "[]byte"} {
		quoted, found := strings.CutPrefix(lines[1], kind+"(")
		if !found {
			continue
		}
		seed, err := strconv.Unquote(strings.TrimSuffix(quoted, ")"))
		return seed, errors.Annotatef(err, "unquote %s", lines[1])
	}
	return "", errors.Errorf("%q is neither a string nor a []byte", lines[1])
}
