package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
)

// conn is a connection of a caller. Its server reads it, and any goroutine may end it.
type conn struct {
	net.Conn
	gate *Gate
	// head is the memory of the head of the current request.
	head *memory.Share

	mu    sync.Mutex
	phase yield.Phase
	// ended is set once the connection gives way; it is taken back for an idle one on which a
	// request has come.
	ended bool
	// body is the memory of the body that is being read; nil if there is none.
	body *memory.Share
	// lastByte and progress are those of yield.Claim.
	lastByte, progress time.Time
	scan               headScan
	tail               tailScan
	// tailCost is the cost of a pipelined head of which the beginning may have been read with the
	// request before, and unsure is set until that is known.
	tailCost int64
	unsure   bool
	// blankLines counts the empty lines before the current head that the server hasn't got, and partRead is
	// set if the server may have got the beginning of the head with the request before.
	blankLines int
	partRead   bool
	// idleDeadlines counts the read deadlines that were set since the connection is idle.
	idleDeadlines int

	// serverDeadline is the read deadline that the server has set, headDeadline that for the current
	// head, and setDeadline the one in force.
	serverDeadline, headDeadline, setDeadline time.Time

	// received counts the bytes that have arrived, and bufferSet is set once the size of the receive buffer was.
	received  int64
	bufferSet bool

	writes writeState

	// answered is set once a refusal was written, by the goroutine of the server.
	answered bool
	// closed is set by Close, and lingers if linger closes the connection itself.
	closed, lingers bool
}

// past is a deadline that makes reads fail at once.
var past = time.Unix(1, 0)

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection, or leaves that to linger.
func (c *conn) Close() error {
	c.mu.Lock()
	closed, lingers := c.closed, c.lingers
	c.closed = true
	c.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	c.gate.remove(c)
	c.head.Release()
	if lingers {
		return nil
	}
	return c.Conn.Close()
}

// startLinger reports false if the connection is closed already.
func (c *conn) startLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = !c.closed
	return c.lingers
}

// Read reads bytes for the server, without empty lines before a head.
func (c *conn) Read(p []byte) (int, error) {
	c.learnStart()
	read := 0
	for {
		atStart := c.atStart()
		n, err := c.readCharged(p[read:])
		read += n
		if err != nil || !atStart {
			return read, err
		}
		read = c.dropBlankLines(p[:read])
		if part := read == 1 && p[0] == '\r' && len(p) > 1; read > 0 && !part {
			return read, nil
		}
	}
}

// readCharged reads bytes and accounts for them before the server gets them. The error for a refused caller is
// a timeout, upon which the server closes the connection without an answer of its own.
func (c *conn) readCharged(p []byte) (int, error) {
	if c.hasEnded() {
		return 0, c.endRead()
	}
	n, err := c.Conn.Read(p)
	cost, refused := c.arrived(p[:n], len(p), err)
	if refused == refusedNone && cost > 0 && !c.head.Grow(cost) {
		refused = refusedMemory
		if c.gate.Memory.Limit < cost {
			refused = refusedHead
		}
	}
	switch {
	case refused != refusedNone:
		c.refuse(refused)
		return 0, os.ErrDeadlineExceeded
	case err != nil && c.hasEnded():
		return n, c.endRead()
	default:
		return n, err
	}
}

// maxBlankLines is the number of empty lines before a head that are dropped. RFC 9112, 2.2, asks for one at
// least, for callers that send one after a body. The server refuses a head with more.
const maxBlankLines = 4

// atStart reports whether the next byte is known to belong to no head or to what comes before one.
func (c *conn) atStart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case yield.Idle, yield.Silent:
		return !c.unsure
	case yield.Head:
		return c.scan.atStart() && !c.partRead
	default:
		return false
	}
}

