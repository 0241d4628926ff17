package event

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"arbutustrestle/core/mutate"
)

const (
	// generatedParts and generatedPerPart are the subtests of TestGeneratedStreams and the
	// inputs of each.
	generatedParts   = 8
	generatedPerPart = 25_000
)

// streamSeeds holds the streams that further inputs are derived from.
var streamSeeds = []string{
	"data: a\r\n\r\n: hi\n",
	"data: a\n\ndata",
	"id: 1\ndata: a\n\ndata: b\r\r: hi\r\n\r\n",
}

// streamPieces holds texts that a scanner has to tell apart.
var streamPieces = []string{"\n", "\r", "\r\n", "\n\r", "\n\n", "\r\r", "\r\n\r\n", "\r\r\n", ":", ": hi", " ", "\x00", "\xef\xbb\xbf", "data", "data:", "data: a\n", "id: 1\r", "event: e\r\n", "retry: 1\n"}

// FuzzScanner searches for inputs that checkScanner fails on.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(streamSeeds[0]), 9)
	f.Add([]byte(streamSeeds[1]), 3)
	f.Add([]byte(streamSeeds[2]), 25)
	f.Fuzz(checkScanner)
}

// TestGeneratedStreams makes checkScanner's checks with inputs that are the same in each run. It
// guards against the faults that FuzzScanner looks for, of which each run finds others.
func TestGeneratedStreams(t *testing.T) {
	seeds, err := mutate.ReadSeeds(os.DirFS("testdata/fuzz/FuzzScanner"))
	if err != nil {
		t.Fatal(err)
	}
	corpus := mutate.Corpus{Seeds: append(seeds, streamSeeds...), Pieces: streamPieces}
	for part := range generatedParts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(part), 0))
			for range generatedPerPart {
				data := []byte(corpus.Derive(random))
				checkGenerated(t, data, random.IntN(len(data)+1))
			}
		})
	}
}

// checkGenerated reports an input that fails, also if the scanner panics.
func checkGenerated(t *testing.T, data []byte, cut int) {
	passed := false
	defer func() {
		if !passed {
			t.Errorf("failed on %q, cut at %d; to keep it, add a file to testdata/fuzz/FuzzScanner with\n%s", data, cut, mutate.Format(data, cut))
		}
	}()
	checkScanner(t, data, cut)
	passed = true
}

// checkScanner checks that a stream in two parts is scanned like the whole, and that the
// end that Add returns leaves no event open.
func checkScanner(t *testing.T, data []byte, cut int) {
	cut = max(0, min(cut, len(data)))
	whole, parted := &Scanner{}, &Scanner{}
	end := whole.Add(data)
	partedEnd := parted.Add(data[:cut])
	if rest := parted.Add(data[cut:]); rest > 0 {
		partedEnd = cut + rest
	}
	if *whole != *parted || end != partedEnd {
		t.Fatalf("whole %+v end %d, cut at %d %+v end %d", whole, end, cut, parted, partedEnd)
	}
	start := &Scanner{}
	if start.Add(data[:end]); start.Inside() {
		t.Fatalf("the first %d bytes end inside an event", end)
	}
}
