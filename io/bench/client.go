// Package bench calls the system as a caller does: it asks which entry to use,
// sends requests, checks that each answer is whole and its own, and measures.
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
	// maxIdleConns is the number of connections kept to each address.
	maxIdleConns = 4096
	// readBytes is the size of the buffer of a running call.
	readBytes = 16 << 10
	// maxReplyBytes bounds an answer that isn't a stream.
	maxReplyBytes = 64 << 20
)

// Client calls entries, or engines and services directly. Its zero value is ready;
// it is safe for concurrent use.
type Client struct {
	once      sync.Once
	transport *http.Transport
	// buffers holds *[]byte of readBytes.
	buffers sync.Pool
	// dial makes connections; nil is the network's. Tests break them here.
	dial dialFunc
}

func (c *Client) start() {
	if c.dial == nil {
		c.dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c.transport = &http.Transport{
		DialContext:         counting(c.dial),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		ReadBufferSize:      readBytes,
	}
	c.buffers.New = func() any {
		buffer := make([]byte, readBytes)
		return &buffer
	}
}

// Close drops the connections that are kept.
func (c *Client) Close() {
	c.once.Do(c.start)
	c.transport.CloseIdleConnections()
}

// Directory returns the entries at which the platform says to ask first. The error
// is the platform's or the network's.
func (c *Client) Directory(ctx context.Context, platform netip.AddrPort) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	err := c.GetJSON(ctx, platform, "/v1/directory", &list)
	return list, errors.Trace(err)
}

// AdvisedEntry is an entry that a workspace's callers may use.
type AdvisedEntry struct {
	Instance    ident.Instance `json:"instance"`
	Incarnation string         `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	Zone        ident.Zone     `json:"zone"`
	Region      ident.Region   `json:"region"`
}

// Advice is what an entry answers to the question which entry to use.
type Advice struct {
	Workspace     ident.Workspace `json:"workspace"`
	TableRevision ident.Revision  `json:"table-revision"`
	// Entries has the better one first.
	Entries []AdvisedEntry `json:"entries"`
	// KeyPrefix starts the keys of calls that may run at most once; the caller adds
	// a part of its own. It is empty when the asked entry may not hold the
	// workspace's records.
	KeyPrefix string `json:"key-prefix"`
}

// FetchAdvice asks an entry which entry the workspace's callers should use. A refusal is a
// *result.Failure.
func (c *Client) FetchAdvice(ctx context.Context, entry netip.AddrPort, workspace ident.Workspace) (Advice, error) {
	var advice Advice
	err := c.GetJSON(ctx, entry, "/v1/entry?workspace="+url.QueryEscape(string(workspace)), &advice)
	return advice, errors.Trace(err)
}

// GetJSON reads a JSON document from an address into the value. An answer with another
// status than 200 is a *result.Failure; other errors are the network's or JSON's.
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

// refusal returns what an answer with an error status says.
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
	// The body has the time to come back more exactly than the header.
	var message struct {
		RetryAfterMS int64 `json:"retry-after-ms"`
	}
	if json.Unmarshal(body, &message) == nil && message.RetryAfterMS > 0 {
		f.RetryAfter = time.Duration(message.RetryAfterMS) * time.Millisecond
	}
	return f
}

// onceBody hides from the transport that a body could be read again, so that it
// never sends a request twice.
type onceBody struct {
	*bytes.Reader
}

func (onceBody) Close() error {
	return nil
}
