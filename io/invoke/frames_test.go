package invoke

import "testing"

// FuzzFrames checks a stream in one piece and in two pieces: both must report the same
// frames and the same fault. A checker that depends on where reads end fails here.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"index\":0,\"text\":\"a\"}\n\ndata: [DONE]\n\n"), 7)
	f.Add([]byte(": comment\n\ndata: {\"id\":\"r\",\"index\":1}\n\n"), 3)
	f.Add([]byte("data: {\"id\":\"s\",\"index\":0}\n\n"), 0)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		uncut := newFrameChecker("r")
		length, verdict := uncut.check(data)
		if length < 0 || length > len(data) {
			t.Fatalf("%d of %d bytes are valid", length, len(data))
		}
		cutChecker := newFrameChecker("r")
		cutLength, cutVerdict := cutChecker.check(data[:max(0, min(cut, len(data)))])
		if cutVerdict == frameValid {
			var more int
			more, cutVerdict = cutChecker.check(data[cutLength:])
			cutLength += more
		}
		if cutLength != length || cutVerdict != verdict || cutChecker.frames != uncut.frames || cutChecker.closed != uncut.closed {
			t.Fatalf("cut at %d: %d bytes, verdict %d; whole: %d bytes, verdict %d", cut, cutLength, cutVerdict, length, verdict)
		}
	})
}
