// Package source reads what the platform publishes. It never writes.
package source

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
)

const (
	// maxValueBytes is the platform's own bound of a value.
	maxValueBytes = 1 << 20
	dialTimeout   = 2 * time.Second
	// answerTimeout is how long a read may take beyond the wait that it asked for.
	answerTimeout     = 3 * time.Second
	defaultRetryAfter = time.Second
)

// Value is one state of a published value.
type Value struct {
	Key      string
	Revision ident.Revision
	Body     []byte
}

// Reply is what one read brought: a Found value, Unchanged, Absent, or Limited.
type Reply interface {
	isReply()
}

// Found is a value newer than the one asked about.
type Found struct {
	Value Value
}

// Unchanged means that the wait ended without a newer value.
type Unchanged struct{}

// Absent means that nothing is published under the key.
type Absent struct{}

// RateLimited means that the platform refused the read for its rate.
type RateLimited struct {
	RetryAfter time.Duration
}

func (Found) isReply()       {}
func (Unchanged) isReply()   {}
func (Absent) isReply()      {}
func (RateLimited) isReply() {}

// Client reads from one platform address. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	client  http.Client
}

// NewClient returns a client for the platform's service at the address.
func NewClient(address netip.AddrPort) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
	}
	return &Client{address: address, client: http.Client{Transport: transport}}
}

// Close drops the connections that are kept.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

// Read returns the value under a key when its revision is higher than after,
// waiting for one for up to wait. The error is of the connection, or of an answer
// that the platform's protocol doesn't have.
func (c *Client) Read(ctx context.Context, key string, after ident.Revision, wait time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	target := url.URL{Scheme: "http", Host: c.address.String(), Path: "/v1/values/" + key, RawQuery: query.Encode()}
	response, err := c.get(ctx, target)
	if err != nil {
		return nil, errors.Annotatef(err, "read %s from %s", key, c.address)
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response, key)
}

func (c *Client) get(ctx context.Context, target url.URL) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return c.client.Do(request)
}

func readReply(response *http.Response, key string) (Reply, error) {
	switch response.StatusCode {
	case http.StatusOK:
		return readValue(response, key)
	case http.StatusNotModified:
		return Unchanged{}, nil
	case http.StatusNotFound:
		return Absent{}, nil
	case http.StatusTooManyRequests:
		return RateLimited{RetryAfter: retryAfter(response.Header)}, nil
	default:
		return nil, errors.Errorf("read %s: the platform answered with status %d", key, response.StatusCode)
	}
}

func readValue(response *http.Response, key string) (Reply, error) {
	revision, err := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
	if err != nil {
		return nil, errors.NotValidf("revision %q of %s", response.Header.Get("Revision"), key)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "read the body of %s", key)
	}
	if len(body) > maxValueBytes {
		return nil, errors.NotValidf("length of %s, over %d bytes,", key, maxValueBytes)
	}
	return Found{Value: Value{Key: key, Revision: ident.Revision(revision), Body: body}}, nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// Directory returns the caller addresses at which a caller may first ask.
func (c *Client) Directory(ctx context.Context) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	response, err := c.get(ctx, url.URL{Scheme: "http", Host: c.address.String(), Path: "/v1/directory"})
	if err != nil {
		return nil, errors.Annotatef(err, "read the directory from %s", c.address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read the directory: the platform answered with status %d", response.StatusCode)
	}
	var addresses []netip.AddrPort
	err = json.NewDecoder(io.LimitReader(response.Body, maxValueBytes)).Decode(&addresses)
	return addresses, errors.Annotate(err, "decode the directory")
}
