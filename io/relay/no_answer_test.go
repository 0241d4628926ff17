package relay

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// TestNoAnswerFromPeer guards against the head of an answer that reaches the caller although it breaks the
// grammar, since another instance, perhaps of an earlier build, has let it through.
func TestNoAnswerFromPeer(t *testing.T) {
	field := func(name, value string) []*wire.Header { return []*wire.Header{{Name: name, Value: []byte(value)}} }
	for name, c := range map[string]struct {
		status  uint32
		headers []*wire.Header
		good    bool
	}{
		"sound":                  {200, field("X", "a\tb\xe9\xff"), true},
		"name in odd case":       {503, field("x-oDD", ""), true},
		"status 0":               {0, nil, false},
		"status 99":              {99, nil, false},
		"interim status":         {103, nil, false},
		"switch of protocols":    {101, nil, false},
		"status 600":             {600, nil, false},
		"status of 32 bits":      {1<<32 - 56, nil, false},
		"empty name":             {200, field("", "a"), false},
		"blank in a name":        {200, field("Odd Name", "a"), false},
		"blank after a name":     {200, field("Content-Length ", "5"), false},
		"control byte in a name": {200, field("Od\x01d", "a"), false},
		"line end in a value":    {200, field("X", "a\r\nY: b"), false},
		"control byte in value":  {200, field("X", "a\x00"), false},
		"long name":              {200, field(strings.Repeat("x ", 10000), "a"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			links, address := startPeer(t, func(_ *link.Stream, r *Reply) {
				head := &wire.Head{Status: c.status, Headers: c.headers, Signed: true}
				_ = r.send(&wire.Frame{Kind: &wire.Frame_Head{Head: head}})
				_, _ = r.Write([]byte("body"))
				_ = r.End(nil)
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			request := &Request{}
			request.Attempt.RequestID = "1"
			request.Attempt.Remaining = time.Second
			answer, failure := Send(ctx, links, address, request)
			if failure == nil {
				body, err := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				if !c.good || string(body) != "body" || err != nil {
					t.Errorf("status %d, header %v, %q, error %v", answer.Status, answer.Header, body, err)
				}
				return
			}
			if c.good || failure.Outcome != result.Unknown || failure.Reason != result.AnswerMismatch || len(failure.Cause.Error()) > 300 {
				t.Errorf("%v", failure)
			}
		})
	}
}
