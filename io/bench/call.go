package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Request is one call on behalf of a workspace.
type Request struct {
	Workspace ident.Workspace
	// Class selects the fields that apply: those of a completion, or with
	// table.ServiceCall those of a call to a plain service.
	Class table.Class
	// Timeout is the deadline of the request; with zero the deadline in the table
	// applies.
	Timeout time.Duration

	Model     ident.Model
	Prompt    string
	MaxTokens int
	Session   string
	// RequestID and Version are set only for calls that go to an engine or service
	// directly, without an entry instance.
	RequestID string
	Version   ident.Version

	Service ident.Service
	Method  string
	// Path starts with a slash.
	Path string
	Body []byte
	// IdempotencyKey is empty for a call that may be repeated.
	IdempotencyKey string

	// KeepText stores the generated text or the response body in Answer.Text.
	KeepText bool
	// TokenGaps records the times between tokens, unless it is nil.
	TokenGaps *LatencyHistogram
}

// Answer is the response to a Request. It is complete unless Call also returns a failure.
type Answer struct {
	Status    int
	RequestID string
	// Tokens counts the valid frames of a stream.
	Tokens int
	// TimeToFirstByte is the time to the first token of a stream or to the end of a plain
	// body; zero if neither was received. Duration is the time to the end of the answer.
	TimeToFirstByte, Duration time.Duration
	// Text is the text of all tokens or the plain body. It is set only with
	// Request.KeepText.
	Text []byte
}

// Call sends the request and reads the answer to its end. A failure states the known
// outcome: NotRun only if no connection was made, if the call was not written completely,
// or if the answer reports it.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, q *Request) (Answer, *result.Failure) {
	c.once.Do(c.start)
	if q.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.Timeout)
		defer cancel()
	}
	var answer Answer
	request, err := q.httpRequest(to)
	if err != nil {
		return answer, &result.Failure{Outcome: result.NotRun, Step: result.StepIdentify, Reason: result.BadRequest, Cause: err}
	}
	tracker := &sendTracker{}
	if q.RequestID == "" {
		// An instance runs nothing before the whole body has arrived; an engine or
		// service that is called directly may run with only a part of it.
		tracker.minBytes = request.ContentLength
		request.Body = trackedBody{request.Body, tracker}
	}
	started := time.Now()
	response, err := c.transport.RoundTrip(request.WithContext(tracker.trace(ctx)))
	if err != nil {
		return answer, sendFailure(ctx, err, tracker)
	}
	defer func() { _ = response.Body.Close() }()
	buffer := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buffer)
	answer.Status = response.StatusCode
	answer.RequestID = response.Header.Get("Request-Id")
	notRun := response.Header.Get("Run-Outcome") == result.NotRun.String()
	if q.RequestID != "" && answer.RequestID != q.RequestID && !notRun {
		return answer, failure(result.AnswerMismatch, errors.Errorf("request id %q", answer.RequestID))
	}
	failed := c.read(ctx, q, response, &answer, *buffer, started)
	answer.Duration = time.Since(started)
	return answer, failed
}

func (c *Client) read(ctx context.Context, q *Request, response *http.Response, answer *Answer, buffer []byte, started time.Time) *result.Failure {
	streamed := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	if streamed && response.StatusCode == http.StatusOK {
		s := newStream(q, answer, started)
		return s.read(ctx, response, buffer)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return transportFailure(ctx, err)
	}
	answer.TimeToFirstByte = time.Since(started)
	if q.KeepText {
		answer.Text = body
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refusal(response, body)
	}
	if q.Class != table.ServiceCall {
		return failure(result.AnswerMismatch, errors.Errorf("status %d without a stream", response.StatusCode))
	}
	return checkTrailer(response)
}

// checkTrailer checks the outcome that an instance sends in the trailer.
func checkTrailer(response *http.Response) *result.Failure {
	outcome, found := response.Trailer["Run-Outcome"]
	if found && (len(outcome) != 1 || outcome[0] != result.Done.String()) {
		return failure(result.AnswerCut, errors.Errorf("the outcome in the trailer is %q", outcome))
	}
	return nil
}

// failure returns a failure that the client detected after the request was sent.
func failure(reason result.Reason, cause error) *result.Failure {
	return &result.Failure{Step: result.StepStream, Reason: reason, Cause: cause}
}

// sendFailure returns the failure for an error that occurred before the response header
// was received.
func sendFailure(ctx context.Context, err error, tracker *sendTracker) *result.Failure {
	f := transportFailure(ctx, err)
	if ctx.Err() == nil && tracker.incomplete() {
		f.Outcome, f.Step, f.Reason = result.NotRun, result.StepAttempt, result.ConnectFailed
	}
	return f
}

// transportFailure returns the failure for an error of the transport.
func transportFailure(ctx context.Context, err error) *result.Failure {
	f := failure(result.AnswerCut, err)
	var network *net.OpError
	switch {
	case errors.As(err, &network) && network.Op == "dial":
		f.Outcome, f.Step, f.Reason = result.NotRun, result.StepAttempt, result.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason = result.DeadlinePassed
	case ctx.Err() != nil:
		f.Reason = result.CallerGone
	}
	return f
}

// httpRequest builds the HTTP request. It leaves out everything that would let the
// transport send the request a second time.
func (q *Request) httpRequest(to netip.AddrPort) (*http.Request, error) {
	header := http.Header{"Workspace": {string(q.Workspace)}}
	if q.Timeout > 0 {
		header["Request-Timeout"] = []string{q.Timeout.String()}
	}
	if q.RequestID != "" {
		header["Request-Id"] = []string{q.RequestID}
	}
	method, path, body := http.MethodPost, "/v1/completions", q.Body
	var err error
	if q.Class == table.ServiceCall {
		method, path = q.Method, q.Path
		if q.RequestID == "" {
			path = "/v1/services/" + string(q.Service) + q.Path
		}
		if q.IdempotencyKey != "" {
			header["Idempotency-Key"] = []string{q.IdempotencyKey}
		}
	} else {
		header["Request-Class"] = []string{q.Class.String()}
		header["Content-Type"] = []string{"application/json"}
		if q.Session != "" {
			header["Session"] = []string{q.Session}
		}
		body, err = q.completion()
	}
	target, parseError := url.ParseRequestURI(path)
	if err != nil || parseError != nil {
		return nil, errors.Errorf("request to %s: %v %v", path, err, parseError)
	}
	target.Scheme, target.Host = "http", to.String()
	return &http.Request{
		Method:        method,
		URL:           target,
		Host:          target.Host,
		Header:        header,
		Body:          onceBody{bytes.NewReader(body)},
		ContentLength: int64(len(body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}, nil
}

// completion returns the JSON body of a completion request.
func (q *Request) completion() ([]byte, error) {
	return json.Marshal(struct {
		Model     ident.Model   `json:"model"`
		Version   ident.Version `json:"version,omitempty"`
		Prompt    string        `json:"prompt"`
		MaxTokens int           `json:"max-tokens"`
		Session   string        `json:"session,omitempty"`
	}{q.Model, q.Version, q.Prompt, q.MaxTokens, q.Session})
}
