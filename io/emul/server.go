// Package emul holds the parts that the stand-ins for outside systems share: a server
// that can refuse connections and stop, the log of runs, and the marker by which a
// test traces a workspace's data.
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

// headerTimeout limits the reading of a request's header.
const headerTimeout = 10 * time.Second

// Server serves one handler on one address.
type Server struct {
	// The next fields do not change after Listen.
	server  *http.Server
	address netip.AddrPort
	// cancel cancels the contexts of all requests.
	cancel context.CancelFunc
	// cancelWaiting ends the requests that only wait, by the channel of Stopping.
	cancelWaiting context.CancelFunc

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
}

// Listen starts serving the handler on the address. Port 0 selects a free port. It
// fails only if it can't listen on the address.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stopping, cancelWaiting := context.WithCancel(context.Background())
	ctx = context.WithValue(ctx, stoppingKey{}, stopping.Done())
	s := &Server{
		cancel:        cancel,
		cancelWaiting: cancelWaiting,
		server: &http.Server{
			Handler:           abortCancelled(handler),
			ReadHeaderTimeout: headerTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
		},
	}
	if err := s.listen(address); err != nil {
		cancel()
		cancelWaiting()
		return nil, err
	}
	return s, nil
}

// abortCancelled closes the connection of a request whose context has ended.
// Otherwise the caller could take an abandoned request for a complete response.
func abortCancelled(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	})
}

type stoppingKey struct{}

// Stopping returns a channel that is closed when the server of the request begins to
// stop. A request that only waits ends then; a request that runs is completed.
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
		// Serve returns when RefuseConns, Stop or Close closes the listener.
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Addr returns the address of the listener, also while it is closed.
func (s *Server) Addr() netip.AddrPort {
	return s.address
}

// RefuseConns closes the listener, so that new connections are refused. Open
// connections stay open. It closes the listener itself, since http.Server closes a
// listener only after it has begun to accept.
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

// AcceptConns listens again on the same address after RefuseConns. It fails if
// another process uses the port.
func (s *Server) AcceptConns() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	return s.listen(s.address)
}

// Stop refuses new connections and waits for the running requests. When the context
// ends it closes the remaining connections and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	_ = s.RefuseConns()
	s.cancelWaiting()
	err := s.server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		// RefuseConns closed the listener before the server had registered its end.
		err = nil
	}
	if err != nil {
		_ = s.server.Close()
	}
	s.cancel()
	return errors.Trace(err)
}

// Close closes the listener and all connections at once, as if the process was killed.
func (s *Server) Close() {
	_ = s.RefuseConns()
	_ = s.server.Close()
	s.cancelWaiting()
	s.cancel()
}
