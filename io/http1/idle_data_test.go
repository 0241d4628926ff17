package http1

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
)

// TestDataWhileIdle guards against an upstream that goes on to send on kept connections, which no request uses,
// and fills their buffers: the connection is closed when the first byte comes, without another request.
func TestDataWhileIdle(t *testing.T) {
	closed := make(chan error, 1)
	u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
		writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n", id)
		time.Sleep(20 * time.Millisecond)
		writeText(c, "HTTP/1.1 200 OK\nId: 0\nContent-Length: 0\n\n")
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	client := newClient()
	client.WatchIdleConns(func(ident.Upstream, netip.AddrPort) { t.Error("the upstream counts as ended") })
	if _, failure, err := send(t, client, attempt(u, "q")); failure != nil || err != nil {
		t.Fatal(failure, err)
	}
	var timeout net.Error
	if err := <-closed; errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("the connection stays open")
	}
}
