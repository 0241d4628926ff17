// Package bench calls the system as a caller does: it asks which instance to use, sends
// requests, checks that each answer is complete and belongs to its request, and measures
// latency and throughput.
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
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

const (
	dialTimeout = 2 * time.Second
	// maxIdleConns is the number of idle connections that are kept per address.
	maxIdleConns = 4096
	// readBytes is the size of the read buffer of a call.
	readBytes = 16 << 10
	// maxReplyBytes bounds an answer that is not a stream.
	maxReplyBytes = 64 << 20
)

// Client calls entry instances, or engines and services directly. The zero value is ready
// to use. A Client is safe for concurrent use.
type Client struct {
	once      sync.Once
	transport *http.Transport
	// buffers holds values of type *[]byte with a length of readBytes.
	buffers sync.Pool
	// dial opens connections; nil uses the network. Tests set it to break connections.
	dial dialFunc
}

func (c *Client) start() {
	if c.dial == nil {
		c.dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c.transport = &http.Transport{
		DialContext:         countWrites(c.dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		ReadBufferSize:      readBytes,
	}
	c.buffers.New = func() any {
		buffer := make([]byte, readBytes)
		return &buffer
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.start)
	c.transport.CloseIdleConnections()
}

// Directory returns the instances that the platform lists as the first ones to contact.
// Errors come from the platform or the network.
func (c *Client) Directory(ctx context.Context, platform netip.AddrPort) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	err := c.GetJSON(ctx, platform, "/v1/directory", &list)
	return list, errors.Trace(err)
}

// AdvisedEntry is an instance that callers of a workspace may use.
type AdvisedEntry struct {
	Instance    ident.Instance `json:"instance"`
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	Zone        ident.Zone     `json:"zone"`
	Region      ident.Region   `json:"region"`
}

// Advice is the response of an instance to FetchAdvice.
type Advice struct {
	Workspace     ident.Workspace `json:"workspace"`
	TableRevision ident.Revision  `json:"table-revision"`
	// Entries is ordered, best first.
	Entries []AdvisedEntry `json:"entries"`
	// KeyPrefix is the first part of the idempotency keys of calls that may run at most
	// once; the caller appends a unique part. It is empty if the instance that responded
	// must not store the workspace's records or is starting or stopping.
	KeyPrefix string `json:"key-prefix"`
}

// FetchAdvice asks an instance which instances callers of the workspace should use. If
// the request is refused, the error is a *result.Failure.
func (c *Client) FetchAdvice(ctx context.Context, entry netip.AddrPort, workspace ident.Workspace) (Advice, error) {
	var advice Advice
	err := c.GetJSON(ctx, entry, "/v1/entry?workspace="+url.QueryEscape(string(workspace)), &advice)
	return advice, errors.Trace(err)
}

// GetJSON fetches a JSON document and decodes it into value. For any status other than
// 200 the error is a *result.Failure; other errors come from the network or the JSON
// decoder.
func (c *Client) GetJSON(ctx context.Context, address netip.AddrPort, path string, value any) error {
	c.once.Do(c.start)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response, body)
	}
	return errors.Trace(json.Unmarshal(body, value))
}

// refusal returns the failure that a response with an error status describes.
func refusal(response *http.Response, body []byte) *result.Failure {
	header := response.Header
	f := &result.Failure{
		Outcome: result.ParseOutcome(header.Get("Run-Outcome")),
		Step:    result.ParseStep(header.Get("Run-Step")),
		Reason:  result.ParseReason(header.Get("Run-Reason")),
		Peer:    header.Get("Run-Peer"),
		Cause:   errors.Errorf("status %d", response.StatusCode),
	}
	if f.Reason == result.ReasonNone && f.Outcome == result.NotRun {
		f.Reason = result.UpstreamRefused
	}
	if f.Reason == result.ReasonNone {
		f.Reason = result.UpstreamStatus
	}
	if seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16); err == nil {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	// The body gives the retry delay in milliseconds, the header only in seconds.
	var message struct {
		RetryAfterMS int64 `json:"retry-after-ms"`
	}
	if json.Unmarshal(body, &message) == nil && message.RetryAfterMS > 0 {
		f.RetryAfter = time.Duration(message.RetryAfterMS) * time.Millisecond
	}
	return f
}

// onceBody hides from the transport that the body can be read again, so that the
// transport never sends a request twice.
type onceBody struct {
	*bytes.Reader
}

func (onceBody) Close() error {
	return nil
}
