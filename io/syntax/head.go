package syntax

import (
	"bufio"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Head is the head of an answer that keeps the grammar.
type Head struct {
	Status int
	Header http.Header
	Frame  Frame
	// bodyFrame is the frame if the answer is to another method than HEAD.
	bodyFrame Frame
	// Closes is set if the answer is the last one on its connection.
	Closes bool
}

// ErrTooLarge means that an answer, or a part of one, has more bytes than are read.
var ErrTooLarge = errors.New("answer too large")

const (
	// FieldBytes is what a field of a head takes beside its text, in the map that it is parsed into
	// and in the two that net/http makes when the head is passed on.
	FieldBytes = 400
	// textFactor is how often the text of a head is held: a line is copied when its buffer grows.
	textFactor = 2
)

// HeldBytes estimates what the head of an answer takes.
func HeldBytes(h http.Header) int {
	bytes := 0
	for name, values := range h {
		for _, value := range values {
			bytes += FieldBytes + textFactor*(len(name)+len(value))
		}
	}
	return bytes
}

// ReadHead reads the head of an answer to a request with a method, of at most maxBytes. A head that
// ends early gives io.ErrUnexpectedEOF.
func ReadHead(r *bufio.Reader, method string, maxBytes int) (*Head, error) {
	return ReadHeldHead(r, method, maxBytes, nil)
}

// ReadHeldHead is ReadHead for who counts what is held: hold is called before further bytes are. An
// error of it ends the head.
func ReadHeldHead(r *bufio.Reader, method string, maxBytes int, hold func(bytes int) error) (*Head, error) {
	lines := &lineReader{reader: r, left: maxBytes, hold: hold}
	text, err := lines.next()
	if err != nil {
		return nil, errors.Annotate(err, "read the status line")
	}
	line, err := parseStatusLine(text)
	if err != nil {
		return nil, err
	}
	h := &Head{Status: line.status, Header: http.Header{}}
	err = lines.readFields(func(name, value string) {
		name = textproto.CanonicalMIMEHeaderKey(name)
		h.Header[name] = append(h.Header[name], value)
	})
	if err != nil {
		return nil, errors.Annotate(err, "read the fields")
	}
	if h.bodyFrame, err = parseFrame(line, h.Header); err != nil {
		return nil, err
	}
	h.Frame = h.FrameOf(method)
	h.Closes = h.Frame.endsWithConnection() || closes(line, h.Header["Connection"])
	removeOptions(h.Header)
	return h, nil
}

// FrameOf returns the frame of the answer if it is to a request with a method, which may be another one
// than that with which the head was read.
func (h *Head) FrameOf(method string) Frame {
	if method == http.MethodHead {
		return Frame{}
	}
	return h.bodyFrame
}

// Single returns the value of a field that may come once, such as the id of the request that an answer
// belongs to. It is empty if the lines of the field differ, since nothing tells which of them counts.
func Single(h http.Header, name string) string {
	values := h.Values(name)
	if len(values) == 0 || slices.ContainsFunc(values, func(v string) bool { return v != values[0] }) {
		return ""
	}
	return values[0]
}

// removeOptions removes the fields that Connection names. They belong to the connection and aren't
// passed on (RFC 9110, section 7.6.1), so that nothing may count as said by them. Keep-Alive is left to
// who keeps the connection.
func removeOptions(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = strings.Trim(name, " \t")
			if !strings.EqualFold(name, "keep-alive") && !strings.EqualFold(name, "connection") {
				h.Del(name)
			}
		}
	}
}

// closes reports whether connection options end the connection (RFC 9112, section 9.3).
func closes(line statusLine, values []string) bool {
	return hasOption(values, "close") || line.minorVersion == 0 && !hasOption(values, "keep-alive")
}

func hasOption(values []string, option string) bool {
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.Trim(name, " \t"), option) {
				return true
			}
		}
	}
	return false
}

// lineReader reads lines that end with CRLF, or with LF alone (RFC 9112, section 2.2).
type lineReader struct {
	reader *bufio.Reader
	// left is the number of bytes that the lines may still have together.
	left int
	// hold is called before further bytes are held; nil if nobody counts them.
	hold func(bytes int) error
}

func (l *lineReader) take(bytes int) error {
	if l.hold == nil {
		return nil
	}
	return l.hold(bytes)
}

// next returns the next line without its end.
func (l *lineReader) next() (string, error) {
	var line strings.Builder
	for {
		part, err := l.reader.ReadSlice('\n')
		l.left -= len(part)
		if l.left < 0 {
			return "", ErrTooLarge
		}
		if err := l.take(textFactor * len(part)); err != nil {
			return "", err
		}
		line.Write(part)
		switch {
		case err == nil:
			return strings.TrimSuffix(strings.TrimSuffix(line.String(), "\n"), "\r"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			// The line goes on.
		case errors.Is(err, io.EOF):
			return "", io.ErrUnexpectedEOF
		default:
			return "", errors.Trace(err)
		}
	}
}

// readFields reads field lines and the empty line that ends them.
func (l *lineReader) readFields(add func(name, value string)) error {
	for {
		line, err := l.next()
		if err != nil || line == "" {
			return err
		}
		name, value, err := parseField(line)
		if err == nil {
			err = l.take(FieldBytes)
		}
		if err != nil {
			return err
		}
		add(name, value)
	}
}
