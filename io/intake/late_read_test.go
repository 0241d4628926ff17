package intake

import (
	"io"
	"testing"
	"time"
)

// TestLongPause guards against a bound for vanished machines that cuts the answer of a caller who
// reads nothing for some seconds, or in small steps.
func TestLongPause(t *testing.T) {
	t.Parallel()
	const size, step = 16 << 20, 64 << 10
	for name, pauses := range map[string]int{"pause": 1, "small_steps": 6} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, far := pair(t)
			done := make(chan error, 1)
			go func() {
				_, err := c.Write(make([]byte, size))
				done <- err
			}()
			got := int64(0)
			for range pauses {
				time.Sleep(9 * time.Second / time.Duration(pauses))
				n, _ := io.CopyN(io.Discard, far, step)
				got += n
			}
			n, err := io.CopyN(io.Discard, far, size-got)
			if writeErr := <-done; writeErr != nil || err != nil || got+n != size {
				t.Errorf("%d bytes, %v, %v", got+n, err, writeErr)
			}
		})
	}
}
