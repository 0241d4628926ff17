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

// Request is one call of a workspace.
type Request struct {
	Workspace ident.Workspace
	// Class decides which of the following fields are read: those of a completion,
	// or with table.ServiceCall those of a call to a plain service.
	Class table.Class
	// Timeout is the request's deadline; zero leaves it to the table.
	Timeout time.Duration

	Model     ident.Model
	Prompt    string
	MaxTokens int
	Session   string
	// RequestID and Version are set only when an engine or a service is called
	// without an entry.
	RequestID string
	Version   ident.Version

	Service ident.Service
	Method  string
	// Path starts with a slash.
	Path string
	Body []byte
	// IdempotencyKey is the idempotency key; empty for a call that may be repeated.
	IdempotencyKey string

	// KeepText keeps the text or body of the answer.
	KeepText bool
	// TokenGaps takes the times between tokens, unless it is nil.
	TokenGaps *LatencyHistogram
}

// Answer is what came back. It is whole unless Call returns a failure too.
type Answer struct {
	Status    int
	RequestID string
	// Tokens counts the good frames of a stream.
	Tokens int
	// TimeToFirstByte and Duration are the times to the first token, or the first byte of a
	// plain answer, and to the end of the whole answer. TimeToFirstByte is zero when there
	// was none.
	TimeToFirstByte, Duration time.Duration
	// Text is the text of all tokens or the plain body, when the request keeps it.
	Text []byte
}

// Call sends the request and reads the answer to its end. A failure says what is
// known of the outcome: NotRun only for a connection that was never made, for a call
// that didn't go out whole, and for an answer that says so.
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
	out := &sending{}
	if q.RequestID == "" {
		// Engines and services that are called directly may run on a part of the body.
		out.body = request.ContentLength
		request.Body = trackedBody{request.Body, out}
	}
	started := time.Now()
	response, err := c.transport.RoundTrip(request.WithContext(out.trace(ctx)))
	if err != nil {
		return answer, unsent(ctx, err, out)
	}
	defer func() { _ = response.Body.Close() }()
	buffer := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buffer)
	answer.Status = response.StatusCode
	answer.RequestID = response.Header.Get("Request-Id")
	refused := response.Header.Get("Run-Outcome") == result.NotRun.String()
	if q.RequestID != "" && answer.RequestID != q.RequestID && !refused {
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
		return broken(ctx, err)
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
	return trailed(response)
}

// trailed checks the outcome that an entry sends after the body.
func trailed(response *http.Response) *result.Failure {
	outcome, found := response.Trailer["Run-Outcome"]
	if found && (len(outcome) != 1 || outcome[0] != result.Done.String()) {
		return failure(result.AnswerCut, errors.Errorf("the outcome after the body is %q", outcome))
	}
	return nil
}

// failure is one that arose here, after the request was sent.
func failure(reason result.Reason, cause error) *result.Failure {
	return &result.Failure{Step: result.StepStream, Reason: reason, Cause: cause}
}

// unsent turns an error before the answer's head into what is known of the outcome.
func unsent(ctx context.Context, err error, out *sending) *result.Failure {
	f := broken(ctx, err)
	if ctx.Err() == nil && out.incomplete() {
		f.Outcome, f.Step, f.Reason = result.NotRun, result.StepAttempt, result.ConnectFailed
	}
	return f
}

// broken turns an error of the transport into what is known of the outcome.
func broken(ctx context.Context, err error) *result.Failure {
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

// httpRequest builds the request without what would let the transport send it a
// second time.
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

// completion returns the body of a request for a completion.
func (q *Request) completion() ([]byte, error) {
	return json.Marshal(struct {
		Model     ident.Model   `json:"model"`
		Version   ident.Version `json:"version,omitempty"`
		Prompt    string        `json:"prompt"`
		MaxTokens int           `json:"max-tokens"`
		Session   string        `json:"session,omitempty"`
	}{q.Model, q.Version, q.Prompt, q.MaxTokens, q.Session})
}
