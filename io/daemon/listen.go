package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// listen opens a listener. The error names the usual cause, an address already in use.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address.String())
	return l, errors.Annotatef(err, "listen on %s; check that no other process uses it", address)
}

// logServeError logs the error of a server, unless the server or its listener was shut down.
func logServeError(log zerolog.Logger, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		log.Error().Err(err).Msg("server stopped with an error")
	}
}
