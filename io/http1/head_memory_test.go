package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
)

// TestHeadWithoutMemory guards against heads that are held without a bound for all answers together: an
// ordinary one is read while others hold all memory, a large one, whole or not, ends its attempt with a
// closed connection, and nothing of either is held afterwards.
func TestHeadWithoutMemory(t *testing.T) {
	const limit, free = 64 << 10, 16 << 10
	const start = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\nA: 1\r\n\r\n", 100)
	for _, c := range []struct {
		name, text string
		answered   bool
	}{
		{"ordinary", start + strings.Repeat("X-Field: value\r\n", 15) + "Content-Length: 1\r\n\r\nz", true},
		{"after interim answers", interim + start + "Content-Length: 1\r\n\r\nz", true},
		{"many fields", start + strings.Repeat("X: y\r\n", 200) + "Content-Length: 1\r\n\r\nz", false},
		{"many fields without end", start + strings.Repeat("X: y\r\n", 200), false},
		{"long line without end", start + "X: " + strings.Repeat("y", 40<<10), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				defer close(closed)
				_, _ = fmt.Fprint(conn, c.text)
				_, _ = conn.Read(make([]byte, 1))
				return false
			})
			client := newClient()
			client.Memory = &memory.Budget{Limit: limit, Free: free}
			others := client.Memory.NewShare()
			others.Add(limit + free)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, failure := client.Send(ctx, attempt(u, "1"))
			if c.answered != (failure == nil) {
				t.Fatalf("failure %v", failure)
			}
			if failure != nil && (failure.Reason != result.AnswerMemory || failure.Outcome != result.Unknown) {
				t.Errorf("failure %v", failure)
			}
			if answer != nil {
				body, err := io.ReadAll(answer.Body)
				if err != nil || string(body) != "z" {
					t.Errorf("body %q, error %v", body, err)
				}
				_ = answer.Body.Close()
				answer.Memory.Release()
				client.CloseExpiredConns()
			}
			if used := client.Memory.Used(); used != limit {
				t.Errorf("%d bytes held, %d by others", used, limit)
			}
			if failure == nil {
				return
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}
