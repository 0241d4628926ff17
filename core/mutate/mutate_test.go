package mutate

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
)

var letters = Corpus{Seeds: []string{"abcdefghijklmnopqrstuvwxyz", "ZYXWVUTSRQPONMLKJIHGFEDCBA"}, Pieces: []string{"01", "\r\n"}}

func derive(c *Corpus, seed uint64, count int) []string {
	random := rand.New(rand.NewPCG(seed, 0))
	var list []string
	for range count {
		list = append(list, c.Derive(random))
	}
	return list
}

// TestSameInputs guards against a run that tries other inputs than the run before it.
func TestSameInputs(t *testing.T) {
	if !slices.Equal(derive(&letters, 1, 1000), derive(&letters, 1, 1000)) {
		t.Error("two runs with the same seed differ")
	}
	if slices.Equal(derive(&letters, 1, 1000), derive(&letters, 2, 1000)) {
		t.Error("runs with different seeds are equal")
	}
}

// TestVariety guards against a kind of change that is never made, and against inputs that
// repeat.
func TestVariety(t *testing.T) {
	list := derive(&letters, 1, 20_000)
	kinds := map[string]func(text string) bool{
		"shortened":       func(s string) bool { return s == "abcd" },
		"without a part":  func(s string) bool { return s == "abdefghijklmnopqrstuvwxyz" },
		"spliced":         func(s string) bool { return strings.HasPrefix(s, "abc") && strings.HasSuffix(s, "CBA") },
		"repeated":        func(s string) bool { return strings.Contains(s, "cdcd") },
		"changed in case": func(s string) bool { return strings.Contains(s, "abCd") },
		"with a piece":    func(s string) bool { return strings.Contains(s, "d\r\ne") },
		"with a byte":     func(s string) bool { return strings.Contains(s, "\x00") },
		"empty":           func(s string) bool { return s == "" },
	}
	for name, matches := range kinds {
		if !slices.ContainsFunc(list, matches) {
			t.Errorf("none of %d inputs is %s", len(list), name)
		}
	}
	slices.Sort(list)
	if distinct := len(slices.Compact(slices.Clone(list))); distinct < 4*len(list)/5 {
		t.Errorf("%d of %d inputs are distinct", distinct, len(list))
	}
}

// TestBounds guards against inputs that grow without a bound, and checks the zero value.
func TestBounds(t *testing.T) {
	long := Corpus{Seeds: []string{strings.Repeat("a", maxInputBytes)}}
	for _, text := range derive(&long, 1, 1000) {
		if len(text) > maxInputBytes {
			t.Fatalf("%d bytes", len(text))
		}
	}
	derive(&Corpus{}, 1, 1000)
}

// TestReadSeeds checks that ReadSeeds reads what Format writes.
func TestReadSeeds(t *testing.T) {
	seeds, err := ReadSeeds(fstest.MapFS{
		"a": {Data: []byte(Format("a\n\"\x80", true))},
		"b": {Data: []byte(Format([]byte("b\r\xff"), 7))},
	})
	if err != nil || !slices.Equal(seeds, []string{"a\n\"\x80", "b\r\xff"}) {
		t.Errorf("%q, %v", seeds, err)
	}
	if seeds, err := ReadSeeds(fstest.MapFS{"testdata": {Mode: 0o755}}); err == nil {
		t.Errorf("a file that is no input gives %q", seeds)
	}
	for _, content := range []string{"", "go test fuzz v2\nstring(\"a\")\n", "go test fuzz v1\nint(1)\n", "go test fuzz v1\nstring(\"a)\n"} {
		if seed, err := parseSeed(content); err == nil {
			t.Errorf("%q gives %q", content, seed)
		}
	}
}
