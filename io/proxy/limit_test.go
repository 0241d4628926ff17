package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/pool"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/metric"
)

// TestLimitFromAnswers guards against an upstream that goes on getting requests at any rate
// after it has named a limit in an answer, or in one that states that nothing ran: an
// instance alone, whose region doesn't agree, then sends there no more.
func TestLimitFromAnswers(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"answer":  "200 OK\r\nSigned: 1\r\nLimit: 1",
		"refusal": "503 Busy\r\nNot-Run: 1\r\nLimit: 1",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inst := newTestInstance(t, answer(head, "limited"), answer("200 OK\r\nSigned: 1", "free")).ready(t)
			for range 40 {
				if _, _, err := inst.send(t, "/safe/x", "", nil); err != nil {
					t.Fatal(err)
				}
				if inst.upstreams[0].seen() != "" {
					break
				}
			}
			if inst.upstreams[0].seen() == "" {
				t.Fatal("the first upstream got no request")
			}
			for range 20 {
				if _, body, err := inst.send(t, "/safe/x", "", nil); err != nil || body != "free" {
					t.Errorf("%q, error %v", body, err)
				}
			}
			if got := inst.upstreams[0].seen(); got != "q" {
				t.Errorf("the upstream with the limit got %q", got)
			}
		})
	}
}

// What is no limit neither sets nor lifts one.
func TestInvalidLimit(t *testing.T) {
	t.Parallel()
	inst := newTestInstance(t, answer("200 OK\r\nSigned: 1\r\nLimit: few", "a"), answer("200 OK\r\nSigned: 1\r\nLimit: few", "b")).ready(t)
	for range 10 {
		if response, _, err := inst.send(t, "/safe/x", "", nil); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", response, err)
		}
	}
	if limits := inst.proxy.Pool.UpstreamLimits(time.Now()); len(limits) != 0 {
		t.Errorf("limits %v", limits)
	}
}

// TestLimitLiftedBy guards against a limit that ends by an answer which doesn't say what
// the upstream takes: a refusal, or one that the upstream didn't make itself.
func TestLimitLiftedBy(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		meta   http1.AnswerMeta
		lifted bool
	}{
		"answer of the upstream": {http1.AnswerMeta{Signed: true}, true},
		"refusal":                {http1.AnswerMeta{NotRun: true, Signed: true}, false},
		"answer of another":      {http1.AnswerMeta{}, false},
		"no number":              {http1.AnswerMeta{Signed: true, LimitError: errors.NotValidf("few")}, false},
	} {
		p := &Proxy{Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metric.NewSet(), Pool: pool.New(pool.Settings{Region: "near"})}
		p.Pool.SetUpstream(time.Now(), pool.Upstream{ID: "u", Service: "app", Region: "near"})
		lease, found := p.Pool.Pick(time.Now(), pool.Request{Service: "app"})
		if !found {
			t.Fatal("no upstream")
		}
		call := &Call{}
		p.recordLimit(call, lease, http1.AnswerMeta{Limit: gossip.RateLimit{Named: true, PerSecond: 1}})
		p.recordLimit(call, lease, c.meta)
		if limits := p.Pool.UpstreamLimits(time.Now()); len(limits) != 1 || limits[0].Named == c.lifted {
			t.Errorf("%s: %v", name, limits)
		}
	}
}
