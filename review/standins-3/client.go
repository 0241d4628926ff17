package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// newID returns the id of a requester attempt.
func newID(name string) string {
	return fmt.Sprintf("%s-%d", name, requestCount.Add(1))
}

// outcome is what a requester has seen.
type outcome struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%v after %d ms", o.err, o.took.Milliseconds())
	}
	return fmt.Sprintf("%d, stamp %q, retry-after %q, leaving %q, %d bytes, after %d ms", o.status, o.header.Get("Arbutustrestle-Server-Stamp"),
		o.header.Get("Retry-After"), o.header.Get("Server-Leaving"), len(o.body), o.took.Milliseconds())
}

// send sends one requester attempt on a connection of its own and reads the whole answer.
func send(front, method, host, path, id string, body []byte, deadline time.Duration) outcome {
	start := time.Now()
	o := outcome{id: id}
	logEvent("client", "sends %s: %s %s, %d bytes, to %s", id, method, path, len(body), front)
	defer func() {
		o.took = time.Since(start)
		logEvent("client", "%s: %s", id, o)
	}()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(start.Add(deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nArbutustrestle-Request-Id: %s\r\nArbutustrestle-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes(), body}
	written := make(chan error, 1)
	go func() {
		_, err := buffers.WriteTo(conn)
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.header = response.StatusCode, response.Header
	o.body, o.err = io.ReadAll(response.Body)
	return o
}
