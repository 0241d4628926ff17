package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ask is one requester attempt.
type ask struct {
	id, path, prefix   string
	lastEvent, resumes string
	deadline           time.Duration
	plain              bool
}

// got is what the requester has seen of the answer.
type got struct {
	sentAt, headAt, endAt time.Duration
	status                int
	retryAfter            float64
	// events holds the texts of the whole events, by their order, and ids their ids.
	events []string
	ids    []int
	// complete is set if the answer's end is one that the protocol takes as complete.
	complete bool
	framing  string
	err      error
}

const host = "ficu95.example"

// send sends a request on a new connection and reads its answer. onEvent, if set, is called after
// each whole event.
func (l *lab) send(address string, a ask, onEvent func(n int)) got {
	result := got{sentAt: l.elapsed()}
	defer func() {
		l.note("requester: %s at %s: status %d, %d events, complete %v, %s, error %v", a.id, a.path, result.status, len(result.events), result.complete, result.framing, result.err)
	}()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		result.err = err
		return result
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(a.deadline))
	var text strings.Builder
	method := "POST"
	if a.plain {
		method = "GET"
	}
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nArbutustrestle-Request-Id: %s\r\nArbutustrestle-Deadline-Ms: %d\r\n", method, a.path, host, a.id, a.deadline.Milliseconds())
	if !a.plain {
		fmt.Fprintf(&text, "Arbutustrestle-Model: m\r\nArbutustrestle-Token-Counts: 400,80\r\nArbutustrestle-Prompt-Prefix: %s\r\n", a.prefix)
	}
	if a.lastEvent != "" {
		fmt.Fprintf(&text, "Last-Event-Id: %s\r\nResumes: %s\r\n", a.lastEvent, a.resumes)
	}
	body := ""
	if !a.plain {
		body = "{\"prompt\":\"" + a.id + "\"}"
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	l.note("requester: %s sends %s last=%q resumes=%q", a.id, a.path, a.lastEvent, a.resumes)
	if _, err := io.WriteString(c, text.String()); err != nil {
		result.err = err
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	result.headAt = l.elapsed()
	result.status = response.StatusCode
	result.retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	result.framing = "ends with its connection"
	if response.ContentLength >= 0 {
		result.framing = "has a length"
	} else if len(response.TransferEncoding) > 0 {
		result.framing = "has chunks"
	}
	result.read(response, onEvent)
	result.endAt = l.elapsed()
	return result
}

func (g *got) read(response *http.Response, onEvent func(n int)) {
	reader := bufio.NewReader(response.Body)
	var event strings.Builder
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			// The end inside an event isn't that of a whole answer.
			inside := strings.Contains(response.Header.Get("Content-Type"), "event-stream") && event.Len() > 0
			g.complete = errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !inside
			if !g.complete {
				g.err = err
			}
			return
		}
		if line == "\n" {
			g.add(event.String())
			event.Reset()
			if onEvent != nil {
				onEvent(len(g.events))
			}
		}
	}
}

func (g *got) add(event string) {
	g.events = append(g.events, event)
	for line := range strings.Lines(event) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			g.ids = append(g.ids, n)
		}
	}
}

// versions returns the versions of the software that the events come from.
func versions(events []string) map[string]int {
	count := map[string]int{}
	for _, e := range events {
		if i := strings.LastIndex(e, " by "); i >= 0 {
			count[strings.TrimSpace(e[i+4:])]++
		}
	}
	return count
}
