// Package emul holds what the stand-ins for the outside systems share: a server
// that can be stopped and refused, the log of what ran, and the marker by which
// a test follows a workspace's data.
package emul

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// Server serves one handler on one address.
type Server struct {
	// server, address and cancel do not change after Listen.
	server  *http.Server
	address netip.AddrPort
	cancel  context.CancelFunc

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
}

// Listen starts to serve the handler. Port 0 takes a free port. The error is
// that of the network.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		cancel: cancel,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
		},
	}
	if err := s.listen(address); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

func (s *Server) listen(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Annotatef(err, "listen on %s", address)
	}
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	s.listener = listener
	go func() {
		// Serve returns when the listener closes, by Refuse, Stop or Close.
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Addr returns the address that is, or was, listened on.
func (s *Server) Addr() netip.AddrPort {
	return s.address
}

// Refuse closes the listener, so that new connections are refused. Connections
// that are open stay open. The server itself closes a listener only once it has
// begun to accept.
func (s *Server) Refuse() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil
	}
	err := s.listener.Close()
	s.listener = nil
	return errors.Trace(err)
}

// Resume listens again on the same address after Refuse. It fails when another
// process has taken the port.
func (s *Server) Resume() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	return s.listen(s.address)
}

// Stop refuses new connections and waits for the requests that run, until the
// context ends; then it cuts off the rest and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	_ = s.Refuse()
	err := s.server.Shutdown(ctx)
	s.cancel()
	if err != nil {
		_ = s.server.Close()
	}
	return errors.Trace(err)
}

// Close cuts off everything at once, as a killed process would.
func (s *Server) Close() {
	_ = s.Refuse()
	s.cancel()
	_ = s.server.Close()
}
