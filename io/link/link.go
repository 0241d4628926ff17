// Package link implements the connections between entry instances: one yamux session
// over TCP for each pair and direction, with protobuf messages on its streams.
package link

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/wire"
)

const (
	// protocolVersion is sent in the hello. Both ends close the session when the
	// versions differ.
	protocolVersion = 1
	// maxMessageBytes limits the size of one protobuf message on a link. It leaves
	// room for a published value of a megabyte and its envelope.
	maxMessageBytes = 1<<20 + 1<<16

	dialTimeout     = 2 * time.Second
	helloTimeout    = 2 * time.Second
	exchangeTimeout = 3 * time.Second
	writeTimeout    = 3 * time.Second
	// keepAliveInterval is the time between two pings on a link. It bounds how long a
	// forwarded request waits for a peer that hangs. Each ping takes about 180 bytes.
	keepAliveInterval = 15 * time.Second
	// noticeIdleTimeout is the time without a message after which the receiver closes
	// a control stream.
	noticeIdleTimeout = 30 * time.Second
	// silenceTimeout is how long a peer may answer no ping, and read nothing, before its link is
	// closed at the end that accepted it. It may be paused, and still wait for its requests.
	silenceTimeout  = 10 * time.Second
	readBufferBytes = 4 << 10
	// windowBytes is how much a peer may send on a stream before it is read. Peers take it as given
	// when a stream opens, so that it can't be smaller.
	windowBytes = 256 << 10
	// MaxBufferBytes is what a session holds at most of a stream that isn't read: its buffer doubles.
	MaxBufferBytes = 2 * windowBytes
	// discardTimeout is how long what arrives on a closed stream is dropped. The other end closes its
	// own as soon as it has learned of the close.
	discardTimeout = 10 * time.Second
	// streamCloseTimeout is how long the session keeps a stream that was closed at the end which accepted it,
	// with what has arrived, while the other end doesn't close its own.
	streamCloseTimeout = discardTimeout + 5*time.Second
)

// Identity identifies one end of a link to the other. It is sent in the hello.
type Identity struct {
	Incarnation ident.Incarnation
	Zone        ident.Zone
	Region      ident.Region
	// BodyParts is set in what a peer has sent if it reads bodies of relayed requests in parts.
	BodyParts bool
}

// Stream carries one exchange with a peer. At most one goroutine may read and one may
// write at a time.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// openStreams holds the open streams of the session. It is nil for the stream that
	// carries the hellos.
	openStreams *streamSet
	// Peer is the identity that the other end sent in its hello.
	Peer Identity
}

func newStream(conn net.Conn, peer Identity, openStreams *streamSet) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), openStreams: openStreams, Peer: peer}
	openStreams.add(s)
	return s
}

// Send writes one message. An error means that the connection failed.
func (s *Stream) Send(m proto.Message) error {
	_, err := protodelim.MarshalTo(s.conn, m)
	return errors.Annotatef(err, "send to %s", s.Peer.Incarnation)
}

// Receive reads one message of at most maxMessageBytes. It returns io.EOF when the
// stream ends before the first byte.
func (s *Stream) Receive(m proto.Message) error {
	return s.receive(m, maxMessageBytes)
}

// receive reads one message of at most a number of bytes.
func (s *Stream) receive(m proto.Message, maxBytes int64) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxBytes}
	err := options.UnmarshalFrom(s.reader, m)
	s.shrink()
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return errors.Annotatef(err, "receive from %s", s.Peer.Incarnation)
}

// shrink releases the buffer of the session for the stream if nothing is in it. It keeps the size of
// the most that was ever unread otherwise, hundreds of KiB for a stream that had to wait once.
func (s *Stream) shrink() {
	if mux, ok := s.conn.(*yamux.Stream); ok && s.reader.Buffered() == 0 {
		mux.Shrink()
	}
}

// SetDeadline sets the deadline of all later reads and writes.
func (s *Stream) SetDeadline(at time.Time) {
	_ = s.conn.SetDeadline(at)
}

// SetWriteDeadline sets the deadline of all later writes.
func (s *Stream) SetWriteDeadline(at time.Time) {
	_ = s.conn.SetWriteDeadline(at)
}

