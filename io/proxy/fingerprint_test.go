package proxy

import (
	"net/http"
	"testing"
)

// TestFingerprint checks which requests are told apart: those that differ in what they ask
// for or on whose behalf, and not the tries of one of them.
func TestFingerprint(t *testing.T) {
	call := func(change func(c *Call)) *Call {
		c := &Call{Method: http.MethodPost, Host: "h", Target: "/a/b?c=1", Body: []byte("body")}
		c.Header = http.Header{"Authorization": {"one"}, "User-Agent": {"x"}}
		c.ID = "first"
		change(c)
		return c
	}
	base := call(func(*Call) {}).fingerprint()
	cases := []struct {
		name   string
		change func(c *Call)
		same   bool
	}{
		{"another try", func(c *Call) { c.ID = "second"; c.Header.Set("User-Agent", "y") }, true},
		{"method", func(c *Call) { c.Method = http.MethodPut }, false},
		{"host", func(c *Call) { c.Host = "i" }, false},
		{"query", func(c *Call) { c.Target = "/a/b?c=2" }, false},
		{"caller", func(c *Call) { c.Header.Set("Authorization", "two") }, false},
		{"body", func(c *Call) { c.Body = []byte("other") }, false},
		{"a field's end moved", func(c *Call) { c.Host = "h/a"; c.Target = "/b?c=1" }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if same := call(test.change).fingerprint() == base; same != test.same {
				t.Errorf("same fingerprint: %v", same)
			}
		})
	}
}
