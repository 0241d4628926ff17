// Package http1 makes one attempt of a request at one upstream over HTTP/1.1 and reports
// whether the request may have run. It manages its own connections: each carries one
// request at a time, a connection on which unexpected data has arrived is never reused,
// and no request is resent without the caller's decision.
package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/event"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/io/syntax"
)

// Codec writes the headers of attempts and parses the headers of their answers.
type Codec interface {
	// RequestHeader returns the header of an attempt: the caller's headers and those
	// that this system adds.
	RequestHeader(a *Attempt) http.Header
	// ParseResponse parses the head of an answer.
	ParseResponse(status int, h http.Header) AnswerMeta
}

// Client makes attempts. Its fields are set before the first use.
type Client struct {
	Codec Codec
	// Memory bounds what is held of all answers together; nil if nothing does.
	Memory *memory.Budget
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// DialCount counts the connections that were dialed.
	DialCount atomic.Int64

	conns     connPool
	sentinels sentinels
}

// NewClient returns a client without connections.
func NewClient(codec Codec, c clock.Clock, dialTimeout time.Duration) *Client {
	client := &Client{Codec: codec, DialTimeout: dialTimeout, conns: connPool{clock: c}}
	client.sentinels = sentinels{clock: c, open: func(ctx context.Context, k connKey) (net.Conn, error) {
		return client.open(ctx, k)
	}}
	return client
}

// WatchIdleConns makes the client call a function, in a goroutine of its own, when the last idle
// connection to an upstream was closed by the upstream without notice. It is called before the
// first request.
func (c *Client) WatchIdleConns(ended func(id ident.Upstream, address netip.AddrPort)) {
	c.conns.ended = func(k connKey) { ended(k.upstream, k.address) }
}

// CloseExpiredConns closes connections that have been idle for too long. It must be
// called every few seconds.
func (c *Client) CloseExpiredConns() {
	c.conns.closeExpired()
}

// listenerCloseTime is longer than a kernel takes to close all sockets of a process.
const listenerCloseTime = 20 * time.Millisecond

// Send sends the request and returns the head of its answer. The outcome of a failure is
// NotRun if no part of the request was sent or the upstream states that nothing ran.
// When the context ends, Send closes the connection, so that the upstream stops working
// on the request.
func (c *Client) Send(ctx context.Context, a *Attempt) (*Answer, *result.Failure) {
	key := connKey{a.Upstream, a.Address}
	connection := c.idleConn(a, key)
	if connection == nil {
		began := c.conns.clock.Now()
		opened, err := c.open(ctx, key)
		if a.Dialed != nil && (err == nil || ctx.Err() == nil) {
			a.Dialed(began, err)
		}
		if err != nil {
			return nil, c.failure(ctx, a, result.NotRun, result.ConnectFailed, err)
		}
		connection = opened
	}
	if a.Admit != nil && !a.Admit() {
		c.conns.put(connection, defaultIdleTime)
		return nil, c.failure(ctx, a, result.NotRun, result.UpstreamChanged, nil)
	}
	reusable := connection.requests.add(a.RequestID, a.Method)
	acks := watchAcks(connection, c.conns.clock)
	stop := context.AfterFunc(ctx, func() {
		acks.stop()
		_ = connection.Close()
	})
	x := &exchange{client: c, attempt: a, memory: c.Memory.NewShare(), conn: connection, acks: acks, stopCancel: stop, writeResult: make(chan error, 1), notReusable: !reusable}
	answer, failure := x.run(ctx)
	if failure != nil {
		x.memory.Release()
		x.discard()
		return nil, failure
	}
	answer.Memory = x.memory
	if answer.Framing == FramedByClose {
		answer.Body.(*body).end = x.watchEnd(ctx)
	}
	return answer, nil
}

// idleConn returns an idle connection for an attempt, or nil.
func (c *Client) idleConn(a *Attempt, key connKey) *conn {
	if a.NewConnection {
		return nil
	}
	return c.conns.take(key, a.RequestID)
}

func (c *Client) open(ctx context.Context, k connKey) (*conn, error) {
	c.DialCount.Add(1)
	return dial(ctx, k, c.DialTimeout)
}

// CanConnect reports whether an upstream accepts connections at its address. It sends no
// data.
func (c *Client) CanConnect(ctx context.Context, id ident.Upstream, address netip.AddrPort) bool {
	opened, err := c.open(ctx, connKey{id, address})
	if err != nil {
		return false
	}
	_ = opened.Close()
	return true
}

// KeepsConnection reports whether an upstream accepts a connection and doesn't end in the time that
// the kernel takes to close the listener of a process that ends after its connections. It sends no
// data.
func (c *Client) KeepsConnection(ctx context.Context, id ident.Upstream, address netip.AddrPort) bool {
	opened, err := c.open(ctx, connKey{id, address})
	if err != nil {
		return false
	}
	defer func() { _ = opened.Close() }()
	_ = opened.SetReadDeadline(time.Now().Add(listenerCloseTime))
	if _, err = opened.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	return c.CanConnect(ctx, id, address)
}

