package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
)

var (
	frameEnd    = []byte("\n\n")
	dataPrefix  = []byte("data: ")
	errorPrefix = []byte("event: error\ndata: ")
	doneFrame   = []byte("data: [DONE]")
)

// stream validates the frames of one answer as they arrive. A frame that starts with the
// expected bytes is not decoded, unless its text is kept.
type stream struct {
	request *Request
	answer  *Answer
	started time.Time
	// lastToken is the arrival time of the previous token.
	lastToken time.Time
	// framePrefix is the start of each frame, up to its index.
	framePrefix []byte
	// done is set by the end marker, after which nothing may follow.
	done bool
}

func newStream(q *Request, answer *Answer, started time.Time) *stream {
	quoted, _ := json.Marshal(answer.RequestID) // marshaling a string cannot fail
	start := append([]byte(`data: {"id":`), quoted...)
	return &stream{request: q, answer: answer, started: started, framePrefix: append(start, `,"index":`...)}
}

// read reads the stream to its end. A frame must fit into the buffer.
func (s *stream) read(ctx context.Context, response *http.Response, buffer []byte) *result.Failure {
	buffered := 0
	for {
		n, err := response.Body.Read(buffer[buffered:])
		buffered += n
		consumed, failed := s.checkFrames(buffer[:buffered])
		if failed != nil {
			return failed
		}
		buffered = copy(buffer, buffer[consumed:buffered])
		switch {
		case err == io.EOF && !s.done:
			return failure(result.AnswerCut, errors.New("the body ended without the end marker"))
		case err == io.EOF && buffered > 0:
			return failure(result.AnswerMismatch, errors.New("bytes after the end marker"))
		case err == io.EOF:
			return checkTrailer(response)
		case err != nil:
			return transportFailure(ctx, err)
		case buffered == len(buffer):
			return failure(result.AnswerTooLarge, errors.New("a frame exceeds the read buffer"))
		}
	}
}

// checkFrames checks the complete frames in data and returns their total length.
func (s *stream) checkFrames(data []byte) (int, *result.Failure) {
	consumed := 0
	now := time.Now()
	for {
		length := bytes.Index(data[consumed:], frameEnd)
		if length < 0 {
			return consumed, nil
		}
		if failed := s.checkFrame(data[consumed:consumed+length], now); failed != nil {
			return consumed, failed
		}
		consumed += length + len(frameEnd)
	}
}

// checkFrame checks one frame and counts its token.
func (s *stream) checkFrame(frame []byte, now time.Time) *result.Failure {
	if s.done {
		return failure(result.AnswerMismatch, errors.New("a frame after the end marker"))
	}
	if bytes.Equal(frame, doneFrame) {
		s.done = true
		return nil
	}
	if message, found := bytes.CutPrefix(frame, errorPrefix); found {
		return parseErrorEvent(message)
	}
	if !s.isNext(frame) || s.request.KeepText {
		if failed := s.decode(frame); failed != nil {
			return failed
		}
	}
	s.recordToken(now)
	return nil
}

// isNext reports whether the frame begins with the request id and the next index.
func (s *stream) isNext(frame []byte) bool {
	rest, found := bytes.CutPrefix(frame, s.framePrefix)
	if !found {
		return false
	}
	var digits [20]byte
	index := strconv.AppendInt(digits[:0], int64(s.answer.Tokens), 10)
	rest, found = bytes.CutPrefix(rest, index)
	return found && len(rest) > 0 && rest[0] == ','
}

// decode checks the id and index of a frame and keeps its text if the request asks for
// it.
func (s *stream) decode(frame []byte) *result.Failure {
	var token struct {
		ID    *string `json:"id"`
		Index *int    `json:"index"`
		Text  string  `json:"text"`
	}
	err := json.Unmarshal(bytes.TrimPrefix(frame, dataPrefix), &token)
	if err != nil || token.ID == nil || token.Index == nil {
		return failure(result.AnswerMismatch, errors.New("a frame without id or index"))
	}
	if *token.ID != s.answer.RequestID {
		return failure(result.AnswerMismatch, errors.Errorf("frame with request id %q", *token.ID))
	}
	if *token.Index != s.answer.Tokens {
		return failure(result.AnswerMismatch, errors.Errorf("frame index %d, want %d", *token.Index, s.answer.Tokens))
	}
	if s.request.KeepText {
		s.answer.Text = append(s.answer.Text, token.Text...)
	}
	return nil
}

// recordToken counts one token and records its arrival time.
func (s *stream) recordToken(now time.Time) {
	if s.answer.Tokens == 0 {
		s.answer.TimeToFirstByte = now.Sub(s.started)
	} else if s.request.TokenGaps != nil {
		s.request.TokenGaps.Record(now.Sub(s.lastToken))
	}
	s.lastToken = now
	s.answer.Tokens++
}

// parseErrorEvent returns the failure that an instance reports on a stream that it could
// not complete.
func parseErrorEvent(text []byte) *result.Failure {
	var message struct {
		Outcome      string `json:"outcome"`
		Step         string `json:"step"`
		Reason       string `json:"reason"`
		Peer         string `json:"peer"`
		RetryAfterMS int64  `json:"retry-after-ms"`
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return failure(result.AnswerMismatch, errors.Annotate(err, "error event"))
	}
	return &result.Failure{
		Outcome:    result.ParseOutcome(message.Outcome),
		Step:       result.ParseStep(message.Step),
		Reason:     result.ParseReason(message.Reason),
		Peer:       message.Peer,
		RetryAfter: time.Duration(message.RetryAfterMS) * time.Millisecond,
	}
}
