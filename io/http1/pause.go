package http1

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// parseRetryAfter returns the time in a Retry-After header; zero if there is none. The
// header has seconds, with or without a fraction, or a date, which counts from the Date of
// the answer, so that the clocks of two machines aren't compared.
func parseRetryAfter(h http.Header) (time.Duration, error) {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if text == "" {
		return 0, nil
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return parseSeconds(seconds, text)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, errors.NotValidf("Retry-After %q", text)
	}
	from, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0, errors.NotValidf("Retry-After %q without the date of the answer", text)
	}
	return max(0, until.Sub(from)), nil
}

// maxSeconds keeps a number of seconds within the range of a duration.
const maxSeconds = 1e9

func parseSeconds(seconds float64, text string) (time.Duration, error) {
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.NotValidf("Retry-After %q", text)
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second)), nil
}