// failure returns the failure of an attempt. If the context has ended, its reason
// replaces the reason given, since the closed connection causes any error that follows.
func (c *Client) failure(ctx context.Context, a *Attempt, o result.Outcome, r result.Reason, err error) *result.Failure {
	if ctx.Err() != nil {
		r = CancelReason(ctx)
	}
	return &result.Failure{Outcome: o, Step: result.StepAttempt, Reason: r, Peer: string(a.Upstream), Cause: err}
}

// CancelReason returns why a context has ended: the reason of its cause if that is a
// failure, or else DeadlinePassed or CallerGone.
func CancelReason(ctx context.Context) result.Reason {
	var f *result.Failure
	if errors.As(context.Cause(ctx), &f) {
		return f.Reason
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return result.DeadlinePassed
	}
	return result.CallerGone
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client     *Client
	attempt    *Attempt
	conn       *conn
	acks       *ackWatch
	stopCancel func() bool
	// writeResult receives the result of writing the request. writeEnded is set once it was received,
	// and writeErr is what was received.
	writeResult chan error
	writeEnded  bool
	writeErr    error
	// partsWritten counts the parts of a long body that were written.
	partsWritten atomic.Int64
	// notReusable prevents the reuse of the connection even if the answer is whole.
	notReusable bool
	// memory is what the head takes.
	memory *memory.Share
	// released is set once the connection was returned to the pool or closed.
	released bool
}

func (x *exchange) run(ctx context.Context) (*Answer, *result.Failure) {
	if len(x.attempt.Body) <= maxInlineWrite {
		x.write()
	} else {
		x.acks.lift()
		go x.write()
	}
	return x.readAnswer(ctx)
}

// readAnswer reads the head of the answer to the request. Interim answers, and late ones to
// other requests, are skipped.
func (x *exchange) readAnswer(ctx context.Context) (*Answer, *result.Failure) {
	left := int64(maxHeadBytes)
	for {
		x.conn.bounded.left = left
		answer, err := x.readHead()
		if err != nil {
			return nil, x.readFailure(ctx, err)
		}
		left = x.conn.bounded.left
		if answer.Status < http.StatusOK {
			x.memory.Release()
			continue
		}
		x.conn.bounded.unbounded()
		if answer.Meta.RequestID != "" && answer.Meta.RequestID == x.attempt.RequestID {
			if x.attempt.Received != nil && !answer.Meta.Replaced {
				x.attempt.Received(answer.Meta)
			}
			return x.checkRefusal(ctx, answer)
		}
		// A late answer to an earlier request arrived instead, which was read with the method of that.
		x.notReusable = true
		if answer.Meta.RequestID == "" || answer.Framing == FramedByClose {
			return nil, x.client.failure(ctx, x.attempt, result.Unknown, result.AnswerMismatch, errors.New("answer without the id of the request"))
		}
		x.conn.bounded.left = maxLateBytes
		if err := discardLate(answer); err != nil {
			return nil, x.readFailure(ctx, err)
		}
		x.memory.Release()
	}
}

// discardLate reads the body of a late answer. It is none of the present request, so that it needn't be a
// stream of events where that asks for one.
func discardLate(answer *Answer) error {
	if answer.Length > maxLateBytes {
		return ErrTooLarge
	}
	_, err := io.CopyN(io.Discard, answer.Body.(*body).ReadCloser, maxLateBytes+1)
	switch {
	case err == nil:
		return ErrTooLarge
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil
	default:
		return err
	}
}

// hold takes memory for a part of a head.
func (x *exchange) hold(bytes int) error {
	if !x.memory.Add(int64(bytes)) {
		return ErrNoMemory
	}
	return nil
}

func (x *exchange) readFailure(ctx context.Context, err error) *result.Failure {
	return x.client.failure(ctx, x.attempt, result.Unknown, readReason(err), shortError{err})
}

func readReason(err error) result.Reason {
	var op *net.OpError
	switch {
	case errors.Is(err, ErrTooLarge):
		return result.AnswerTooLarge
	case errors.Is(err, ErrNoMemory):
		return result.AnswerMemory
	case errors.As(err, &op), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return result.AnswerCut
	default:
		return result.AnswerMismatch
	}
}

// checkRefusal converts an answer that states that nothing ran to a failure.
func (x *exchange) checkRefusal(ctx context.Context, answer *Answer) (*Answer, *result.Failure) {
	if !answer.Meta.NotRun && !answer.Meta.Replaced {
		return answer, nil
	}
	if !x.conn.requests.addRefused(x.attempt.RequestID) {
		x.notReusable = true
	}
	f := x.client.failure(ctx, x.attempt, result.NotRun, result.UpstreamRefused, nil)
	if answer.Meta.Replaced {
		f.Reason = result.UpstreamLeaving
	}
	x.discardRefusal(answer)
	return nil, f
}

const (
	// maxDiscardBytes and refusalBodyTime bound the body of a refusal that is read so that the
	// connection can be reused, and the wait for it: the head alone states that nothing ran.
	maxDiscardBytes = 4 << 10
	refusalBodyTime = 50 * time.Millisecond
)

