package proxy

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
)

// TestBodySizes guards against bodies that are put together wrongly, against one of exactly the largest
// size that is refused, and against memory that is taken for what a caller announces.
func TestBodySizes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int64{1, 4095, 4096, 4097, segmentBytes - 1, segmentBytes, segmentBytes + 1, 5*segmentBytes + 7, 1 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		for name, reader := range map[string]io.Reader{"whole": bytes.NewReader(body), "pieces": iotest.HalfReader(bytes.NewReader(body)), "end with data": iotest.DataErrReader(bytes.NewReader(body))} {
			for _, length := range []int64{size, -1} {
				call, failure := readTestBody(t, reader, length, size, size+2*segmentBytes)
				if failure != nil || !bytes.Equal(call.Body, body) {
					t.Errorf("%s, %d bytes, length %d: %d bytes, failure %+v", name, size, length, len(call.Body), failure)
				}
				reader = bytes.NewReader(body)
			}
		}
		for _, length := range []int64{size, -1} {
			_, failure := readTestBody(t, bytes.NewReader(body), length, size-1, 0)
			if size > 1 && (failure == nil || failure.Reason != result.BodyTooLarge) {
				t.Errorf("%d bytes, length %d, above the limit: %+v", size, length, failure)
			}
		}
	}
	call, failure := readTestBody(t, bytes.NewReader(make([]byte, 100)), 1<<20, 1<<20, 0)
	if failure == nil || failure.Reason != result.CallerGone || call.memory.Held() > segmentBytes {
		t.Errorf("%d bytes held for 100 that came, failure %+v", call.memory.Held(), failure)
	}
}

func readTestBody(t *testing.T, body io.Reader, length, limit, budget int64) (*Call, *result.Failure) {
	t.Helper()
	call := &Call{memory: (&memory.Budget{Limit: budget}).NewShare()}
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	return call, readBody(call, r, limit)
}
