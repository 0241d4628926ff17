// Package link connects entry instances with each other: one yamux session over
// TCP for each pair and direction, protobuf messages on its streams.
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
	// protocolVersion is refused by a peer that speaks another one.
	protocolVersion = 1
	// maxMessageBytes bounds one protobuf message on a link. A published value
	// of a megabyte and its envelope fit.
	maxMessageBytes = 1<<20 + 1<<16

	dialTimeout     = 2 * time.Second
	helloTimeout    = 2 * time.Second
	exchangeTimeout = 3 * time.Second
	writeTimeout    = 3 * time.Second
	// keepAliveInterval is the time between two pings on a link. It bounds how long a
	// forwarded request waits for a peer that hangs; each ping costs about 180 bytes.
	keepAliveInterval = 15 * time.Second
	// noticeIdleTimeout ends a control stream on which nothing arrives.
	noticeIdleTimeout = 30 * time.Second
	readBufferBytes   = 4 << 10
)

// Identity is what one end of a link tells the other about itself.
type Identity struct {
	Incarnation ident.Incarnation
	Zone        ident.Zone
	Region      ident.Region
}

// Stream is one exchange with a peer. It is used by one goroutine for reading
// and one for writing.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	// owner is that of the session; nil for the stream of the hellos.
	owner *streams
	// Peer is the incarnation at the other end, as it named itself.
	Peer Identity
}

func newStream(conn net.Conn, peer Identity, owner *streams) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), owner: owner, Peer: peer}
	owner.note(s)
	return s
}

// Send writes one message. The error is of the connection.
func (s *Stream) Send(m proto.Message) error {
	_, err := protodelim.MarshalTo(s.conn, m)
	return errors.Annotatef(err, "send to %s", s.Peer.Incarnation)
}

// Receive reads one message of at most maxMessageBytes. A clean end before the
// first byte is io.EOF.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	err := options.UnmarshalFrom(s.reader, m)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return errors.Annotatef(err, "receive from %s", s.Peer.Incarnation)
}

// SetDeadline bounds all reads and writes that follow.
func (s *Stream) SetDeadline(at time.Time) {
	_ = s.conn.SetDeadline(at)
}

// SetWriteDeadline bounds the writes that follow.
func (s *Stream) SetWriteDeadline(at time.Time) {
	_ = s.conn.SetWriteDeadline(at)
}

// SetReadDeadline bounds the reads that follow.
func (s *Stream) SetReadDeadline(at time.Time) {
	_ = s.conn.SetReadDeadline(at)
}

// ended is a deadline that has passed.
var ended = time.Unix(1, 0)

// Close ends the exchange. What the other end has sent can still be read.
func (s *Stream) Close() {
	s.owner.forget(s)
	_ = s.conn.Close()
}

// Abort ends the exchange for readers too, which return at once.
func (s *Stream) Abort() {
	_ = s.conn.SetReadDeadline(ended)
	s.Close()
}

// session is one yamux session with a peer that has said who it is.
type session struct {
	mux     *yamux.Session
	peer    Identity
	streams *streams
}

func (s *session) open() (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, errors.Annotatef(err, "open a stream to %s", s.peer.Incarnation)
	}
	return newStream(conn, s.peer, s.streams), nil
}

// muxConfig returns the settings of a session; a zero interval takes
// keepAliveInterval.
func muxConfig(keepAlive time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = cmp.Or(keepAlive, keepAliveInterval)
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = exchangeTimeout
	c.LogOutput = io.Discard
	return c
}

// dial connects to a peer and exchanges hellos on the first stream.
func dial(ctx context.Context, address netip.AddrPort, self Identity, keepAlive time.Duration) (*session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", address)
	}
	open := &streams{}
	mux, err := yamux.Client(&endingConn{Conn: conn, streams: open}, muxConfig(keepAlive))
	if err != nil {
		_ = conn.Close()
		return nil, errors.Annotatef(err, "start a session with %s", address)
	}
	peer, err := greet(mux, self)
	if err != nil {
		_ = mux.Close()
		return nil, errors.Annotatef(err, "greet %s", address)
	}
	return &session{mux: mux, peer: peer, streams: open}, nil
}

func greet(mux *yamux.Session, self Identity) (Identity, error) {
	conn, err := mux.Open()
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	s := newStream(conn, Identity{}, nil)
	defer s.Close()
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := s.Send(helloOf(self)); err != nil {
		return Identity{}, errors.Trace(err)
	}
	return receiveHello(s)
}

func helloOf(self Identity) *wire.Hello {
	return &wire.Hello{
		Protocol:    protocolVersion,
		Incarnation: self.Incarnation.String(),
		Zone:        string(self.Zone),
		Region:      string(self.Region),
	}
}

func receiveHello(s *Stream) (Identity, error) {
	var h wire.Hello
	if err := s.Receive(&h); err != nil {
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
	}, nil
}
