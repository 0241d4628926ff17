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

// shortTime is the bound of an attempt in cases whose upstream never answers. The
// verdict does not depend on its length.
const shortTime = 300 * time.Millisecond

const maxAnswerBytes = 64 << 10

// upstream is a stand-in that is called in a case.
type upstream struct {
	server  *emul.Server
	handler http.Handler
}

func serve(t *testing.T, handler http.Handler) upstream {
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return upstream{server: server, handler: handler}
}

// control calls a control path of the stand-in.
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

// ran counts the requests of which some part ran.
func (u upstream) ran(t *testing.T) int {
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

// sink keeps an answer; a gone one fails from its first write on.
type sink struct {
	status int
	body   []byte
	gone   bool
}

func (s *sink) Begin(h invoke.ResponseHead) error {
	s.status = h.Status
	return nil
}

func (s *sink) Write(p []byte) error {
	if s.gone {
		return fmt.Errorf("the caller is gone")
	}
	s.body = append(s.body, p...)
	return nil
}

// TestFaults makes one attempt at an upstream with a fault. Each case tells the
// outcome that the attempt claims and how often the call ran: a claim of "not-run"
// beside a run, or of "done" without a whole answer, is the fault to look for.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		var handler http.Handler
		streamed := d.Cmd == "engine"
		if streamed {
			handler = engine.New(engine.Settings{ID: "engine-1"}).Handler()
		} else {
			handler = plain.New(plain.Settings{ID: "service-1"}).Handler()
		}
		u := serve(t, handler)
		if d.Input != "" {
			u.control(t, "PUT", "/v1/faults", `{"faults":[`+d.Input+`]}`)
		}
		client := invoke.NewClient(shortTime, shortTime, maxAnswerBytes)
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
		s := &sink{gone: d.HasArg("gone")}
		report, failure := client.Do(ctx, a, s)
		if d.HasArg("dead") {
			return describe(report, failure, s, 0)
		}
		return describe(report, failure, s, u.ran(t))
	})
}

func describe(report invoke.Report, failure *result.Failure, s *sink, ran int) string {
	outcome := "done"
	if failure != nil {
		outcome = fmt.Sprintf("%s %s %s", failure.Outcome, failure.Step, failure.Reason)
	}
	whole := strings.HasSuffix(string(s.body), "data: [DONE]\n\n") || json.Valid(s.body)
	return fmt.Sprintf("%s; begun %t, %d frames, whole %t; ran %d\n", outcome, report.HeadSent, report.Frames, whole, ran)
}

// TestNothingIsReplayed calls an upstream that reads a call on a connection which it
// has kept and then closes it. net/http sends such a call again when it has an
// Idempotency-Key and a body that can be had again, or none.
func TestNothingIsReplayed(t *testing.T) {
	for _, body := range []string{"", `{"slot":1}`} {
		for _, repeatable := range []bool{false, true} {
			u := serve(t, plain.New(plain.Settings{ID: "service-1"}).Handler())
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
			if ran := u.ran(t); failure == nil || failure.Outcome != result.Unknown || ran != 2 {
				t.Errorf("body %q, repeatable %t: %v, %d runs in two attempts", body, repeatable, failure, ran)
			}
		}
	}
}

// TestAttemptEndsWithItsContext ends attempts at an upstream that hangs.
func TestAttemptEndsWithItsContext(t *testing.T) {
	u := serve(t, plain.New(plain.Settings{ID: "service-1"}).Handler())
	u.control(t, "PUT", "/v1/faults", `{"faults":[{"kind":"hang-after-run"}]}`)
	client := invoke.NewClient(time.Hour, time.Hour, 0)
	defer client.Close()
	a := &invoke.Attempt{RequestID: "0123456789abcdef0123456789abcdef", Address: u.server.Addr(), Method: "GET", Path: "/x", Repeatable: true}
	ctx, cancel := context.WithTimeout(context.Background(), shortTime)
	defer cancel()
	if _, failure := client.Do(ctx, a, &sink{}); failure == nil || failure.Reason != result.DeadlinePassed {
		t.Errorf("deadline: %v", failure)
	}
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(shortTime, cancel)
	if _, failure := client.Do(ctx, a, &sink{}); failure == nil || failure.Reason != result.CallerGone {
		t.Errorf("caller: %v", failure)
	}
}
