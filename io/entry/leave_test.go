package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDrainingInstanceClosesConnections sends requests over a kept connection to a draining
// instance. Each response, a refusal or the advice of other instances, must announce that
// the connection closes. Otherwise a call that begins on a connection while the instance
// closes it fails, and the caller can't find out whether it has run.
func TestDrainingInstanceClosesConnections(t *testing.T) {
	in := newCluster(t, &syncBuffer{}, "").instances["west-1"]
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
		// kept is true if the connection stays open before the drain.
		kept bool
	}{
		{http.MethodGet, "/v1/entry?workspace=anna", true},
		{http.MethodPost, "/v1/services/app/bookings", true},
		// No row of the table names this call, so its body isn't read.
		{http.MethodPost, "/v1/services/app/pages", false},
	}
	for _, c := range calls {
		if c.kept && ask(c.method, c.path).Close {
			t.Errorf("%s %s: connection closed before the drain", c.method, c.path)
		}
	}
	in.server.RefuseNewRequests(5 * time.Second)
	for _, c := range calls {
		if response := ask(c.method, c.path); !response.Close {
			t.Errorf("%s %s: status %d without \"Connection: close\"", c.method, c.path, response.StatusCode)
		}
	}
}
