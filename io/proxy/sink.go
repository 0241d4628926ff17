package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/io/ending"
	"arbutustrestle/io/http1"
)

// httpSink writes an answer to a caller's HTTP connection.
type httpSink struct {
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	// framing is how the caller learns where the answer ends; FramingUnknown before its head.
	framing http1.Framing
	// closeEnded counts the answers under way that end with their connection.
	closeEnded *atomic.Int64
}

// WriteHead writes the head.
func (s *httpSink) WriteHead(head AnswerHead) error {
	header := s.writer.Header()
	connection := header.Get("Connection")
	length := head.Header.Get("Content-Length")
	RemoveHopByHopHeaders(head.Header)
	for name, values := range head.Header {
		header[name] = values
	}
	if connection != "" {
		header.Set("Connection", connection)
	}
	if s.request.Method == http.MethodHead {
		s.setAnnounced(header, length)
	} else {
		s.setFraming(header, head)
	}
	if s.framing == http1.FramedByClose {
		s.closeEnded.Add(1)
		if err := ending.Reset(s.request); err != nil {
			return errors.Trace(err)
		}
	}
	for _, name := range generatedHeaders {
		if _, found := head.Header[name]; !found {
			header[name] = nil
		}
	}
	s.writer.WriteHeader(head.Status)
	return nil
}

// setFraming sets the header from which the caller learns where the answer ends.
func (s *httpSink) setFraming(header http.Header, head AnswerHead) {
	switch {
	case head.Framing == http1.FramedByClose:
		s.framing = http1.FramedByClose
		omitFraming(header)
	case head.Length >= 0:
		s.framing = http1.FramedByLength
		header.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	case s.request.ProtoAtLeast(1, 1):
		s.framing = http1.FramedByChunks
	default:
		s.framing = http1.FramedByClose
	}
}

// generatedHeaders are those that net/http makes up if an answer has none.
var generatedHeaders = []string{"Date", "Content-Type"}

// setAnnounced sets the length that the upstream gives for the body which a HEAD doesn't ask for; none if it
// gives none.
func (s *httpSink) setAnnounced(header http.Header, length string) {
	s.framing = http1.FramedByLength
	if length != "" {
		header.Set("Content-Length", length)
	}
}

// release ends the use of the sink.
func (s *httpSink) release() {
	if s.framing == http1.FramedByClose {
		s.closeEnded.Add(-1)
	}
}

// omitFraming makes net/http send neither a length nor chunks and close the connection
// after the answer.
func omitFraming(header http.Header) {
	header.Set("Transfer-Encoding", "identity")
}

// finish ends an answer that was written whole.
func (s *httpSink) finish() error {
	if s.framing != http1.FramedByClose {
		return nil
	}
	return errors.Trace(ending.InOrder(s.request, s.control))
}

// Abort makes writes fail.
func (s *httpSink) Abort() {
	_ = s.control.SetWriteDeadline(time.Unix(1, 0))
}

// Write writes a part of the body and flushes it.
func (s *httpSink) Write(p []byte) (int, error) {
	n, err := s.writer.Write(p)
	if err != nil {
		return n, errors.Trace(err)
	}
	return n, errors.Trace(s.control.Flush())
}
