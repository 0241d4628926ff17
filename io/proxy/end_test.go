package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// logText is what an entry has logged; it is safe for concurrent use.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestStatusInLog looks for the status that an upstream answered with in the line of a
// request's end: an upstream's own failure is answered in whole too, and who looks for
// it has nothing else to go by.
func TestStatusInLog(t *testing.T) {
	for name, do := range map[string]reply{`"status":200`: fine, `"status":500`: broken} {
		w := newWorld(t, do, do).ready(t)
		text := &logText{}
		w.core.Log = zerolog.New(text)
		if _, _, err := w.ask(t, "/once/", "", nil); err != nil {
			t.Fatal(err)
		}
		// The line is written after the answer.
		for end := time.Now().Add(5 * time.Second); !strings.Contains(text.String(), name); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("no %s in %s", name, text)
			}
		}
	}
}

// TestUpstreamGone has an upstream fall silent in the middle of a stream that may not be
// resumed, without closing anything, as one without power does. The caller has to be told
// soon after. An upstream that takes connections may only stand still, and is waited for.
func TestUpstreamGone(t *testing.T) {
	t.Parallel()
	for name, dark := range map[string]bool{"gone": true, "still": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, nil, nil)
			silent := func(c net.Conn, r *http.Request) {
				if dark {
					for _, u := range w.upstreams {
						_ = u.listener.Close()
					}
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n")
				time.Sleep(2 * minStall)
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			w.do(silent)
			w.ready(t)
			began := time.Now()
			_, body, err := w.ask(t, "/long/", "", nil)
			took := time.Since(began)
			if !strings.HasPrefix(body, "id: 1") {
				t.Fatalf("%q, error %v", body, err)
			}
			if dark && (err == nil || took > minStall+time.Second) {
				t.Errorf("told after %s, error %v", took, err)
			}
			if !dark && err != nil {
				t.Errorf("cut after %s: %v", took, err)
			}
		})
	}
}
