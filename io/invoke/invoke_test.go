package invoke_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/result"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/emul/plain"
	"arbutustrestle/io/invoke"
)

// shortTimeout bounds an attempt in cases whose upstream never responds. The result
// does not depend on its length.
const shortTimeout = 300 * time.Millisecond

const maxAnswerBytes = 64 << 10

// upstream is an emulated upstream.
type upstream struct {
	server  *emul.Server
	handler http.Handler
}

func startUpstream(t *testing.T, handler http.Handler) upstream {
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return upstream{server: server, handler: handler}
}

// control calls a control path of the emulated upstream.
func (u upstream) control(t *testing.T, method, path, body string) []byte {
	request, _ := http.NewRequest(method, "http://"+u.server.Addr().String()+path, strings.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var out json.RawMessage
	_ = json.NewDecoder(response.Body).Decode(&out)
	return out
}

// runCount returns the number of requests of which some part ran.
func (u upstream) runCount(t *testing.T) int {
	var log struct {
		Runs []emul.Run `json:"runs"`
	}
	if err := json.Unmarshal(u.control(t, "GET", "/v1/runs", ""), &log); err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, r := range log.Runs {
		if r.State == emul.Running || r.State == emul.Done || r.State == emul.Cancelled {
			count++
		}
	}
	return count
}

// sink records a response. With disconnected set, every write fails, as for a caller that
// closed its connection.
type sink struct {
	status       int
	body         []byte
	disconnected bool
}

func (s *sink) Begin(h invoke.ResponseHead) error {
	s.status = h.Status
	return nil
}

func (s *sink) Write(p []byte) error {
	if s.disconnected {
		return fmt.Errorf("the caller has disconnected")
	}
	s.body = append(s.body, p...)
	return nil
}

// TestFaults sends one attempt to an upstream with an injected fault. Each case prints
// the reported outcome and how often the call ran. It guards against the outcome
// "not-run" for a call that ran, and "done" without a whole response.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		var handler http.Handler
		streamed := d.Cmd == "engine"
		if streamed {
			handler = engine.New(engine.Settings{ID: "engine-1"}).Handler()
		} else {
			handler = plain.New(plain.Settings{ID: "service-1"}).Handler()
		}
		u := startUpstream(t, handler)
		if d.Input != "" {
			u.control(t, "PUT", "/v1/faults", `{"faults":[`+d.Input+`]}`)
		}
		client := invoke.NewClient(shortTimeout, shortTimeout, maxAnswerBytes)
		defer client.Close()
		a := &invoke.Attempt{
			RequestID:  "0123456789abcdef0123456789abcdef",
			Upstream:   "upstream-1",
			Address:    u.server.Addr(),
			Method:     "POST",
			Path:       "/bookings",
			Header:     http.Header{"Idempotency-Key": {"k"}},
			Body:       []byte(`{"slot":1}`),
			Repeatable: !d.HasArg("once"),
			Streamed:   streamed,
		}
		if streamed {
			a.Path = "/v1/completions"
			a.Body = []byte(`{"model":"m","version":"v","prompt":"p","max-tokens":5}`)
		}
		if d.HasArg("dead") {
			u.server.Close()
		}
		if d.HasArg("warm") {
			_, _ = client.Do(context.Background(), a, &sink{})
			u.control(t, "PUT", "/v1/faults", `{"faults":[`+d.Input+`]}`)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &sink{disconnected: d.HasArg("gone")}
		report, failure := client.Do(ctx, a, s)
		if d.HasArg("dead") {
			return formatOutcome(report, failure, s, 0)
		}
		return formatOutcome(report, failure, s, u.runCount(t))
	})
}

func formatOutcome(report invoke.Report, failure *result.Failure, s *sink, runs int) string {
	outcome := "done"
	if failure != nil {
		outcome = fmt.Sprintf("%s %s %s", failure.Outcome, failure.Step, failure.Reason)
	}
	complete := strings.HasSuffix(string(s.body), "data: [DONE]\n\n") || json.Valid(s.body)
	return fmt.Sprintf("%s; begun %t, %d frames, whole %t; ran %d\n", outcome, report.HeadSent, report.Frames, complete, runs)
}

// TestTransportDoesNotReplay calls an upstream that reads a call on a reused connection
// and then closes the connection. net/http replays such a call if it has an
// Idempotency-Key and a body that can be read again, or no body.
func TestTransportDoesNotReplay(t *testing.T) {
	for _, body := range []string{"", `{"slot":1}`} {
		for _, repeatable := range []bool{false, true} {
			u := startUpstream(t, plain.New(plain.Settings{ID: "service-1"}).Handler())
			client := invoke.NewClient(0, 0, 0)
			a := &invoke.Attempt{
				RequestID: "0123456789abcdef0123456789abcdef", Upstream: "service-1", Address: u.server.Addr(),
				Method: "POST", Path: "/bookings", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body), Repeatable: repeatable,
			}
			if _, failure := client.Do(context.Background(), a, &sink{}); failure != nil {
				t.Fatal(failure)
			}
			u.control(t, "PUT", "/v1/faults", `{"faults":[{"kind":"close-after-read","count":1}]}`)
			_, failure := client.Do(context.Background(), a, &sink{})
			client.Close()
			if runs := u.runCount(t); failure == nil || failure.Outcome != result.Unknown || runs != 2 {
				t.Errorf("body %q, repeatable %t: %v, %d runs in two attempts", body, repeatable, failure, runs)
			}
		}
	}
}

// TestAttemptEndsWithItsContext checks that attempts to an upstream that hangs end at
// the deadline and at the cancellation of their context, with the reason of each.
func TestAttemptEndsWithItsContext(t *testing.T) {
	u := startUpstream(t, plain.New(plain.Settings{ID: "service-1"}).Handler())
	u.control(t, "PUT", "/v1/faults", `{"faults":[{"kind":"hang-after-run"}]}`)
	client := invoke.NewClient(time.Hour, time.Hour, 0)
	defer client.Close()
	a := &invoke.Attempt{RequestID: "0123456789abcdef0123456789abcdef", Address: u.server.Addr(), Method: "GET", Path: "/x", Repeatable: true}
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	if _, failure := client.Do(ctx, a, &sink{}); failure == nil || failure.Reason != result.DeadlinePassed {
		t.Errorf("deadline: %v", failure)
	}
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(shortTimeout, cancel)
	if _, failure := client.Do(ctx, a, &sink{}); failure == nil || failure.Reason != result.CallerGone {
		t.Errorf("caller: %v", failure)
	}
}