// discardRefusal reads the body of a refusal and returns the connection to the pool if it is whole.
func (x *exchange) discardRefusal(answer *Answer) {
	if answer.Framing == FramedByClose {
		return
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(refusalBodyTime))
	_, err := io.CopyN(io.Discard, answer.Body, maxDiscardBytes)
	_ = x.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, io.EOF) {
		_ = answer.Body.Close()
	}
}

// maxInlineWrite is the longest body that is written before the answer is read. It fits
// the buffers of a connection, so that the write doesn't wait for the upstream.
const maxInlineWrite = 16 << 10

// write sends the request with a single write. A longer body is written concurrently
// with reading, since an upstream may answer before it has read the body.
func (x *exchange) write() {
	a := x.attempt
	var b bytes.Buffer
	b.WriteString(a.Method + " " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n")
	header := x.client.Codec.RequestHeader(a)
	header.Del("Content-Length")
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if len(a.Body) <= maxInlineWrite {
		b.Write(a.Body)
		_, err := x.conn.Write(b.Bytes())
		x.acks.written.Store(true)
		x.writeResult <- err
		return
	}
	err := x.writeLong(b.Bytes(), a.Body)
	x.acks.written.Store(true)
	x.writeResult <- err
}

// writePartBytes is how much of a long body is written at a time.
const writePartBytes = 32 << 10

// writeLong writes a head and a long body, which isn't copied.
func (x *exchange) writeLong(head, body []byte) error {
	part := body[:min(writePartBytes, len(body))]
	err := x.conn.writeBuffers(net.Buffers{head, part})
	for err == nil && len(body) > len(part) {
		x.partsWritten.Add(1)
		body = body[len(part):]
		part = body[:min(writePartBytes, len(body))]
		_, err = x.conn.Write(part)
	}
	return err
}

func (x *exchange) readHead() (*Answer, error) {
	h, err := syntax.ReadHeldHead(x.conn.reader, x.attempt.Method, maxHeadBytes, x.hold)
	if err != nil {
		return nil, errors.Trace(err)
	}
	meta := x.client.Codec.ParseResponse(h.Status, h.Header)
	frame := h.Frame
	if meta.RequestID != x.attempt.RequestID {
		frame = h.FrameOf(x.conn.requests.methodOf(meta.RequestID))
	}
	answer := &Answer{
		Status:  h.Status,
		Header:  h.Header,
		Meta:    meta,
		Length:  frame.Length,
		Framing: framingOf(frame),
	}
	if answer.Status == http.StatusServiceUnavailable {
		answer.Meta.PauseFor, answer.Meta.PauseError = parseRetryAfter(answer.Header)
	}
	if x.attempt.EventStream && isSuccess(answer.Status) {
		answer.events = &event.Scanner{}
	}
	answer.Body = &body{
		ReadCloser: io.NopCloser(x.bodyReader(frame, h.Header)),
		exchange:   x,
		framing:    answer.Framing,
		events:     answer.events,
		idleTime:   idleTime(h),
	}
	answer.fault = x.conn.faults.get
	return answer, nil
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}

// idleTime returns how long the connection may be idle before it is reused; zero if it
// must be closed.
func idleTime(h *syntax.Head) time.Duration {
	if h.Closes {
		return 0
	}
	for _, field := range strings.Split(h.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(0, time.Duration(seconds)*time.Second-idleMargin)
	}
	return defaultIdleTime
}

// release returns the connection to the pool if the request was written completely and isn't known to
// be on its way. After an early answer it closes the connection, since the upstream may still be
// reading the body of the request.
func (x *exchange) release(idleTime time.Duration) {
	x.released = true
	select {
	case x.writeErr = <-x.writeResult:
		x.writeEnded = true
	default:
	}
	acknowledged := x.acks.stop()
	x.notReusable = x.notReusable || !x.writeEnded || x.writeErr != nil || !acknowledged
	if !x.stopCancel() || x.notReusable || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.client.conns.put(x.conn, idleTime)
}

// maxUploadTime bounds how long an answer that has ended waits for the rest of its request to be read.
const maxUploadTime = time.Second

// stopWrite ends the write of the request if it goes on, and returns when it has ended. What it has
// met is kept by the connection. An upstream that has ended its side early may read on: the write
// isn't ended while it makes progress, for maxUploadTime at most. before is
// the number of parts that were written when the end was read.
func (x *exchange) stopWrite(before int64) {
	for began := time.Now(); !x.writeEnded && x.partsWritten.Load() > before && time.Since(began) < maxUploadTime; {
		before = x.partsWritten.Load()
		select {
		case x.writeErr = <-x.writeResult:
			x.writeEnded = true
		case <-time.After(processEndTime):
		}
	}
	if x.writeEnded {
		return
	}
	_ = x.conn.SetWriteDeadline(pastDeadline)
	x.writeErr = <-x.writeResult
	x.writeEnded = true
}

func (x *exchange) discard() {
	if x.released {
		return
	}
	x.released = true
	x.stopCancel()
	x.acks.stop()
	_ = x.conn.Close()
}