// SetReadDeadline sets the deadline of all later reads.
func (s *Stream) SetReadDeadline(at time.Time) {
	_ = s.conn.SetReadDeadline(at)
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Close closes this end of the stream. Data that the other end has sent can still be
// read.
func (s *Stream) Close() {
	s.openStreams.remove(s)
	_ = s.conn.Close()
}

// Discard closes this end of the stream and drops what the other end still sends until it closes its
// own: the session would keep it until then. The stream must not be read any more.
func (s *Stream) Discard() {
	_ = s.conn.Close()
	s.openStreams.allowReads(s, time.Now().Add(discardTimeout))
	go func() {
		defer s.openStreams.remove(s)
		_, _ = io.Copy(io.Discard, s.conn)
		s.reader.Reset(s.conn)
		s.shrink()
	}()
}

// drain aborts the stream and drops what the other end still sends until it closes its own, for discardTimeout
// at most. A reader that was blocked may read on beside it.
func (s *Stream) drain() {
	_ = s.conn.SetReadDeadline(pastDeadline)
	_ = s.conn.Close()
	s.openStreams.allowReads(s, time.Now().Add(discardTimeout))
	defer s.openStreams.remove(s)
	_, _ = io.Copy(io.Discard, s.conn)
	if mux, ok := s.conn.(*yamux.Stream); ok {
		mux.Shrink()
	}
}

// Abort closes the stream and makes a blocked reader return at once.
func (s *Stream) Abort() {
	_ = s.conn.SetReadDeadline(pastDeadline)
	s.Close()
}

// session is one yamux session with a peer whose hello was received.
type session struct {
	mux     *yamux.Session
	peer    Identity
	streams *streamSet
}

func (s *session) open() (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, errors.Annotatef(err, "open a stream to %s", s.peer.Incarnation)
	}
	return newStream(conn, s.peer, s.streams), nil
}

// clientConfig returns the settings of the session of who dials, which Pool watches.
func clientConfig() *yamux.Config {
	c := muxConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	return c
}

// serverConfig returns the settings of the session of who accepts. A zero interval selects
// keepAliveInterval.
func serverConfig(keepAlive time.Duration) *yamux.Config {
	c := muxConfig()
	c.KeepAliveInterval = cmp.Or(keepAlive, keepAliveInterval)
	c.ConnectionWriteTimeout = silenceTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	return c
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	// A stream that is not taken up in time must not end the others; see endIfSilent.
	c.StreamOpenTimeout = 0
	c.LogOutput = io.Discard
	c.MaxStreamWindowSize = windowBytes
	return c
}

// dial connects to a peer and exchanges hellos on the first stream of the session.
func dial(ctx context.Context, address netip.AddrPort, self Identity) (*session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", address)
	}
	open := &streamSet{}
	mux, err := yamux.Client(&sessionConn{Conn: conn, streams: open}, clientConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Annotatef(err, "start a session with %s", address)
	}
	peer, err := handshake(mux, self)
	if err != nil {
		_ = mux.Close()
		return nil, errors.Annotatef(err, "exchange hellos with %s", address)
	}
	return &session{mux: mux, peer: peer, streams: open}, nil
}

func handshake(mux *yamux.Session, self Identity) (Identity, error) {
	conn, err := mux.Open()
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	s := newStream(conn, Identity{}, nil)
	defer s.Close()
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := s.Send(newHello(self)); err != nil {
		return Identity{}, errors.Trace(err)
	}
	return receiveHello(s)
}

func newHello(self Identity) *wire.Hello {
	return &wire.Hello{
		Protocol:    protocolVersion,
		Incarnation: self.Incarnation.String(),
		Zone:        string(self.Zone),
		Region:      string(self.Region),
		BodyParts:   true,
	}
}

func receiveHello(s *Stream) (Identity, error) {
	var h wire.Hello
	if err := s.receive(&h, maxHelloBytes); err != nil {
		return Identity{}, errors.Trace(err)
	}
	if h.GetProtocol() != protocolVersion {
		return Identity{}, errors.NotSupportedf("protocol %d", h.GetProtocol())
	}
	incarnation, err := ident.ParseIncarnation(h.GetIncarnation())
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	return Identity{
		Incarnation: incarnation,
		Zone:        ident.Zone(h.GetZone()),
		Region:      ident.Region(h.GetRegion()),
		BodyParts:   h.GetBodyParts(),
	}, nil
}
