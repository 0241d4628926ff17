package proxy

import "testing"

// TestEndOfLaterPart guards against a stream that reaches its caller as complete although its
// last events are missing: it began in chunks and went on at an upstream that sends neither a
// length nor chunks, whose end proves nothing.
func TestEndOfLaterPart(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, c := range []struct {
		name        string
		first, rest reply
		whole       bool
	}{
		{"chunks, then close", cutStream, untilClose(false, second), false},
		{"chunks, then chunks", cutStream, chunked(false, second), true},
		{"close, then chunks", untilClose(true, first), chunked(false, second), true},
		{"close, then close", untilClose(true, first), untilClose(false, second), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			do := firstThen(c.first, c.rest)
			inst := newTestInstance(t, do, do).ready(t)
			_, body, err := inst.send(t, "/resume/", "", nil)
			if (err == nil) != c.whole || body != first+second {
				t.Errorf("%q, error %v", body, err)
			}
		})
	}
}
