package syntax

import (
	"net/http"

	"github.com/juju/errors"
)

// Transport is a transport of net/http that returns an error for an answer whose head breaks the
// grammar, as far as net/http tells what it has read. It doesn't tell of folded lines, nor of a second
// framing.
type Transport struct{ *http.Transport }

// NewClient returns a client that follows no redirects: the answer of another address isn't that of the
// one that was asked.
func NewClient(t Transport) http.Client {
	return http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip sends one request.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Annotatef(err, "head of the answer from %s", r.URL.Host)
	}
	return response, nil
}

func checkResponse(r *http.Response) error {
	if r.ProtoMajor != 1 || r.ProtoMinor > 9 {
		return errors.NotValidf("version %s", quote(r.Proto))
	}
	if !isText(r.Status) {
		return errors.NotValidf("reason in the status line %s", quote(r.Status))
	}
	return CheckHead(r.StatusCode, r.Header)
}
