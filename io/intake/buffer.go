package intake

// The kernel sizes the receive buffer of a connection by itself, up to megabytes for a sender that is
// fast, which long bodies on long ways need. Bytes that have come and weren't read count as memory of the
// machine, and of a crowd they are hundreds of megabytes, so that buffers are small while there are many
// connections. What fits the kernel's first window, or nearly, arrives as fast with a small buffer. While
// there are few, one that has grown gets a bound before a request of its caller is at an upstream, since nothing is
// read meanwhile.
const (
	// smallBufferPart is the part of MaxConns from which on buffers are small, and largeBufferPart that
	// below which they are large again.
	smallBufferPart = 8
	largeBufferPart = 16
	// largeBufferBytes is the size after small ones: the most that kernels grant by default. The
	// kernel sizes the buffers of later connections.
	largeBufferBytes = 208 << 10
	// minBufferBytes is the smallest size.
	minBufferBytes = 16 << 10
	// grownBytes is the number of bytes upon which the kernel may have made a buffer larger than
	// largeBufferBytes.
	grownBytes = 128 << 10
)

// sizeBuffers sets the size of the buffer of a new connection, and of all others once there are many. The caller
// holds mu.
func (g *Gate) sizeBuffers(added *conn) {
	switch {
	case g.UnreadBytes == 0 || g.MaxConns == 0:
	case g.smallBuffers:
		added.setBuffer(g.smallBufferBytes())
	case len(g.conns) > g.MaxConns/smallBufferPart:
		g.smallBuffers = true
		g.setBuffers(g.smallBufferBytes())
	}
}

// growBuffers makes the buffers large once there are few connections again. The caller holds mu.
func (g *Gate) growBuffers() {
	if g.smallBuffers && len(g.conns) < g.MaxConns/largeBufferPart {
		g.smallBuffers = false
		g.setBuffers(largeBufferBytes)
	}
}

// smallBufferBytes returns the share of each connection when there are as many as there may be.
func (g *Gate) smallBufferBytes() int {
	return max(minBufferBytes, int(g.UnreadBytes)/(g.MaxConns+g.MaxConns/endedPart))
}

func (g *Gate) setBuffers(bytes int) {
	for c := range g.conns {
		c.setBuffer(bytes)
	}
}

// limitBuffers sets the sizes of buffers that may have grown: bodies wait while there is no memory for them, and
// the kernel would hold what comes. The caller holds mu.
func (g *Gate) limitBuffers() {
	for c := range g.conns {
		c.mu.Lock()
		c.limitBuffer()
		c.mu.Unlock()
	}
}

// limitBuffer sets the size of a receive buffer that may have grown. The caller holds mu of the connection.
func (c *conn) limitBuffer() {
	if c.gate.UnreadBytes == 0 || c.gate.MaxConns == 0 || c.bufferSet || c.received < grownBytes {
		return
	}
	c.bufferSet = true
	c.setReadBuffer(largeBufferBytes)
}

// setBuffer sets the size of the receive buffer, and that it isn't set again with a larger one.
func (c *conn) setBuffer(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bufferSet = true
	c.setReadBuffer(bytes)
}

// setReadBuffer sets the size of the receive buffer. One whose size can't be set keeps its own.
func (c *conn) setReadBuffer(bytes int) {
	if sized, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = sized.SetReadBuffer(bytes)
	}
}
