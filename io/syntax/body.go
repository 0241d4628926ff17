package syntax

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/juju/errors"
)

// maxTrailerBytes bounds the trailer of an answer in chunks.
const maxTrailerBytes = 8 << 10

// Body returns a reader of the body that follows a head. It returns io.EOF only where the frame says
// that the body ends.
func (f Frame) Body(r *bufio.Reader) io.Reader {
	switch {
	case f.Chunked:
		return &chunksReader{reader: r, chunks: httputil.NewChunkedReader(r)}
	case f.endsWithConnection():
		return r
	default:
		return &lengthReader{reader: r, left: f.Length}
	}
}

func (f Frame) endsWithConnection() bool {
	return !f.Chunked && f.Length < 0
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	reader io.Reader
	// left is the number of bytes that haven't been read.
	left int64
}

// Read returns io.EOF with the last byte.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if l.left == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunksReader reads a body in chunks and the trailer behind it, which isn't passed on.
type chunksReader struct {
	reader *bufio.Reader
	chunks io.Reader
	// end is what follows the chunks; nil before it was read.
	end error
}

// Read returns io.EOF after a trailer that keeps the grammar.
func (c *chunksReader) Read(p []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	lines := &lineReader{reader: c.reader, left: maxTrailerBytes}
	if c.end = lines.readFields(func(string, string) {}); c.end == nil {
		c.end = io.EOF
	}
	return n, c.end
}
