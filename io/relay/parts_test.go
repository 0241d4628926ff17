package relay

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// partsBody returns a body that doesn't fit one message.
func partsBody(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	return body
}

// TestLongBody guards against a body that is longer than one message of a link and isn't relayed, or
// not as it is.
func TestLongBody(t *testing.T) {
	for _, size := range []int{MaxBodyBytes, MaxBodyBytes + 1, 3 << 20, 8 << 20} {
		body := partsBody(size)
		var got []byte
		var gotErr error
		links, address := startRelayPeer(t, func(s *link.Stream, m *wire.Relay, r *Reply) {
			got = m.GetBody()
			if size := m.GetPartsBytes(); size > 0 {
				got, gotErr = ReadParts(s, size, func(int64) bool { return true })
			}
			_ = r.WriteHead(testAnswer())
			_ = r.End(nil)
		})
		answer, failure := sendLong(t, links, address, body)
		if failure != nil {
			t.Fatalf("%d bytes: %v", size, failure)
		}
		_, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil || gotErr != nil || !bytes.Equal(got, body) {
			t.Errorf("%d bytes: got %d, errors %v, %v", size, len(got), err, gotErr)
		}
	}
}

func sendLong(t *testing.T, links *link.Pool, address netip.AddrPort, body []byte) (*http1.Answer, *result.Failure) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1", Body: body, Remaining: 10 * time.Second}})
}

// TestLongBodyRefused guards against a request that is told to have run, or waits, although the other
// instance has refused it before it had the whole body, or has ended the stream.
func TestLongBodyRefused(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(s *link.Stream, m *wire.Relay, r *Reply)
	}{
		{"refused unread", func(_ *link.Stream, _ *wire.Relay, r *Reply) {
			_ = r.End(&result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.Overloaded})
		}},
		{"no room", func(s *link.Stream, m *wire.Relay, r *Reply) {
			_, err := ReadParts(s, m.GetPartsBytes(), func(bytes int64) bool { return bytes < 1<<20 })
			if err != ErrNoRoom { //nolint:errorlint // returned as it is
				t.Errorf("error %v", err)
			}
			_ = r.End(&result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.Overloaded})
		}},
		{"ended unread", func(s *link.Stream, _ *wire.Relay, _ *Reply) { s.Abort() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			links, address := startRelayPeer(t, c.serve)
			_, failure := sendLong(t, links, address, partsBody(8<<20))
			if failure == nil || failure.Outcome != result.NotRun {
				t.Errorf("%v", failure)
			}
		})
	}
}

// TestLongBodyEndedBehind guards against a request that counts as not run although the other instance
// had its whole body.
func TestLongBodyEndedBehind(t *testing.T) {
	links, address := startRelayPeer(t, func(s *link.Stream, m *wire.Relay, _ *Reply) {
		_, _ = ReadParts(s, m.GetPartsBytes(), func(int64) bool { return true })
		s.Abort()
	})
	_, failure := sendLong(t, links, address, partsBody(2<<20))
	if failure == nil || failure.Outcome != result.Unknown {
		t.Errorf("%v", failure)
	}
}
