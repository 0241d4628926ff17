package proxy

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/mirror"
	"arbutustrestle/core/result"
	"arbutustrestle/io/ending"
)

// panicCodec panics on requests to one path.
type panicCodec struct{ testCallerCodec }

func (c panicCodec) ParseRequest(r *http.Request) (Request, error) {
	if strings.HasPrefix(r.URL.Path, "/once/panic") {
		panic("no such field")
	}
	return c.testCallerCodec.ParseRequest(r)
}

// TestPanicEndsOneRequest guards against an unexpected error that ends the whole process, or
// leaves its caller without an answer: that one request is answered, as one that may have run,
// it is counted, and others are served.
func TestPanicEndsOneRequest(t *testing.T) {
	inst := newTestInstance(t, okAnswer, okAnswer).ready(t)
	server := httptest.NewServer(inst.proxy.Handler(panicCodec{}))
	defer server.Close()
	post := func(path string) int {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Id", "1")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	if status := post("/once/panic"); status != http.StatusBadGateway {
		t.Errorf("status %d after a panic", status)
	}
	if status := post("/once/x"); status != http.StatusOK {
		t.Errorf("status %d of the next request", status)
	}
	if count := inst.proxy.Metrics.Events.Get("panics"); count == nil || count.String() != "1" {
		t.Errorf("%v panics counted", count)
	}
	// The last answer may arrive before its handler has returned.
	for end := time.Now().Add(2 * time.Second); inst.proxy.InFlight() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests in flight", inst.proxy.InFlight())
		}
	}
	if got := result.InternalError.String(); got != "internal-error" {
		t.Errorf("the reason is called %q", got)
	}
}

// panicDecoder panics on one key.
type panicDecoder struct{ mirror.Decoder }

func (d panicDecoder) Decode(i mirror.Item) (mirror.Change, error) {
	if i.Key == "bad" {
		panic("index out of range")
	}
	return d.Decoder.Decode(i)
}

// TestPanicOnOneValue guards against a published value that ends the process, or keeps those
// beside it from becoming active.
func TestPanicOnOneValue(t *testing.T) {
	inst := newTestInstanceWith(t, okAnswer, okAnswer, func(d mirror.Decoder) mirror.Decoder { return panicDecoder{d} })
	inst.source.mu.Lock()
	config := inst.source.items[mirror.OperatorGroup]
	inst.source.items = map[mirror.Group][]mirror.Item{
		mirror.OperatorGroup:  append([]mirror.Item{{Key: "bad", Revision: 1}}, config...),
		mirror.UpstreamsGroup: append([]mirror.Item{{Key: "bad", Revision: 1}}, inst.source.items[mirror.UpstreamsGroup]...),
	}
	inst.source.mu.Unlock()
	inst.ready(t)
	if response, _, err := inst.send(t, "/once/", "", nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v, %v", response, err)
	}
}

// panicWriter panics at the second write of an answer's body.
type panicWriter struct {
	http.ResponseWriter
	writes int
}

func (w *panicWriter) Write(p []byte) (int, error) {
	if w.writes++; w.writes == 2 {
		panic("no such part")
	}
	return w.ResponseWriter.Write(p)
}

func (w *panicWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestPanicInAnswer guards against an answer that looks whole although an unexpected error has ended it
// in the middle, for an answer in chunks and one that ends with its connection.
func TestPanicInAnswer(t *testing.T) {
	for name, do := range map[string]reply{
		"chunks": chunked(false, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"),
		"close": func(c net.Conn, r *http.Request) {
			untilClose(false, "id: 1\ndata: a\n\n")(c, r)
			waitUntilRead()
			_, _ = c.Write([]byte("id: 2\ndata: b\n\n"))
		},
	} {
		inst := newTestInstance(t, do, do).ready(t)
		handler := inst.proxy.Handler(testCallerCodec{})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(&panicWriter{ResponseWriter: w}, r)
		}))
		server.Config.ConnContext = ending.ConnContext
		server.Start()
		inst.server.URL = server.URL
		_, body, err := inst.send(t, "/stream/", "", nil)
		if err == nil {
			t.Errorf("%s: %q looks whole", name, body)
		}
		server.Close()
	}
}
