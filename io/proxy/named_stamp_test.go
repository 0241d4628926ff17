package proxy

import (
	"net/http"
	"testing"
)

// TestSignatureNamedAsOption guards against a success that reaches its caller without the signature of
// its upstream, since the answer names that field as an option of its connection.
func TestSignatureNamedAsOption(t *testing.T) {
	t.Parallel()
	do := answer("200 OK\r\nSigned: 1\r\nConnection: Signed", "fine")
	inst := newTestInstance(t, do, do).ready(t)
	response, body, err := inst.send(t, "/once/", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode == http.StatusOK && response.Header.Get("Signed") == "" {
		t.Errorf("status %d without the signature: %v, %q", response.StatusCode, response.Header, body)
	}
}
