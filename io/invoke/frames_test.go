package invoke

import "testing"

// FuzzFrames checks a stream whole, and cut at one place: both must find the same
// frames and the same fault.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"index\":0,\"text\":\"a\"}\n\ndata: [DONE]\n\n"), 7)
	f.Add([]byte(": comment\n\ndata: {\"id\":\"r\",\"index\":1}\n\n"), 3)
	f.Add([]byte("data: {\"id\":\"s\",\"index\":0}\n\n"), 0)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole := newFrameChecker("r")
		length, verdict := whole.check(data)
		if length < 0 || length > len(data) {
			t.Fatalf("%d of %d bytes are good", length, len(data))
		}
		parts := newFrameChecker("r")
		first, second := parts.check(data[:max(0, min(cut, len(data)))])
		if second == frameGood {
			var more int
			more, second = parts.check(data[first:])
			first += more
		}
		if first != length || second != verdict || parts.frames != whole.frames || parts.closed != whole.closed {
			t.Fatalf("cut at %d: %d bytes, verdict %d; whole: %d bytes, verdict %d", cut, first, second, length, verdict)
		}
	})
}
