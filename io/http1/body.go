package http1

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/event"
	"arbutustrestle/io/syntax"
)

// body is the body of an answer. Close returns the connection to the pool if the answer
// is whole and no data follows it.
type body struct {
	io.ReadCloser
	exchange *exchange
	framing  Framing
	// events is nil if the body is no stream of events.
	events *event.Scanner
	// end is the watch of a body that ends with its connection; nil for others.
	end      *endWatch
	idleTime time.Duration
	// read is the number of bytes that were read.
	read   int64
	whole  bool
	closed bool
}

// Read marks the body as whole at its proper end.
func (b *body) Read(p []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	n, err := b.end.read(b.ReadCloser, p)
	b.read += int64(n)
	if b.read > maxBodyBytes {
		return n, ErrTooLarge
	}
	if b.events != nil {
		b.events.Add(p[:n])
	}
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, err
	}
	if b.events != nil {
		if err := checkEventEnd(b.framing, b.events); err != nil {
			return n, err
		}
	}
	if err := b.end.check(); err != nil {
		return n, err
	}
	b.whole = true
	return n, io.EOF
}

// Close ends the exchange.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.end.release()
	if b.whole && b.idleTime > 0 {
		b.exchange.release(b.idleTime)
		return nil
	}
	b.exchange.discard()
	return nil
}

// bodyReader returns a reader of the body that follows a head.
func (x *exchange) bodyReader(f syntax.Frame, h http.Header) io.Reader {
	if framingOf(f) != FramedByClose || holdsMessages(h) {
		return f.Body(x.conn.reader)
	}
	return &strayFilter{
		reader:      f.Body(x.conn.reader),
		setDeadline: x.conn.SetReadDeadline,
		codec:       x.client.Codec,
		requests:    &x.conn.requests,
	}
}