// dropBlankLines removes empty lines from the beginning of what was read before a head, and returns the length
// of the rest.
func (c *conn) dropBlankLines(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := p
	for c.blankLines < maxBlankLines {
		line, after, ended := bytes.Cut(rest, newline)
		if !ended || len(bytes.TrimSuffix(line, []byte("\r"))) > 0 {
			break
		}
		c.blankLines++
		rest = after
	}
	return copy(p, rest)
}

// hasEnded reports whether the connection has given way.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// endRead answers a caller that has given way, unless the handler does that or there is no request.
func (c *conn) endRead() error {
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	if phase == yield.Head {
		c.refuse(refusedStopped)
	}
	return os.ErrDeadlineExceeded
}

// arrived accounts for bytes that were read into a buffer of a given size, and for the error of the
// read. It returns the cost of the head so far if that has changed.
func (c *conn) arrived(p []byte, buffer int, err error) (cost int64, refused refusal) {
	now := c.gate.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 0 {
		if c.phase == yield.Head && !c.ended && errors.Is(err, os.ErrDeadlineExceeded) && !c.headDeadline.IsZero() && !now.Before(c.headDeadline) {
			return 0, refusedSlow
		}
		return 0, refusedNone
	}
	c.lastByte = now
	c.received += int64(len(p))
	switch c.phase {
	case yield.Busy, yield.Body:
		c.progress = yield.Advance(c.progress, now, len(p))
		c.tail.add(p, buffer)
		return 0, refusedNone
	case yield.Idle, yield.Silent:
		c.beginHead(now)
	default:
		if c.ended {
			return 0, refusedStopped
		}
		c.progress = yield.Advance(c.progress, now, len(p))
	}
	rest := c.scan.add(p)
	if c.scan.exceeds(c.gate.limits().HeadBytes) {
		return 0, refusedHead
	}
	if c.scan.done {
		c.endHead()
		c.tail.add(rest, buffer)
	} else {
		_ = c.applyDeadline()
	}
	return c.tailCost + c.scan.cost(), refusedNone
}

// beginHead is called with the first bytes of a head.
func (c *conn) beginHead(now time.Time) {
	if c.ended {
		c.ended = false
		c.head.Release()
	}
	c.phase = yield.Head
	c.progress = now
	c.headDeadline = now.Add(c.gate.limits().HeadTimeout)
}

// endHead is called after the last byte of a head.
func (c *conn) endHead() {
	c.phase = yield.Busy
	c.headDeadline = time.Time{}
	_ = c.applyDeadline()
	c.limitBuffer()
}

// headRead is called after the server has parsed a head, also one of which no byte was read since the
// request before.
func (c *conn) headRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused := c.ended && c.phase == yield.Head
	if c.phase == yield.Busy || refused {
		return
	}
	c.ended = false
	c.endHead()
}

// requestEnded is called after the answer to a request.
func (c *conn) requestEnded(atHead bool) {
	c.head.Release()
	c.mu.Lock()
	c.phase = yield.Idle
	c.lastByte = c.gate.Clock.Now()
	c.scan = headScan{}
	c.unsure = !atHead
	c.idleDeadlines = 0
	c.blankLines, c.partRead = 0, false
	if atHead {
		c.tail = tailScan{}
	}
	cost := c.tail.cost()
	c.tailCost = cost
	c.mu.Unlock()
	if cost > 0 && !c.head.Grow(cost) {
		// The server may have the whole head already, and would parse it.
		c.gate.count(refusedMemory)
		_ = c.Conn.Close()
	}
}

// learnStart finds out where the next head begins, if that isn't known, from the order in which net/http
// works after a request: it sets a deadline and reads until it has 4 bytes, sets another one, and then
// reads what it lacks of the head.
func (c *conn) learnStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unsure || c.phase != yield.Idle || c.ended {
		return
	}
	c.unsure = false
	if c.idleDeadlines <= 1 {
		c.tail, c.tailCost = tailScan{}, 0
		c.head.Release()
		return
	}
	c.partRead = true
	c.beginHead(c.lastByte)
	_ = c.applyDeadline()
}

