package http1

import (
	"net/http"
	"testing"
	"time"
)

// TestParseRetryAfter covers the forms of the header. What can't be read is an error, and
// differs from no header and from zero.
func TestParseRetryAfter(t *testing.T) {
	const date = "Fri, 04 Dec 2026 12:00:00 GMT"
	cases := []struct {
		text, date string
		want       time.Duration
		fails      bool
	}{
		{text: ""},
		{text: "0"},
		{text: "2", want: 2 * time.Second},
		{text: " 0.25 ", want: 250 * time.Millisecond},
		{text: "7200", want: 2 * time.Hour},
		{text: "1e300", want: maxSeconds * time.Second},
		{text: "Fri, 04 Dec 2026 12:00:03 GMT", date: date, want: 3 * time.Second},
		{text: "Fri, 04 Dec 2026 11:00:00 GMT", date: date},
		{text: "Fri, 04 Dec 2026 12:00:03 GMT", fails: true},
		{text: "-1", fails: true},
		{text: "NaN", fails: true},
		{text: "soon", fails: true},
	}
	for _, c := range cases {
		h := http.Header{}
		h.Set("Retry-After", c.text)
		if c.date != "" {
			h.Set("Date", c.date)
		}
		got, err := parseRetryAfter(h)
		if got != c.want || (err != nil) != c.fails {
			t.Errorf("%q: %s, error %v", c.text, got, err)
		}
	}
}
