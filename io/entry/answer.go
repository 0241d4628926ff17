package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/io/ending"
	"arbutustrestle/io/invoke"
)

// These are the headers of the HTTP interface for callers.
const (
	headerWorkspace     = "Workspace"
	headerClass         = "Request-Class"
	headerTimeout       = "Request-Timeout"
	headerSession       = "Session"
	headerKey           = "Idempotency-Key"
	headerTableRevision = "Table-Revision"
	headerStep          = "Run-Step"
	headerReason        = "Run-Reason"
	headerPeer          = "Run-Peer"
	headerOutcome       = invoke.HeaderOutcome
	headerRequestID     = invoke.HeaderRequestID
)

// statusOf returns the HTTP status of a failure that comes before the response head.
func statusOf(f *result.Failure) int {
	switch f.Reason {
	case result.BadRequest, result.KeyMalformed:
		return http.StatusBadRequest
	case result.UnknownWorkspace, result.NoPlaceAllowed:
		return http.StatusForbidden
	case result.UnknownModel, result.UnknownCall:
		return http.StatusNotFound
	case result.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.BodyTooSlow:
		return http.StatusRequestTimeout
	case result.PlaceForbidden:
		return http.StatusMisdirectedRequest
	case result.DeadlinePassed, result.FirstByteTimeout, result.IdleTimeout:
		return http.StatusGatewayTimeout
	case result.KeyRequired:
		return http.StatusPreconditionRequired
	case result.KeyExpired:
		return http.StatusGone
	case result.KeyReused:
		return http.StatusUnprocessableEntity
	case result.OwnerGone, result.AnswerNotKept:
		return http.StatusConflict
	case result.ClassFull, result.WorkspaceLimit:
		return http.StatusTooManyRequests
	case result.HopLimit:
		return http.StatusLoopDetected
	case result.RecordsFull, result.Overloaded, result.Draining, result.NotReady, result.NoUpstream,
		result.OlderTable, result.RetryBudget, result.UpstreamLeaving, result.UpstreamRefused:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

// httpSink sends a response to a caller.
type httpSink struct {
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	clock      clock.Clock
	requestID  string
	revision   ident.Revision
	// writeTimeout bounds one write to a caller that has stopped reading.
	writeTimeout time.Duration
	// deadlineSetAt is the time when the write deadline was last extended.
	deadlineSetAt time.Time
	// draining reports whether this instance is draining.
	draining func() bool
	// headSent is true once the status line was written.
	headSent bool
	// bodyRead is true once the whole request body was read.
	bodyRead bool
	// streamed is true for an event stream; each of its writes is flushed.
	streamed bool
	// endsWithConn is true if the caller's version of HTTP has no chunks, so that the end of
	// the answer is that of its connection.
	endsWithConn bool
}

// writeDeadlineStep is the minimum time between two extensions of a write deadline.
const writeDeadlineStep = time.Second

// Begin writes the status line and the headers of the response.
func (s *httpSink) Begin(h invoke.ResponseHead) error {
	header := s.writer.Header()
	copyAnswerHeader(header, h.Header)
	s.streamed = isEventStream(h.Header)
	s.setCommonHeaders(header)
	header.Set(headerPeer, h.Peer)
	// The outcome is known only after the body, so it is sent as a trailer. HTTP/1.1 allows
	// trailers only with a chunked body.
	header.Set("Trailer", headerOutcome)
	header.Del("Content-Length")
	if s.endsWithConn = !s.request.ProtoAtLeast(1, 1); s.endsWithConn {
		if err := ending.Reset(s.request); err != nil {
			return errors.Trace(err)
		}
	}
	s.headSent = true
	s.extendWriteDeadline()
	s.writer.WriteHeader(h.Status)
	return nil
}

func (s *httpSink) setCommonHeaders(header http.Header) {
	if s.draining() {
		// The caller must not send its next call on a connection that is about to be
		// closed: it couldn't find out whether that call was read.
		header.Set("Connection", "close")
	}
	header.Set(headerRequestID, s.requestID)
	header.Set(headerTableRevision, strconv.FormatUint(uint64(s.revision), 10))
}

// Write sends the next bytes of the body.
func (s *httpSink) Write(p []byte) error {
	s.extendWriteDeadline()
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	if !s.streamed {
		return nil
	}
	return s.controller.Flush()
}

func (s *httpSink) extendWriteDeadline() {
	now := s.clock.Now()
	if now.Sub(s.deadlineSetAt) < writeDeadlineStep {
		return
	}
	s.deadlineSetAt = now
	_ = s.controller.SetWriteDeadline(now.Add(s.writeTimeout + writeDeadlineStep))
}

// finish completes a response that was sent whole.
func (s *httpSink) finish() error {
	s.writer.Header().Set(headerOutcome, result.Done.String())
	if !s.endsWithConn {
		return nil
	}
	return errors.Trace(ending.InOrder(s.request, s.controller))
}

// fail ends a request that was not answered in whole. Before the status line it sends an
// ordinary error response. After it, an event stream gets an error event, and the
// connection is aborted, since a body that ends cleanly would look complete.
func (s *httpSink) fail(f *result.Failure, extra refusalDetail) {
	s.extendWriteDeadline()
	if !s.headSent {
		s.writeRefusal(f, extra)
		return
	}
	if s.streamed {
		body, _ := json.Marshal(s.refusalBody(f, extra))
		_, _ = s.writer.Write(append(append([]byte("event: error\ndata: "), body...), '\n', '\n'))
		_ = s.controller.Flush()
	}
	panic(http.ErrAbortHandler)
}

// refusalDetail holds the data that some refusals carry besides the reason.
type refusalDetail struct {
	// Entries lists the instances that the caller may use instead.
	Entries []advisedEntry
	// KeyPrefix is the prefix of new idempotency keys on this instance.
	KeyPrefix string
}

type refusalMessage struct {
	RequestID    string         `json:"request-id"`
	Outcome      string         `json:"outcome"`
	Step         string         `json:"step"`
	Reason       string         `json:"reason"`
	Peer         string         `json:"peer,omitempty"`
	RetryAfterMS int64          `json:"retry-after-ms,omitempty"`
	Entries      []advisedEntry `json:"entries,omitempty"`
	KeyPrefix    string         `json:"key-prefix,omitempty"`
}

func (s *httpSink) refusalBody(f *result.Failure, extra refusalDetail) refusalMessage {
	return refusalMessage{
		RequestID:    s.requestID,
		Outcome:      f.Outcome.String(),
		Step:         f.Step.String(),
		Reason:       f.Reason.String(),
		Peer:         f.Peer,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
		Entries:      extra.Entries,
		KeyPrefix:    extra.KeyPrefix,
	}
}

func (s *httpSink) writeRefusal(f *result.Failure, extra refusalDetail) {
	header := s.writer.Header()
	s.setCommonHeaders(header)
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, f.Outcome.String())
	header.Set(headerStep, f.Step.String())
	header.Set(headerReason, f.Reason.String())
	if f.Peer != "" {
		header.Set(headerPeer, f.Peer)
	}
	if f.RetryAfter > 0 {
		seconds := int64(math.Ceil(f.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if !s.bodyRead {
		// The server would wait for the rest of the body before it answers.
		header.Set("Connection", "close")
		_ = s.controller.SetReadDeadline(s.clock.Now())
	}
	s.headSent = true
	s.writer.WriteHeader(statusOf(f))
	_ = json.NewEncoder(s.writer).Encode(s.refusalBody(f, extra))
}

func isEventStream(h http.Header) bool {
	const prefix = "text/event-stream"
	value := h.Get("Content-Type")
	return len(value) >= len(prefix) && value[:len(prefix)] == prefix
}

// copyAnswerHeader copies the headers of an upstream's response that are meant for the
// caller.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		if isInternalHeader(name) {
			continue
		}
		to[name] = values
	}
}

// isInternalHeader reports whether a header belongs to one connection, or is exchanged only
// between this system and an upstream.
func isInternalHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Date",
		invoke.HeaderLoad, invoke.HeaderLeaving, headerOutcome, headerRequestID,
		headerTableRevision, headerStep, headerReason, headerPeer:
		return true
	default:
		return false
	}
}
