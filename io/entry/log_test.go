package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"arbutustrestle/io/logs"
)

// TestLogLinesAreBounded guards against callers who fill the log: with a long name of a model, or with requests that are
// refused while they are read, a line for each. The refusal itself stays as it is.
func TestLogLinesAreBounded(t *testing.T) {
	const requests, maxLine = 5 * logs.MaxSampledLines, 1 << 10
	c := newCluster(t, &syncBuffer{}, "")
	body := fmt.Sprintf(`{"model":"%s","prompt":"p"}`, strings.Repeat("m", 3000))
	for range requests {
		r, err := http.NewRequest(http.MethodPost, c.instances["west-1"].caller.URL+"/v1/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Workspace", "anna")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNotFound || !strings.Contains(string(text), "unknown-model") {
			t.Fatalf("status %d, %.300s", response.StatusCode, text)
		}
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	lines := 0
	for line := range strings.Lines(c.log.b.String()) {
		lines++
		if len(line) > maxLine {
			t.Fatalf("line of %d bytes: %.300s", len(line), line)
		}
	}
	// The requests may fall into several seconds.
	if lines == 0 || lines >= requests {
		t.Errorf("%d lines about %d requests", lines, requests)
	}
}