// startWait bounds the time to the first byte.
func (c *conn) startWait(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headDeadline = deadline
	_ = c.applyDeadline()
}

// SetReadDeadline sets the deadline of the server. That of a head stays in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	c.idleDeadlines++
	return c.applyDeadline()
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyDeadline puts the earlier one of the deadlines into force.
func (c *conn) applyDeadline() error {
	deadline := c.serverDeadline
	if !c.headDeadline.IsZero() && (deadline.IsZero() || c.headDeadline.Before(deadline)) {
		deadline = c.headDeadline
	}
	if c.ended {
		deadline = past
	}
	if deadline.Equal(c.setDeadline) {
		return nil
	}
	c.setDeadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// claim returns what the connection holds; it reports false if it has been ended.
func (c *conn) claim() (yield.Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return yield.Claim{}, false
	}
	if c.phase == yield.Busy {
		since, unread := c.unreadSince(c.gate.Clock.Now())
		return yield.Claim{Phase: yield.Unread, Held: c.head.Held(), LastByte: since}, unread
	}
	return yield.Claim{Phase: c.phase, Held: c.head.Held() + c.body.Held(), LastByte: c.lastByte, Progress: c.progress}, true
}

// end makes the connection give way. It reports false if its request has been read meanwhile and the answer
// isn't unread, or if something has arrived that its server had no processor to read.
func (c *conn) end(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	if c.phase == yield.Busy {
		return c.endUnread(now)
	}
	stopped := c.phase == yield.Idle || now.Sub(c.lastByte) >= yield.Moment
	if stopped && hasUnread(c.Conn) {
		c.lastByte = now
		return false
	}
	c.ended = true
	_ = c.applyDeadline()
	if c.phase == yield.Idle || c.phase == yield.Silent || c.phase == yield.Body {
		c.gate.count(endReasons[c.phase])
	}
	c.head.Revoke()
	c.body.Revoke()
	return true
}

// endUnread makes a connection give way whose caller doesn't read the answer. The answer is cut off.
func (c *conn) endUnread(now time.Time) bool {
	since, unread := c.unreadSince(now)
	if !unread || now.Sub(since) < yield.Patience {
		return false
	}
	c.ended = true
	c.gate.count(endReasons[c.phase])
	c.head.Revoke()
	// The write that is under way fails, and the request ends as for a caller who has left.
	_ = c.Conn.Close()
	return true
}

func (c *conn) startBody(share *memory.Share) {
	now := c.gate.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = yield.Body
	c.body = share
	c.lastByte, c.progress = now, now
}

func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = nil
	if c.ended {
		return false
	}
	c.phase = yield.Busy
	c.limitBuffer()
	return true
}

const (
	// refuseWriteTimeout bounds the write of a refusal, which fits into the kernel's buffer.
	refuseWriteTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read after a refusal. Unread bytes would reset the
	// connection, and the caller may not see the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// refuse answers a caller whose request wasn't read whole. It is called by the goroutine of the server
// while it reads a head, so that no other answer is under way.
func (c *conn) refuse(r refusal) {
	c.gate.count(r)
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	// Others wait for the memory until the server has let go of it.
	c.head.Revoke()
	if c.answered || r.answer() == "" {
		return
	}
	c.answered = true
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refuseWriteTimeout))
	if _, err := io.WriteString(c.Conn, r.answer()); err != nil {
		return
	}
	_ = c.CloseWrite()
	select {
	case c.gate.lingering <- struct{}{}:
		if !c.startLinger() {
			<-c.gate.lingering
			return
		}
		go c.linger()
	default:
	}
}

// linger reads and discards what the caller still sends, and closes the connection. The server's
// goroutine doesn't wait for it, since it holds what was parsed of the head.
func (c *conn) linger() {
	defer func() { <-c.gate.lingering }()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
	_ = c.Conn.Close()
}
