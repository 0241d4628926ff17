package link

import (
	"errors"
	"strings"
	"testing"
)

// TestPings guards against a peer whose pings without end take memory, and against a session that ends though
// its pings are answered, or since data looks like pings.
func TestPings(t *testing.T) {
	const (
		ping   = "\x00\x02\x00\x01\x00\x00\x00\x00\x00\x00\x00\x07"
		answer = "\x00\x02\x00\x02\x00\x00\x00\x00\x00\x00\x00\x07"
		data   = "\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x0c"
		window = "\x00\x01\x00\x01\x00\x00\x00\x01\xff\xff\xff\xff"
	)
	for name, c := range map[string]struct {
		received string
		answered bool
		err      error
	}{
		"unanswered":         {strings.Repeat(ping, maxUnansweredPings), false, nil},
		"too many":           {strings.Repeat(ping, maxUnansweredPings+1), false, errPings},
		"too many with data": {strings.Repeat(data+ping+window+ping, maxUnansweredPings+1), false, errPings},
		"answered":           {strings.Repeat(ping, 10*maxUnansweredPings), true, nil},
		"answers":            {strings.Repeat(answer, 10*maxUnansweredPings), false, nil},
		"in data":            {strings.Repeat(data+ping, 10*maxUnansweredPings), false, nil},
	} {
		for _, pieceBytes := range []int{1, 5, 12, 31, 500} {
			var counter pingCounter
			var err error
			for left := c.received; left != "" && err == nil; {
				n := min(pieceBytes, len(left))
				err = counter.received([]byte(left[:n]))
				left = left[n:]
				for c.answered && counter.unanswered.Load() > 0 {
					counter.written([]byte(answer))
				}
			}
			if !errors.Is(err, c.err) {
				t.Errorf("%s, %d bytes at a time: error %v", name, pieceBytes, err)
			}
		}
	}
}
