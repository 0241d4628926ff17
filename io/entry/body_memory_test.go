package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
)

// TestBodyMemory guards against bodies that are read into memory which other requests hold, and against
// bodies inside the limits that are refused.
func TestBodyMemory(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		name string
		size int
		// sized is set if the length is announced.
		sized bool
		// free is the part of the budget that nobody holds.
		free int64
		want result.Reason
	}{
		{"empty", 0, true, 0, result.ReasonNone},
		{"small", 100, true, 4 << 10, result.ReasonNone},
		{"at_limit", limit, true, 3 * limit, result.ReasonNone},
		{"at_limit_in_chunks", limit, false, 4 * limit, result.ReasonNone},
		{"no_memory", limit, true, 4 << 10, result.Overloaded},
		{"over_limit", limit + 1, false, 3 * limit, result.BodyTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := &memory.Budget{Limit: 1 << 20}
			others := budget.NewShare()
			others.Grow(budget.Limit - c.free)
			text := strings.Repeat("b", c.size)
			r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(text)))
			if c.sized {
				r.ContentLength = int64(c.size)
			}
			w := httptest.NewRecorder()
			share := budget.NewShare()
			reader := &httpBodyReader{request: r, sink: &httpSink{writer: w, controller: http.NewResponseController(w)}, limit: limit, timeout: time.Second, memory: share}
			body, failure := reader.Read(t.Context())
			got := result.ReasonNone
			if failure != nil {
				got = failure.Reason
			}
			if got != c.want || (failure == nil && string(body) != text) {
				t.Fatalf("%d bytes, %v, want %v", len(body), got, c.want)
			}
			if got == result.Overloaded && (failure.Outcome != result.NotRun || failure.RetryAfter <= 0) {
				t.Errorf("refused with %v, Retry-After %v", failure.Outcome, failure.RetryAfter)
			}
			share.Release()
			if budget.Used() != budget.Limit-c.free {
				t.Errorf("%d bytes are still held", budget.Used()-budget.Limit+c.free)
			}
		})
	}
}
