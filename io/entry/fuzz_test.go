package entry

import (
	"encoding/json"
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

// FuzzCompletion reads a caller's body. The body sent to the engine must be JSON with the
// model that was routed and the version and priority of the table, whatever the spelling of
// the caller's fields.
func FuzzCompletion(f *testing.F) {
	for _, body := range []string{`{"model":"m","prompt":"p"}`, ` {"model":"m"}`, `{"model":"m","Version":"v9"}`, `{"model":"m","\u0076ersion":null}`, `{"model":"a","Model":"b"}`, `{"MODEL":"a"}`, `[]`, `null`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		call := &Call{Workspace: "w", Body: body}
		if readCompletion(call) != nil {
			return
		}
		var sent map[string]json.RawMessage
		if err := json.Unmarshal(completionBody(body, "v1", 3), &sent); err != nil {
			t.Fatal(err)
		}
		var model ident.Model
		_ = json.Unmarshal(sent["model"], &model)
		if string(sent["version"]) != `"v1"` || string(sent["priority"]) != "3" || model != call.Model || model == "" {
			t.Fatalf("body sent to the engine: %s", completionBody(body, "v1", 3))
		}
	})
}

// FuzzHeaders parses headers of callers and engines.
func FuzzHeaders(f *testing.F) {
	f.Add("30s")
	f.Add("-1ms")
	f.Add("running=3 waiting=1 slots=8")
	f.Add("running=-3 waiting=1 slots=8")
	f.Add("0123456789abcdef0123456789abcdef")
	f.Fuzz(func(t *testing.T, text string) {
		if timeout, ok := parseTimeout(text); ok && (timeout < 0 || timeout == 0 && text != "") {
			t.Fatalf("timeout %s", timeout)
		}
		if l, ok := parseLoad(text, time.Time{}); ok && (l.Running < 0 || l.Waiting < 0 || l.Slots <= 0) {
			t.Fatalf("load %+v", l)
		}
		if validRequestID(text) && len(text) != 2*requestIDBytes {
			t.Fatalf("request id %q", text)
		}
	})
}
