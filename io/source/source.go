// Package source reads the values that the platform publishes. It never writes.
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
	"arbutustrestle/io/syntax"
)

const (
	// maxValueBytes is the platform's own limit on the size of a value.
	maxValueBytes = 1 << 20
	dialTimeout   = 2 * time.Second
	// replyTimeout is how long a read may take in addition to its requested wait.
	replyTimeout      = 3 * time.Second
	defaultRetryAfter = time.Second
)

// Value is one revision of a published value.
type Value struct {
	Key      string
	Revision ident.Revision
	Body     []byte
}

// Reply is the result of a read: Found, Unchanged, Absent or RateLimited.
type Reply interface {
	isReply()
}

// Found holds a value with a higher revision than the one in the request.
type Found struct {
	Value Value
}

// Unchanged means that the wait ended without a newer value.
type Unchanged struct{}

// Absent means that no value is published under the key.
type Absent struct{}

// RateLimited means that the platform rejected the read because of its rate limit.
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

// NewClient returns a client of the platform's service at the address.
func NewClient(address netip.AddrPort) *Client {
	transport := syntax.Transport{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		// Replies carry no key, so that what comes late on a connection must not meet the next read.
		DisableKeepAlives: true,
	}}
	return &Client{address: address, client: syntax.NewClient(transport)}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

// Read returns the value under a key if its revision is higher than after, waiting up
// to wait for one. It returns an error if the connection fails or the answer does not
// conform to the platform's protocol.
func (c *Client) Read(ctx context.Context, key string, after ident.Revision, wait time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
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

// Directory returns the caller addresses at which a caller may connect first.
func (c *Client) Directory(ctx context.Context) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
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
