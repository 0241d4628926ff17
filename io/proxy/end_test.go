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

// logText collects the log of an instance. It is safe for concurrent use.
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

// TestStatusInLog checks that the log line of a request contains the status that the
// upstream answered with. An upstream's own error answer is passed on completely, so the
// status is the only trace of it.
func TestStatusInLog(t *testing.T) {
	for name, do := range map[string]reply{`"status":200`: okAnswer, `"status":500`: errorAnswer} {
		inst := newTestInstance(t, do, do).ready(t)
		text := &logText{}
		inst.proxy.Log = zerolog.New(text)
		if _, _, err := inst.send(t, "/once/", "", nil); err != nil {
			t.Fatal(err)
		}
		// The line is written after the answer.
		for end := time.Now().Add(5 * time.Second); !strings.Contains(text.String(), name); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("log doesn't contain %s: %s", name, text)
			}
		}
	}
}

// TestUnreachableUpstream stops an upstream in the middle of a stream that isn't
// resumable, without closing the connection, as a loss of power does. The caller must
// receive an error soon after. If the upstream still accepts connections, it may only be
// paused, so the request must wait for it.
func TestUnreachableUpstream(t *testing.T) {
	t.Parallel()
	for name, unreachable := range map[string]bool{"gone": true, "still": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inst := newTestInstance(t, nil, nil)
			reply := func(c net.Conn, r *http.Request) {
				if unreachable {
					for _, u := range inst.upstreams {
						_ = u.listener.Close()
					}
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len("id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n")
				time.Sleep(2 * minStallTimeout)
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			inst.setReply(reply)
			inst.ready(t)
			began := time.Now()
			_, body, err := inst.send(t, "/long/", "", nil)
			took := time.Since(began)
			if !strings.HasPrefix(body, "id: 1") {
				t.Fatalf("%q, error %v", body, err)
			}
			if unreachable && (err == nil || took > minStallTimeout+time.Second) {
				t.Errorf("request ended after %s, error %v", took, err)
			}
			if !unreachable && err != nil {
				t.Errorf("request cut off after %s: %v", took, err)
			}
		})
	}
}
