// Package ending decides what the end of a caller's connection tells the caller. An answer with
// neither a length nor chunks is whole if its connection ends in order, and that is also how the
// kernel ends the connections of a process that exits or is killed. So such a connection is made to
// end with a reset before the first byte of the answer, and in order only once the answer is whole.
package ending

import (
	"context"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnContext adds a caller's connection to the context of its requests. Servers of callers have it
// as their hook of that name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Reset makes the connection of a request end with a reset, whoever ends it. What the caller hasn't
// received by then is lost.
func Reset(r *http.Request) error {
	return errors.Annotate(setLinger(r, 0), "make a connection end with a reset")
}

// InOrder flushes the answer to a request and makes its connection end in order.
func InOrder(r *http.Request, control *http.ResponseController) error {
	if err := control.Flush(); err != nil {
		return errors.Annotate(err, "flush a whole answer")
	}
	return errors.Annotate(setLinger(r, -1), "make a connection end in order")
}

// setLinger sets the linger time of the connection of a request: 0 for a reset, a negative one for
// the system's own.
func setLinger(r *http.Request, seconds int) error {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	for {
		switch c := conn.(type) {
		case interface{ SetLinger(seconds int) error }:
			return c.SetLinger(seconds)
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return errors.NotSupportedf("connection of type %T", conn)
		}
	}
}
