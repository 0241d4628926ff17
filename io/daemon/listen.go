package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// listen opens a listener; the error tells an operator what to look for.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address.String())
	return l, errors.Annotatef(err, "listen on %s; check that no other process uses it", address)
}

// report logs why a server ended, unless it was told to.
func report(log zerolog.Logger, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Msg("a listener ended")
	}
}
