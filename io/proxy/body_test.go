package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
)

// TestBodyMemory guards against a process that is killed for its memory, and answers nothing any
// more, because many callers send large bodies at once. What doesn't fit is refused with a time to
// come back and has not run; what fits is read, and so is all once the burst is over.
func TestBodyMemory(t *testing.T) {
	const (
		size  = 300 << 10
		limit = 1 << 20
	)
	for _, c := range []struct {
		name   string
		length int64
	}{
		{"length", size},
		{"chunks", -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := &memory.Budget{Limit: limit}
			read := func(body io.Reader) (*Call, *result.Failure) {
				call := &Call{memory: budget.NewShare()}
				r := httptest.NewRequest(http.MethodPost, "/", body)
				r.ContentLength = c.length
				return call, readBody(call, r, 2*size)
			}
			var burst sync.WaitGroup
			var mu sync.Mutex
			var calls []*Call
			refused := 0
			for range 20 {
				burst.Go(func() {
					call, failure := read(strings.NewReader(strings.Repeat("x", size)))
					if budget.Used() > limit {
						t.Errorf("%d bytes held", budget.Used())
					}
					mu.Lock()
					defer mu.Unlock()
					switch {
					case failure == nil && len(call.Body) == size:
						calls = append(calls, call)
					case failure != nil && failure.Outcome == result.NotRun && failure.Reason == result.Overloaded && failure.RetryAfter > 0:
						refused++
						call.memory.Release()
					default:
						t.Errorf("%d bytes read, failure %+v", len(call.Body), failure)
					}
				})
			}
			burst.Wait()
			if len(calls) == 0 || refused == 0 || len(calls)+refused != 20 {
				t.Errorf("%d read, %d refused", len(calls), refused)
			}
			for _, call := range calls {
				call.memory.Release()
			}
			if used := budget.Used(); used != 0 {
				t.Errorf("%d bytes never given back", used)
			}
			if call, failure := read(strings.NewReader(strings.Repeat("x", size))); failure != nil || len(call.Body) != size {
				t.Errorf("after the burst: %+v", failure)
			}
		})
	}
	t.Run("cut", func(t *testing.T) {
		call := &Call{}
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("abc"))
		r.ContentLength = 4
		if failure := readBody(call, r, 100); failure == nil || failure.Reason != result.CallerGone {
			t.Errorf("%+v", failure)
		}
	})
}
