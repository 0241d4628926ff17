package http1

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/clock"
)

// TestAnswersOfNetHTTP guards against refusing what servers of net/http send.
func TestAnswersOfNetHTTP(t *testing.T) {
	forms := map[string]http.HandlerFunc{
		"plain": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") },
		"empty": func(w http.ResponseWriter, _ *http.Request) {},
		"204":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"304":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) },
		"205":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusResetContent) },
		"404":   func(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) },
		"299":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(299) },
		"early hints": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "whole")
		},
		"flushed": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "wh")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "ole")
		},
		"trailer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "whole")
			w.(http.Flusher).Flush()
			w.Header().Set("X-Sum", "1")
		},
		"close": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		},
		"identity": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "whole")
		},
		"encoded": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "br")
			_, _ = io.WriteString(w, "whole")
		},
		"obs-text": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", "a\xe9")
			_, _ = io.WriteString(w, "whole")
		},
		"new line": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", "a\nb")
			_, _ = io.WriteString(w, "whole")
		},
		"100 fields": func(w http.ResponseWriter, _ *http.Request) {
			for n := range 100 {
				w.Header().Add(fmt.Sprintf("X-%d", n), "v")
			}
			_, _ = io.WriteString(w, "whole")
		},
		"304 with length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			w.WriteHeader(http.StatusNotModified)
		},
		"204 with length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusNoContent)
		},
	}
	for name, form := range forms {
		for _, method := range []string{"GET", "HEAD", "POST", "DELETE"} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", "q")
				w.Header().Set("Signed", "1")
				form(w, r)
			}))
			client := NewClient(testCodec{}, clock.System{}, time.Second)
			a, f := client.Send(t.Context(), &Attempt{RequestID: "q", Upstream: "u-1", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Method: method, Target: "/", Host: "h"})
			if f != nil {
				t.Errorf("%s %s: %v", name, method, f)
			} else {
				if text, err := io.ReadAll(a.Body); err != nil {
					t.Errorf("%s %s: %q %v", name, method, text, err)
				}
				_ = a.Body.Close()
			}
			server.Close()
		}
	}
}
