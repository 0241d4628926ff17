package http1

import (
	"io"
	"net"
	"testing"
	"time"

	"arbutustrestle/core/clock"
)

// TestUploadAfterEnd guards against a request whose body is cut off because its answer, which ends with
// the connection, has ended: an upstream may end its side early and read on.
func TestUploadAfterEnd(t *testing.T) {
	const size = 16 << 20
	got := make(chan int64, 1)
	u := startEarlyUpstream(t, partOfPlain, func(c *net.TCPConn, body io.Reader) {
		_ = c.CloseWrite()
		n, _ := io.Copy(io.Discard, body)
		got <- n
	})
	client := NewClient(testCodec{}, clock.System{}, time.Second)
	cut := 0
	for range resetRounds {
		if text, err := exchangeEarly(t, client, u, make([]byte, size), false); err != nil || text != "part" {
			t.Fatalf("%q, error %v", text, err)
		}
		if n := <-got; n != size {
			cut++
		}
	}
	if cut > 0 {
		t.Errorf("%d of %d uploads are cut off", cut, resetRounds)
	}
}
