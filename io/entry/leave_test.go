package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestStoppingEntryGivesUpConnections asks an entry that is stopping over a kept
// connection: each answer, a refusal or the advice where to go, has to say that the
// connection ends with it. A call that begins on a connection which the entry closes
// at its end is lost without a word of whether it ran.
func TestStoppingEntryGivesUpConnections(t *testing.T) {
	in := newRig(t, &syncBuffer{}, "").instances["west-1"]
	url := "http://" + in.self.Caller.String()
	ask := func(method, path string) *http.Response {
		q, err := http.NewRequestWithContext(t.Context(), method, url+path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Workspace", "anna")
		response, err := http.DefaultTransport.RoundTrip(q)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		return response
	}
	calls := []struct {
		method, path string
		// kept is true when the connection stays before the stop.
		kept bool
	}{
		{http.MethodGet, "/v1/entry?workspace=anna", true},
		{http.MethodPost, "/v1/services/app/bookings", true},
		// No row of the table names it, so that its body isn't read.
		{http.MethodPost, "/v1/services/app/pages", false},
	}
	for _, c := range calls {
		if c.kept && ask(c.method, c.path).Close {
			t.Errorf("%s %s: closed before the stop", c.method, c.path)
		}
	}
	in.core.RefuseNewRequests(5 * time.Second)
	for _, c := range calls {
		if response := ask(c.method, c.path); !response.Close {
			t.Errorf("%s %s: status %d on a connection that seems to stay", c.method, c.path, response.StatusCode)
		}
	}
}
