package event

import "testing"

// TestScanner checks where events end, whichever line ends a stream uses and wherever its
// parts are cut.
func TestScanner(t *testing.T) {
	cases := []struct {
		name, text string
		// end is the length up to the last line end that leaves no event open.
		end    int
		count  int
		inside bool
	}{
		{"empty", "", 0, 0, false},
		{"two events", "id: 1\ndata: a\n\ndata: b\n\n", 24, 2, false},
		{"CRLF", "data: a\r\n\r\n", 11, 1, false},
		{"CR", "data: a\r\r", 9, 1, false},
		{"mixed line ends", "data: a\r\n\ndata: b\n\r\n", 20, 2, false},
		{"in a line", "data: a\n\nda", 9, 1, true},
		{"before the blank line", "data: a\n\ndata: b\n", 9, 1, true},
		{"in the CRLF of a line", "data: a\r\n\r\ndata: b\r", 11, 1, true},
		{"CRLF after the blank line's CR", "data: a\r\n\r", 10, 1, false},
		{"without a blank line", "data: a", 0, 0, true},
		{"blank lines only", "\n\r\n", 3, 0, false},
		{"comment", ": hi\n", 5, 0, false},
		{"in a comment", "data: a\n\n: h", 9, 1, false},
		{"comment in an event", "data: a\n: hi\n", 0, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for cut := range len(c.text) + 1 {
				s := &Scanner{}
				end := s.Add([]byte(c.text[:cut]))
				if rest := s.Add([]byte(c.text[cut:])); rest > 0 {
					end = cut + rest
				}
				if end != c.end || s.Count() != c.count || s.Inside() != c.inside {
					t.Errorf("cut at %d: end %d, %d events, inside %v", cut, end, s.Count(), s.Inside())
				}
			}
		})
	}
}
