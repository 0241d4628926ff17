// Package syntax holds the grammar that the head, the framing and the trailer of an answer must keep,
// after RFC 9110 and RFC 9112, for all that read answers. What breaks it is no answer, and nothing of it
// is passed on: its sender meant another framing, or sent bytes that belong to no request. net/http is
// no check of that, since it reads more than the grammar allows: any number as a status, and a blank in
// the name of a field, which then isn't the field that was meant. docs/design/answer-grammar.md lists
// the rules.
package syntax

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const (
	minStatus = 100
	maxStatus = 599
	// maxQuotedBytes bounds what an error quotes of a line.
	maxQuotedBytes = 64
)

// CheckHead returns an error if the head of a final answer that was read elsewhere, by another
// instance or by net/http, breaks the grammar.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK {
		return errors.NotValidf("status %d of a final answer", status)
	}
	if err := checkStatus(status); err != nil {
		return err
	}
	for name, values := range h {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkStatus returns an error for a number that is no status, and for the switch to a protocol that
// no request asks for.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.NotValidf("status %d", status)
	}
	return nil
}

func checkField(name, value string) error {
	if !isToken(name) {
		return errors.NotValidf("field name %s", quote(name))
	}
	if !isText(value) {
		return errors.NotValidf("value of the field %s: %s", quote(name), quote(value))
	}
	return nil
}

// statusLine is "HTTP/1." DIGIT SP 3DIGIT, with SP and a reason behind it or without.
type statusLine struct {
	minorVersion int
	status       int
}

// The parts of a status line and their places in it.
const (
	versionPrefix = "HTTP/1."
	minorAt       = len(versionPrefix)
	statusAt      = minorAt + len("1 ")
	statusEnd     = statusAt + len("200")
)

func parseStatusLine(line string) (statusLine, error) {
	if len(line) < statusEnd || !strings.HasPrefix(line, versionPrefix) || line[statusAt-1] != ' ' ||
		!isDigits(line[minorAt:minorAt+1]) || !isDigits(line[statusAt:statusEnd]) {
		return statusLine{}, errors.NotValidf("status line %s", quote(line))
	}
	if reason := line[statusEnd:]; reason != "" && reason[0] != ' ' || !isText(reason) {
		return statusLine{}, errors.NotValidf("reason in the status line %s", quote(line))
	}
	status, err := strconv.Atoi(line[statusAt:statusEnd])
	if err != nil {
		return statusLine{}, errors.Trace(err)
	}
	return statusLine{minorVersion: int(line[minorAt] - '0'), status: status}, checkStatus(status)
}

// parseField splits a field line. A line that begins with a blank, which once continued the line
// before, has no name and is refused (RFC 9112, section 5.2).
func parseField(line string) (name, value string, err error) {
	name, value, found := strings.Cut(line, ":")
	if !found {
		return "", "", errors.NotValidf("field line %s", quote(line))
	}
	value = strings.Trim(value, " \t")
	return name, value, checkField(name, value)
}

// SplitField is parseField for who doesn't need to know what is wrong with a line: an error costs much more
// than the check.
func SplitField(line string) (name, value string, valid bool) {
	name, value, found := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	return name, value, found && isToken(name) && isText(value)
}

// Frame is how the end of an answer's body is found (RFC 9112, section 6.3). Without chunks and
// length, it is the end of the connection.
type Frame struct {
	Chunked bool
	// Length is the number of bytes of the body, 0 if the status or the method allows none;
	// negative if the head doesn't tell.
	Length int64
}

// parseFrame returns the frame of an answer to a request with another method than HEAD. It returns an
// error if the head names two, or one for an answer that never has a body.
func parseFrame(line statusLine, h http.Header) (Frame, error) {
	chunked, err := parseCoding(line, h["Transfer-Encoding"])
	if err != nil {
		return Frame{}, err
	}
	length, err := parseLength(h["Content-Length"])
	if err != nil {
		return Frame{}, err
	}
	if chunked && length >= 0 {
		return Frame{}, errors.NotValidf("answer with a length and in chunks")
	}
	neverBody := line.status < http.StatusOK || line.status == http.StatusNoContent
	if neverBody && (chunked || length > 0) {
		return Frame{}, errors.NotValidf("answer of status %d with a body", line.status)
	}
	if neverBody || line.status == http.StatusNotModified {
		return Frame{}, nil
	}
	return Frame{Chunked: chunked, Length: length}, nil
}

// parseCoding reports whether a body is in chunks, the only coding that requests allow.
func parseCoding(line statusLine, codings []string) (chunked bool, err error) {
	switch {
	case len(codings) == 0:
		return false, nil
	case len(codings) > 1 || !isToken(codings[0]) || !strings.EqualFold(codings[0], "chunked"):
		return false, errors.NotValidf("transfer encoding %s", quote(strings.Join(codings, ", ")))
	case line.minorVersion == 0:
		return false, errors.NotValidf("transfer encoding in HTTP/1.0")
	default:
		return true, nil
	}
}

// parseLength returns the length that all lines name, or a negative number if there are none.
func parseLength(lengths []string) (int64, error) {
	if len(lengths) == 0 {
		return -1, nil
	}
	for _, text := range lengths {
		if text != lengths[0] || !isDigits(text) {
			return 0, errors.NotValidf("length %s", quote(strings.Join(lengths, ", ")))
		}
	}
	length, err := strconv.ParseInt(lengths[0], 10, 64)
	if err != nil {
		return 0, errors.NotValidf("length %s, over %d,", quote(lengths[0]), int64(math.MaxInt64))
	}
	return length, nil
}

// isDigits reports whether a text is 1*DIGIT.
func isDigits(text string) bool {
	for _, b := range []byte(text) {
		if b < '0' || b > '9' {
			return false
		}
	}
	return text != ""
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for _, b := range []byte(text) {
		isAlphanumeric := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return text != ""
}

// isText reports whether a text has no control byte other than HTAB (RFC 9110, section 5.5).
func isText(text string) bool {
	for _, b := range []byte(text) {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// quote returns the start of a text, quoted.
func quote(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}
