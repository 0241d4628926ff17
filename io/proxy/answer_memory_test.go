package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/memory"
)

// newFullInstance returns an instance whose memory for answers is held by others but for the free
// bytes of each.
func newFullInstance(t *testing.T, do reply) (*testInstance, *memory.Budget) {
	t.Helper()
	const limit, free = 64 << 10, 16 << 10
	inst := newTestInstance(t, do, do)
	budget := &memory.Budget{Limit: limit, Free: free}
	inst.proxy.AnswerMemory, inst.proxy.UpstreamClient.Memory = budget, budget
	others := budget.NewShare()
	if !others.Add(limit + free) {
		t.Fatal("the memory can't be taken")
	}
	return inst.ready(t), budget
}

// checkReleased checks that only the others still hold memory.
func checkReleased(t *testing.T, budget *memory.Budget) {
	t.Helper()
	for range 200 {
		if budget.Used() == budget.Limit {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d bytes held, %d by others", budget.Used(), budget.Limit)
}

// TestAnswersWithoutMemory guards against answers that fail, or are cut or changed, because others
// hold the memory for answers: those that need not be held are passed on as they arrive.
func TestAnswersWithoutMemory(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	event := fmt.Sprintf("id: 1\ndata: %s\n\n", strings.Repeat("e", 5<<10))
	for _, c := range []struct {
		name, path string
		do         reply
		status     int
		want       string
	}{
		{"small", "/once/", answer("200 OK\r\nSigned: 1", "fine"), 200, "fine"},
		{"large", "/once/", answer("200 OK\r\nSigned: 1", long), 200, long},
		{"large error", "/safe/", answer("500 Broken\r\nSigned: 1", long), 500, long},
		{"stream", "/stream/", chunked(false, event, event), 200, event + event},
		{"event", "/resume/", chunked(false, event[:2<<10], event[2<<10:], event), 200, event + event},
	} {
		t.Run(c.name, func(t *testing.T) {
			inst, budget := newFullInstance(t, c.do)
			response, body, err := inst.send(t, c.path, "", nil)
			if err != nil || response.StatusCode != c.status || body != c.want {
				t.Errorf("response %v, %d bytes, error %v", response, len(body), err)
			}
			checkReleased(t, budget)
		})
	}
}

// TestEventWithoutMemory guards against events that are held without a bound for all answers
// together. The failure names the memory and not the upstream, which keeps its requests.
func TestEventWithoutMemory(t *testing.T) {
	t.Run("event", func(t *testing.T) { testEventWithoutMemory(t, "data: ") })
	t.Run("id", func(t *testing.T) { testEventWithoutMemory(t, "data: x\nid: ") })
}

func testEventWithoutMemory(t *testing.T, start string) {
	t.Helper()
	part := strings.Repeat("x", 8<<10)
	inst, budget := newFullInstance(t, func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n%s", r.Header.Get("Id"), start)
		for range 8 {
			_, _ = io.WriteString(c, part)
		}
		_, _ = c.Read(make([]byte, 1))
	})
	response, body, err := inst.send(t, "/resume/", "", nil)
	if err != nil || response.StatusCode != http.StatusBadGateway || !strings.Contains(body, `"answer-memory"`) || !strings.Contains(body, `"unknown"`) {
		t.Errorf("response %v, body %s, error %v", response, body, err)
	}
	if budget.Refused() == 0 {
		t.Error("not counted")
	}
	checkReleased(t, budget)
}
