package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// endlessReplies send bytes without end, in each place of an answer.
func endlessReplies() map[string]reply {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n"
	text := strings.Repeat("x", 64<<10)
	return map[string]reply{
		"status line": endless("", text),
		"header":      endless(head+"X: ", text),
		"chunk size":  endless(head+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 64<<10)),
		"trailer":     endless(head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 10_000)),
		"length":      endless(head+"Content-Length: 99999999999\r\n\r\n", text),
		"chunks":      endless(head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(text), text)),
		"close":       endless(head+"\r\n", text),
	}
}

// endless returns a reply that sends a start, with the id of the request, and then a text
// until the connection is closed.
func endless(start, text string) reply {
	return func(c net.Conn, r *http.Request) {
		if start != "" {
			_, _ = fmt.Fprintf(c, start, r.Header.Get("Id"))
		}
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// TestEndlessEvent guards against an event without end in a resumable stream, which is held
// until it is whole.
func TestEndlessEvent(t *testing.T) {
	do := endless("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\ndata: ", strings.Repeat("x", 64<<10))
	inst := newTestInstance(t, do, do).ready(t)
	began := time.Now()
	if response, _, err := inst.send(t, "/resume/", "", nil); err == nil && response.StatusCode == http.StatusOK {
		t.Errorf("response %v", response)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("ended after %s, as late as the route's timeout allows", took)
	}
}

// BenchmarkEndlessAnswers reports the memory of an instance with 100 answers without end at
// once, for each place in an answer and each kind of route.
func BenchmarkEndlessAnswers(b *testing.B) {
	const concurrent = 100
	for name, do := range endlessReplies() {
		for _, path := range []string{"/once/", "/stream/", "/resume/"} {
			b.Run(name+path, func(b *testing.B) {
				inst := newTestInstance(b, do, do).ready(b)
				for b.Loop() {
					done := make(chan struct{})
					peak := make(chan uint64)
					go func() { peak <- peakHeap(done) }()
					var requests sync.WaitGroup
					for range concurrent {
						requests.Go(func() { inst.discard(path) })
					}
					requests.Wait()
					close(done)
					b.ReportMetric(float64(<-peak)/(1<<20), "peak-MB")
				}
			})
		}
	}
}

// discard sends a request and reads its answer without holding it.
func (inst *testInstance) discard(path string) {
	r, err := http.NewRequest(http.MethodPost, inst.server.URL+path, strings.NewReader(""))
	if err != nil {
		return
	}
	r.Host = "h"
	r.Header.Set("Id", "q")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// peakHeap samples the memory in use until done is closed.
func peakHeap(done chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse+m.StackInuse)
		select {
		case <-done:
			return peak
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestSlowBody guards against a caller that sends its body a byte at a time holding its
// request past the route's timeout.
func TestSlowBody(t *testing.T) {
	inst := newTestInstance(t, okAnswer, okAnswer).ready(t)
	c, err := net.Dial("tcp", inst.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /single/ HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 90\r\n\r\n")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				_, _ = io.WriteString(c, "x")
			}
		}
	}()
	began := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("%v, error %v", response, err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %s", took)
	}
	if inst.arrivals() != 0 {
		t.Error("the request was sent")
	}
}
