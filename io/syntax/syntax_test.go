package syntax

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
)

const testHeadBytes = 64 << 10

// TestCheckHead guards against the head of an answer that another reader has let through although its
// status or a field breaks the grammar, and against refusing one that keeps it.
func TestCheckHead(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		good   bool
	}{
		"plain":                    {200, http.Header{"X": {"a", "b"}}, true},
		"no fields":                {204, nil, true},
		"status without a name":    {599, nil, true},
		"odd characters of a name": {200, http.Header{"!#$%&'*+-.^_`|~0": {""}}, true},
		"tab and obs-text":         {404, http.Header{"X": {"a\tb\xff", ""}}, true},
		"status 0":                 {0, nil, false},
		"negative status":          {-200, nil, false},
		"status 99":                {99, nil, false},
		"interim status":           {100, nil, false},
		"switch of protocols":      {101, nil, false},
		"status 600":               {600, nil, false},
		"status 65736":             {65736, nil, false},
		"empty name":               {200, http.Header{"": {"a"}}, false},
		"blank in a name":          {200, http.Header{"Odd Name": {"a"}}, false},
		"blank after a name":       {200, http.Header{"Content-Length ": {"5"}}, false},
		"colon in a name":          {200, http.Header{"X:": {"a"}}, false},
		"control byte in a name":   {200, http.Header{"X\x01": {"a"}}, false},
		"line end in a name":       {200, http.Header{"X: a\r\nY": {"a"}}, false},
		"obs-text in a name":       {200, http.Header{"X\xe9": {"a"}}, false},
		"line end in a value":      {200, http.Header{"X": {"a", "b\r\nY: c"}}, false},
		"bare CR in a value":       {200, http.Header{"X": {"a\rb"}}, false},
		"control byte in a value":  {200, http.Header{"X": {"a\x00"}}, false},
		"delete byte in a value":   {200, http.Header{"X": {"a\x7f"}}, false},
	} {
		if err := CheckHead(c.status, c.header); (err == nil) != c.good {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestHeadBound guards against a head of which more is held than its bound, whatever it consists of.
func TestHeadBound(t *testing.T) {
	for name, text := range map[string]string{
		"status line": "HTTP/1.1 200 " + strings.Repeat("x", testHeadBytes),
		"no line":     strings.Repeat("\x00", 2*testHeadBytes),
		"one field":   "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", testHeadBytes) + "\r\n\r\n",
		"name":        "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", testHeadBytes) + ": 1\r\n\r\n",
		"many fields": "HTTP/1.1 200 OK\r\n" + strings.Repeat("x:\n", testHeadBytes/3) + "\r\n",
	} {
		source := strings.NewReader(text)
		_, err := ReadHead(bufio.NewReaderSize(source, 4<<10), http.MethodGet, testHeadBytes)
		if read := len(text) - source.Len(); !errors.Is(err, ErrTooLarge) || read > testHeadBytes+4<<10 {
			t.Errorf("%s: %d bytes read, error %v", name, read, err)
		}
	}
}

// heads are what TestAgreesWithNetHTTP changes.
var heads = []string{
	"HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\nX: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.0 200 \r\nX: a\tb\r\n\r\nwhole",
	"HTTP/1.1 204 No Content\r\nX: 1\r\n\r\n",
	"HTTP/1.1 304 Not Modified\nContent-Length: 5\n\n",
	"HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// bytesOfHeads are what is put into heads.
const bytesOfHeads = "\x00\t\n\r :;,.-+0159aAxc\x7f\xff"

// change returns a text with up to three of its bytes replaced, removed, added or repeated.
func change(random *rand.Rand, text string) string {
	b := []byte(text)
	for range 1 + random.IntN(3) {
		at := random.IntN(len(b))
		put := bytesOfHeads[random.IntN(len(bytesOfHeads))]
		switch random.IntN(4) {
		case 0:
			b[at] = put
		case 1:
			b = append(b[:at:at], b[at+1:]...)
		case 2:
			b = append(b[:at:at], append([]byte{put}, b[at:]...)...)
		default:
			end := min(len(b), at+random.IntN(30))
			b = append(b[:end:end], append(bytes.Clone(b[at:end]), b[end:]...)...)
		}
	}
	return string(b)
}

// TestAgreesWithNetHTTP guards against a second reading of an answer: what keeps the grammar has the
// status, the end and the body that net/http finds as well.
func TestAgreesWithNetHTTP(t *testing.T) {
	random := rand.New(rand.NewPCG(66, 1))
	answers := 0
	for n := range 200000 {
		text := change(random, heads[n%len(heads)])
		method := []string{http.MethodGet, http.MethodHead}[random.IntN(2)]
		r := bufio.NewReader(strings.NewReader(text))
		head, err := ReadHead(r, method, testHeadBytes)
		if err != nil {
			continue
		}
		answers++
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%q to %s is an answer; net/http: %v", text, method, err)
		}
		chunked := len(response.TransferEncoding) > 0
		// net/http names chunks and a length that no body follows.
		noBody := method == http.MethodHead || head.Status < 200 || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified
		if head.Status != response.StatusCode || !noBody && (head.Frame.Chunked != chunked || head.Frame.Length != response.ContentLength || head.Closes != response.Close) {
			t.Fatalf("%q to %s: %+v; net/http: %+v", text, method, head, response)
		}
		body, err := io.ReadAll(head.Frame.Body(r))
		want, wantErr := io.ReadAll(response.Body)
		if string(body) != string(want) || err == nil && wantErr != nil && !chunked {
			t.Fatalf("%q to %s: %q, error %v; net/http: %q, error %v", text, method, body, err, want, wantErr)
		}
	}
	if answers < 20000 {
		t.Errorf("%d answers", answers)
	}
	t.Logf("%d answers", answers)
}
