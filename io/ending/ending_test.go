package ending_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"arbutustrestle/io/ending"
)

// wrapped is a connection as a listener with a limit hands it out.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

type wrapping struct{ net.Listener }

func (w wrapping) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrapped{c}, nil
}

// TestEndOfConnection guards against an answer that looks whole since its connection was closed
// while it was not: only InOrder makes the end orderly.
func TestEndOfConnection(t *testing.T) {
	for path, cut := range map[string]bool{"/reset": true, "/in-order": false} {
		for _, wrap := range []bool{false, true} {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Transfer-Encoding", "identity")
				if err := ending.Reset(r); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				if r.URL.Path == "/in-order" {
					if err := ending.InOrder(r, http.NewResponseController(w)); err != nil {
						t.Error(err)
					}
					return
				}
				// The caller must have read the part, or the reset discards it.
				time.Sleep(50 * time.Millisecond)
			}))
			server.Config.ConnContext = ending.ConnContext
			if wrap {
				server.Listener = wrapping{server.Listener}
			}
			server.Start()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if string(body) != "part" || errors.Is(err, syscall.ECONNRESET) != cut {
				t.Errorf("%s, wrapped %v: %q, error %v", path, wrap, body, err)
			}
			_ = conn.Close()
			server.Close()
		}
	}
}

// TestWithoutConnection guards against a server without the hook passing answers on as if their end
// could be told.
func TestWithoutConnection(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	if err := ending.Reset(r); err == nil {
		t.Error("no error for a request without a connection")
	}
}
