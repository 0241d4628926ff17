package proxy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprint returns a hash of what a request asks for and on whose behalf: the same for
// all tries of it, by whichever connection, caller's address and instance they come.
func (c *Call) fingerprint() uint64 {
	if c.fingerprintHash == 0 {
		c.fingerprintHash = c.hashContent()
	}
	return c.fingerprintHash
}

// hashContent hashes the fields of the fingerprint. A zero byte, which none of those before
// the body contains, ends each of them.
func (c *Call) hashContent() uint64 {
	h := xxhash.New()
	for _, field := range []string{c.Method, c.Host, c.Target, c.caller()} {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// caller identifies on whose behalf a request comes: the workspace, or, where there are none,
// what the caller says of itself.
func (c *Call) caller() string {
	if c.Workspace != nil {
		return string(c.Workspace.Name)
	}
	return c.Header.Get("Authorization")
}

// loggedFingerprint returns the fingerprint as it is logged.
func (c *Call) loggedFingerprint() string {
	return strconv.FormatUint(c.fingerprint(), 16)
}
