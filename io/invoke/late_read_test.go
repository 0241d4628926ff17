package invoke_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/io/invoke"
)

// TestLongBodyReadLate guards against a bound for vanished upstreams that ends a call whose upstream
// lives and reads its long body late.
func TestLongBodyReadLate(t *testing.T) {
	t.Parallel()
	const size = 16 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(9 * time.Second)
		n, err := io.Copy(io.Discard, r.Body)
		if n != size || err != nil {
			t.Errorf("%d bytes read, %v", n, err)
		}
		w.Header().Set(invoke.HeaderRequestID, r.Header.Get(invoke.HeaderRequestID))
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	client := invoke.NewClient(0, 0, 0)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
	defer cancel()
	var s sink
	_, failure := client.Do(ctx, &invoke.Attempt{
		RequestID: "q", Upstream: "u-1", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Method: "POST", Path: "/", Body: make([]byte, size),
	}, &s)
	if failure != nil || string(s.body) != "whole" {
		t.Errorf("%q, %v", s.body, failure)
	}
}
