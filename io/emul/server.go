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
	// The next fields do not change after Listen.
	server  *http.Server
	address netip.AddrPort
	// cancel ends the contexts of all requests.
	cancel context.CancelFunc
	// release ends the requests that only wait.
	release context.CancelFunc

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
}

// Listen starts to serve the handler. Port 0 takes a free port. The error is
// that of the network.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stopping, release := context.WithCancel(context.Background())
	ctx = context.WithValue(ctx, stoppingKey{}, stopping.Done())
	s := &Server{
		cancel:  cancel,
		release: release,
		server: &http.Server{
			Handler:           abortCancelled(handler),
			ReadHeaderTimeout: headerTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
		},
	}
	if err := s.listen(address); err != nil {
		cancel()
		release()
		return nil, err
	}
	return s, nil
}

// abortCancelled cuts the connection of a request whose context ended, so that a
// handler that gave up never looks like one that answered.
func abortCancelled(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

type stoppingKey struct{}

// Stopping returns a channel that is closed when the server of the request begins
// to stop. A request that only waits ends then; one that works is finished.
func Stopping(ctx context.Context) <-chan struct{} {
	stopping, _ := ctx.Value(stoppingKey{}).(<-chan struct{})
	return stopping
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

// RefuseConns closes the listener, so that new connections are refused. Connections
// that are open stay open. The server itself closes a listener only once it has
// begun to accept.
func (s *Server) RefuseConns() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return nil
	}
	err := s.listener.Close()
	s.listener = nil
	return errors.Trace(err)
}

// AcceptConns listens again on the same address after Refuse. It fails when another
// process has taken the port.
func (s *Server) AcceptConns() error {
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
	_ = s.RefuseConns()
	s.release()
	err := s.server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		// Refuse closed the listener before the server had noted its end.
		err = nil
	}
	if err != nil {
		_ = s.server.Close()
	}
	s.cancel()
	return errors.Trace(err)
}

// Close cuts off everything at once, as a killed process would.
func (s *Server) Close() {
	_ = s.RefuseConns()
	_ = s.server.Close()
	s.release()
	s.cancel()
}
