package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/io/logs"
)

// TestLogLinesAreBounded guards against callers who fill the log with what they choose: an id, a host, a
// target or a header of many kilobytes.
func TestLogLinesAreBounded(t *testing.T) {
	const long, maxLine = 60 << 10, 2 << 10
	for name, change := range map[string]func(r *http.Request){
		"id":         func(r *http.Request) { r.Header.Set("Id", strings.Repeat("i", long)) },
		"host":       func(r *http.Request) { r.Host = strings.Repeat("h", long) },
		"target":     func(r *http.Request) { r.URL.Path = "/once/" + strings.Repeat("t", long) },
		"last event": func(r *http.Request) { r.Header.Set("Last", strings.Repeat("e", long)) },
	} {
		for answerName, answer := range map[string]reply{"answered": okAnswer, "refused": shedAnswer, "closed": hangUp} {
			t.Run(name+" "+answerName, func(t *testing.T) {
				inst := newTestInstance(t, answer, answer).ready(t)
				var log lockedBuffer
				inst.proxy.Log = zerolog.New(&log)
				server := httptest.NewServer(inst.proxy.Handler(testCallerCodec{}))
				r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+"/once/", nil)
				if err != nil {
					t.Fatal(err)
				}
				r.Host = "h"
				r.Header.Set("Id", "q1")
				change(r)
				if response, err := http.DefaultClient.Do(r); err == nil {
					_ = response.Body.Close()
				}
				server.Close()
				log.mu.Lock()
				defer log.mu.Unlock()
				for line := range strings.Lines(log.text.String()) {
					if len(line) > maxLine {
						t.Errorf("line of %d bytes: %.300s", len(line), line)
					}
				}
				if log.text.Len() == 0 {
					t.Error("nothing logged")
				}
			})
		}
	}
}

// TestRefusalLinesAreBounded guards against callers who fill the log with requests that no route takes, and against
// a log that lacks answered requests meanwhile.
func TestRefusalLinesAreBounded(t *testing.T) {
	inst := newTestInstance(t, okAnswer, okAnswer).ready(t)
	var log lockedBuffer
	inst.proxy.Log = zerolog.New(&log)
	server := httptest.NewServer(inst.proxy.Handler(testCallerCodec{}))
	call := func(path string) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Id", "q1")
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}
	began := time.Now()
	const requests = 10 * logs.MaxSampledLines
	for n := range requests {
		call("/none/")
		if n%logs.MaxSampledLines == 0 {
			call("/once/")
		}
	}
	server.Close()
	seconds := int(time.Since(began)/time.Second) + 2
	log.mu.Lock()
	defer log.mu.Unlock()
	text := log.text.String()
	if lines := strings.Count(text, "unknown-call"); lines > min(seconds*logs.MaxSampledLines, requests) || lines == 0 {
		t.Errorf("%d lines about refusals in %d s", lines, seconds)
	}
	if lines := strings.Count(text, "request answered"); lines != requests/logs.MaxSampledLines {
		t.Errorf("%d lines about answered requests", lines)
	}
}
