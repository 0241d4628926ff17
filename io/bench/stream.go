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
	frameEnd   = []byte("\n\n")
	dataStart  = []byte("data: ")
	errorStart = []byte("event: error\ndata: ")
	doneFrame  = []byte("data: [DONE]")
)

// stream checks the frames of one answer as they come. A frame that starts with
// the bytes expected is not decoded, unless its text is kept.
type stream struct {
	request *Request
	answer  *Answer
	started time.Time
	// last is when the token before came.
	last time.Time
	// start is how each frame begins, up to its index.
	start []byte
	// done is set by the end marker; nothing may follow it.
	done bool
}

func newStream(q *Request, answer *Answer, started time.Time) *stream {
	quoted, _ := json.Marshal(answer.RequestID) // a string always has a JSON form
	start := append([]byte(`data: {"id":`), quoted...)
	return &stream{request: q, answer: answer, started: started, start: append(start, `,"index":`...)}
}

// read reads the stream to its end. The buffer bounds a frame.
func (s *stream) read(ctx context.Context, response *http.Response, buffer []byte) *result.Failure {
	held := 0
	for {
		n, err := response.Body.Read(buffer[held:])
		held += n
		used, failed := s.take(buffer[:held])
		if failed != nil {
			return failed
		}
		held = copy(buffer, buffer[used:held])
		switch {
		case err == io.EOF && !s.done:
			return failure(result.AnswerCut, errors.New("the body ended without the end marker"))
		case err == io.EOF && held > 0:
			return failure(result.AnswerMismatch, errors.New("bytes after the end marker"))
		case err == io.EOF:
			return trailed(response)
		case err != nil:
			return broken(ctx, err)
		case held == len(buffer):
			return failure(result.AnswerTooLarge, errors.New("a frame is above the buffer"))
		}
	}
}

// take checks the whole frames in the data and returns their length.
func (s *stream) take(data []byte) (int, *result.Failure) {
	used := 0
	now := time.Now()
	for {
		length := bytes.Index(data[used:], frameEnd)
		if length < 0 {
			return used, nil
		}
		if failed := s.frame(data[used:used+length], now); failed != nil {
			return used, failed
		}
		used += length + len(frameEnd)
	}
}

// frame checks one frame.
func (s *stream) frame(frame []byte, now time.Time) *result.Failure {
	if s.done {
		return failure(result.AnswerMismatch, errors.New("a frame after the end marker"))
	}
	if bytes.Equal(frame, doneFrame) {
		s.done = true
		return nil
	}
	if message, found := bytes.CutPrefix(frame, errorStart); found {
		return errorEvent(message)
	}
	if !s.isNext(frame) || s.request.KeepText {
		if failed := s.decode(frame); failed != nil {
			return failed
		}
	}
	s.count(now)
	return nil
}

// isNext reports whether the frame begins with the request's id and the next index.
func (s *stream) isNext(frame []byte) bool {
	rest, found := bytes.CutPrefix(frame, s.start)
	if !found {
		return false
	}
	var digits [20]byte
	index := strconv.AppendInt(digits[:0], int64(s.answer.Tokens), 10)
	rest, found = bytes.CutPrefix(rest, index)
	return found && len(rest) > 0 && rest[0] == ','
}

// decode checks a frame by its fields and keeps its text if wanted.
func (s *stream) decode(frame []byte) *result.Failure {
	var token struct {
		ID    *string `json:"id"`
		Index *int    `json:"index"`
		Text  string  `json:"text"`
	}
	err := json.Unmarshal(bytes.TrimPrefix(frame, dataStart), &token)
	if err != nil || token.ID == nil || token.Index == nil {
		return failure(result.AnswerMismatch, errors.New("a frame without id or index"))
	}
	if *token.ID != s.answer.RequestID {
		return failure(result.AnswerMismatch, errors.Errorf("a frame of the request %q", *token.ID))
	}
	if *token.Index != s.answer.Tokens {
		return failure(result.AnswerMismatch, errors.Errorf("index %d in place of %d", *token.Index, s.answer.Tokens))
	}
	if s.request.KeepText {
		s.answer.Text = append(s.answer.Text, token.Text...)
	}
	return nil
}

// count records the time of one token.
func (s *stream) count(now time.Time) {
	if s.answer.Tokens == 0 {
		s.answer.TimeToFirstByte = now.Sub(s.started)
	} else if s.request.TokenGaps != nil {
		s.request.TokenGaps.Record(now.Sub(s.last))
	}
	s.last = now
	s.answer.Tokens++
}

// errorEvent returns the final word that an entry gives on a stream that it could
// not bring to its end.
func errorEvent(text []byte) *result.Failure {
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
