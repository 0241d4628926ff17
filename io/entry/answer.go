package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/io/invoke"
)

// The headers of the callers' interface.
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

// statusOf gives the HTTP status of a refusal that came before any answer.
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

// httpSink passes an answer on to a caller.
type httpSink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	clock      clock.Clock
	requestID  string
	revision   ident.Revision
	// idle bounds one write to a caller that has stopped reading.
	idle time.Duration
	// extended is when the write deadline was last moved.
	extended time.Time
	// leaving says whether this instance is stopping.
	leaving func() bool
	// begun is true once the status line was written.
	begun bool
	// consumed is true once the whole body of the request was read.
	consumed bool
	// streamed is true for an event stream, whose every write is flushed.
	streamed bool
}

// writeDeadlineStep is how often a write deadline is moved at most.
const writeDeadlineStep = time.Second

// Begin writes the status line and the answer's headers.
func (s *httpSink) Begin(h invoke.ResponseHead) error {
	header := s.writer.Header()
	copyAnswerHeader(header, h.Header)
	s.streamed = isEventStream(h.Header)
	s.setCommon(header)
	header.Set(headerPeer, h.Peer)
	// The outcome is known only at the end, after the body. Trailers go with chunked
	// bodies only.
	header.Set("Trailer", headerOutcome)
	header.Del("Content-Length")
	s.begun = true
	s.extend()
	s.writer.WriteHeader(h.Status)
	return nil
}

func (s *httpSink) setCommon(header http.Header) {
	if s.leaving() {
		// The caller must not begin its next call on a connection that is about to be
		// closed: it couldn't tell whether that call was read.
		header.Set("Connection", "close")
	}
	header.Set(headerRequestID, s.requestID)
	header.Set(headerTableRevision, strconv.FormatUint(uint64(s.revision), 10))
}

// Write passes on the next bytes.
func (s *httpSink) Write(p []byte) error {
	s.extend()
	if _, err := s.writer.Write(p); err != nil {
		return err
	}
	if !s.streamed {
		return nil
	}
	return s.controller.Flush()
}

func (s *httpSink) extend() {
	now := s.clock.Now()
	if now.Sub(s.extended) < writeDeadlineStep {
		return
	}
	s.extended = now
	_ = s.controller.SetWriteDeadline(now.Add(s.idle + writeDeadlineStep))
}

// finish ends a whole answer.
func (s *httpSink) finish() {
	s.writer.Header().Set(headerOutcome, result.Done.String())
}

// fail gives the final word on a request that was not answered in whole. Before
// the status line it is an ordinary error answer. After it, an event stream gets
// an error event, and the connection is cut, since a body that ends cleanly
// would look whole.
func (s *httpSink) fail(f *result.Failure, extra refusalDetail) {
	s.extend()
	if !s.begun {
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

// refusalDetail is what some refusals tell a caller beside the reason.
type refusalDetail struct {
	// Entries are where the caller may go instead.
	Entries []advisedEntry
	// KeyPrefix is what a caller's own key starts with at this entry.
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
	s.setCommon(header)
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
	if !s.consumed {
		// The server would wait for the rest of the body before it answers.
		header.Set("Connection", "close")
		_ = s.controller.SetReadDeadline(s.clock.Now())
	}
	s.begun = true
	s.writer.WriteHeader(statusOf(f))
	_ = json.NewEncoder(s.writer).Encode(s.refusalBody(f, extra))
}

func isEventStream(h http.Header) bool {
	const prefix = "text/event-stream"
	value := h.Get("Content-Type")
	return len(value) >= len(prefix) && value[:len(prefix)] == prefix
}

// copyAnswerHeader copies the headers of an upstream's answer that are meant for
// the caller.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		if isPrivateHeader(name) {
			continue
		}
		to[name] = values
	}
}

// isPrivateHeader reports whether a header belongs to one connection, or is a word
// between the system and an upstream.
func isPrivateHeader(name string) bool {
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
