package http1

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"arbutustrestle/core/mutate"
)

const (
	// generatedParts and generatedPerPart are the subtests of TestGeneratedAnswers and the
	// inputs of each.
	generatedParts   = 8
	generatedPerPart = 25_000
)

// answerPieces holds texts that a reader of answers has to understand or to refuse.
var answerPieces = []string{
	"\n", "\r", "\r\n", "\r\n\r\n", "\n\n", "\r\r\n", "\x00", "\t", " ", ":", ",", ";",
	"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\n", "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n",
	"HTTP/1.1 421 Misdirected Request\r\n", "HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 000 \r\n", "HTTP/1.1 099 \r\n",
	"HTTP/0.0 ", "HTTP/0.9 ", "HTTP/1.0 ", "HTTP/1.2 ", "HTTP/2.0 ", "HTTP/1.1\t", " 200 ", " 200", " 0200 ", " 20 ", " +20 ", " -20 ", " 999 ",
	"Id: 1\r\n", "Id: 0\r\n", "Id:\r\n", "id:1\n", "Id : 1\r\n", " Id: 1\r\n", "Id: 1", "I\x00d: 1\r\n",
	"Not-Run: 1\r\n", "Not-run:0\n", "not-run: 1\r\n", "NOT-RUN: 1\r\n", "Not-Run : 1\r\n", "Not-Run:\r\n", "X: Not-Run: 1\r\n",
	"Content-Length: 2\r\n", "Content-Length: 0\r\n", "content-length:1\n", "Content-Length : 2\r\n", "Content-Length: +2\r\n",
	"Content-Length: -1\r\n", "Content-Length: 2, 2\r\n", "Content-Length: 2, 3\r\n", "Content-Length: 0x2\r\n", "Content-Length:\r\n",
	"Content-Length: 9223372036854775807\r\n", "Content-Length: 9223372036854775808\r\n", "Content-Length: 1048577\r\n",
	"Transfer-Encoding: chunked\r\n", "transfer-encoding:Chunked\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip, chunked\r\n",
	"Transfer-Encoding : chunked\r\n", "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding:\r\n", "Trailer: Not-Run\r\n",
	"0\r\n\r\n", "0\n\n", "0\r\nNot-Run: 1\r\n\r\n", "2\r\nab\r\n", "2;x=y\r\nab\r\n", "00000000000000000\r\n", "ffffffffffffffff\r\n", "-1\r\n", "+1\r\na\r\n", "0x1\r\na\r\n", "1 \r\na\r\n",
	"Connection: close\r\n", "Connection: keep-alive\r\n", "Keep-Alive: timeout=5\r\n", "Keep-Alive: timeout=0\r\n", "Keep-Alive: timeout=x\r\n",
	"Retry-After: 2\r\n", "Retry-After: -1\r\n", "Retry-After: x\r\n",
	"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: ", ": hi\n", "id: 1\n", "\n\ndata: b",
}

// TestGeneratedAnswers makes checkAnswer's checks with inputs that are the same in each run.
// It guards against the faults that FuzzReadAnswer looks for, of which each run finds others.
func TestGeneratedAnswers(t *testing.T) {
	seeds, err := mutate.ReadSeeds(os.DirFS("testdata/fuzz/FuzzReadAnswer"))
	if err != nil {
		t.Fatal(err)
	}
	corpus := mutate.Corpus{Seeds: append(seeds, answerSeeds...), Pieces: answerPieces}
	for part := range generatedParts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(part), 0))
			for range generatedPerPart {
				checkGenerated(t, corpus.Derive(random), random.IntN(2) == 0)
			}
		})
	}
}

// checkGenerated reports an input that fails, also if the reader panics.
func checkGenerated(t *testing.T, text string, stream bool) {
	passed := false
	defer func() {
		if !passed {
			t.Errorf("failed on %q, stream %v; to keep it, add a file to testdata/fuzz/FuzzReadAnswer with\n%s", text, stream, mutate.Format(text, stream))
		}
	}()
	checkAnswer(t, text, stream)
	passed = true
}
