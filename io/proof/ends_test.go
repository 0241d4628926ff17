package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"arbutustrestle/io/bench"
	"arbutustrestle/io/fleet"
)

// oldCaller sends a completion as HTTP/1.0, which has no chunks, so that the end of the answer is
// that of its connection.
func (w *world) oldCaller(e *fleet.Entry, q *bench.Request) *http.Response {
	w.t.Helper()
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max-tokens"`
	}{string(q.Model), q.Prompt, q.MaxTokens})
	w.must(err)
	conn, err := net.Dial("tcp", e.Caller.String())
	w.must(err)
	w.t.Cleanup(func() { _ = conn.Close() })
	w.must(conn.SetDeadline(time.Now().Add(hangTimeout)))
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nHost: h\r\nWorkspace: %s\r\nContent-Length: %d\r\n\r\n%s", q.Workspace, len(body), body)
	w.must(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	w.must(err)
	if response.StatusCode != http.StatusOK {
		w.t.Fatalf("%s: status %d", e.Name, response.StatusCode)
	}
	return response
}

// TestEndForOldCallers guards against a stream that was cut looking whole to a caller whose HTTP has no
// chunks: the entry is killed or ended at once, or the engine breaks off, in the middle of it.
func TestEndForOldCallers(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries:     []string{"west-1", "west-2", "west-3"},
		engines:     []string{"west-1", "west-2"},
		engineFlags: []string{"-step-time", "10ms"},
	})
	endAtOnce := func(e *fleet.Entry) {
		for range 3 {
			e.Signal(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
		}
	}
	for _, c := range []struct {
		name, entry string
		end         func(e *fleet.Entry)
	}{
		{"killed", "west-1", (*fleet.Entry).Kill},
		{"ended at once, by a third signal", "west-2", endAtOnce},
		{"engines killed", "west-3", func(*fleet.Entry) {
			for _, u := range w.Upstreams {
				u.Kill()
			}
		}},
	} {
		e := w.entry(c.entry)
		q := completion("west-only", 3000)
		if c.entry == "west-3" {
			whole := completion("west-only", 20)
			response := w.oldCaller(e, whole)
			text, err := io.ReadAll(response.Body)
			if want := expected(response.Header.Get("Request-Id"), whole); err != nil || string(text) != want {
				t.Errorf("whole: %q, error %v", text, err)
			}
		}
		response := w.oldCaller(e, q)
		if _, err := io.ReadFull(response.Body, make([]byte, 10)); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		c.end(e)
		n, err := io.Copy(io.Discard, response.Body)
		if err == nil {
			t.Errorf("%s: looks whole after %d more bytes", c.name, n)
		}
	}
}
