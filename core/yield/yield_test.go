package yield

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// at returns a claim whose last byte and progress were some milliseconds ago.
func at(p Phase, held int64, lastByte, progress int) Claim {
	return Claim{Phase: p, Held: held, LastByte: ago(lastByte), Progress: ago(progress)}
}

var now = time.Unix(1000, 0)

func ago(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }

// TestForMemory guards against an order in which those who hold memory and send nothing keep out others,
// and against one that ends a request at an upstream, or a sender while another has stopped.
func TestForMemory(t *testing.T) {
	const kb = 1 << 10
	for _, c := range []struct {
		name   string
		claims map[string]Claim
		want   string
	}{
		{"nobody", nil, ""},
		{"busy never", map[string]Claim{"busy": at(Busy, 900*kb, 60_000, 60_000)}, ""},
		{"nothing to give", map[string]Claim{"silent": at(Silent, 0, 9000, 9000), "idle": at(Idle, 0, 9000, 9000)}, ""},
		{"stopped the longest", map[string]Claim{
			"first": at(Body, 8*kb, 900, 900), "second": at(Head, 900*kb, 800, 800), "busy": at(Busy, 900*kb, 9000, 9000),
		}, "first"},
		{"idle before stopped", map[string]Claim{"idle": at(Idle, 1, 10, 10), "stopped": at(Body, 900*kb, 9000, 9000)}, "idle"},
		{"stopped before slow", map[string]Claim{"slow": at(Body, 900*kb, 10, 20_000), "stopped": at(Head, 1, 300, 300)}, "stopped"},
		{"slowest", map[string]Claim{"slow": at(Body, kb, 10, 20_000), "slower": at(Head, kb, 20, 30_000), "fast": at(Body, kb, 5, 5)}, "slower"},
		{"unread after slow", map[string]Claim{"unread": at(Unread, 900*kb, 60_000, 60_000), "slow": at(Body, kb, 10, 20_000)}, "slow"},
		{"unread before large", map[string]Claim{"unread": at(Unread, kb, 5000, 5000), "large": at(Body, 900*kb, 5, 5)}, "unread"},
		{"read lately", map[string]Claim{"read": at(Unread, 900*kb, 4999, 60_000)}, ""},
		{"same size while all send", map[string]Claim{"other": at(Body, 79*kb, 10, 10)}, ""},
		{"largest while all send", map[string]Claim{"large": at(Body, 80*kb, 10, 10), "larger": at(Body, 90*kb, 5, 5), "small": at(Body, kb, 100, 100)}, "larger"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := ForMemory(now, 1, 10*kb, maps.All(c.claims))
			if c.want == "" && got != nil || c.want != "" && !slices.Equal(got, []string{c.want}) {
				t.Errorf("%q; want %q", got, c.want)
			}
		})
	}
	several := map[string]Claim{"a": at(Body, 5*kb, 900, 900), "b": at(Body, 5*kb, 800, 800), "c": at(Idle, kb, 700, 700)}
	for needed, want := range map[int64][]string{kb: {"c"}, 6 * kb: {"c", "a"}, 11 * kb: {"c", "a", "b"}, 12 * kb: nil} {
		if got := ForMemory(now, needed, 10*kb, maps.All(several)); !slices.Equal(got, want) {
			t.Errorf("for %d bytes %q; want %q", needed, got, want)
		}
	}
}

// TestForConn guards against an order in which silent or unfinished connections take all places.
func TestForConn(t *testing.T) {
	for _, c := range []struct {
		name   string
		claims map[string]Claim
		want   string
	}{
		{"just accepted", map[string]Claim{"silent": at(Silent, 0, 100, 100)}, ""},
		{"longest idle", map[string]Claim{"idle": at(Idle, 0, 100, 100), "longer": at(Idle, 0, 200, 200), "silent": at(Silent, 0, 9000, 9000)}, "longer"},
		{"silent before stopped", map[string]Claim{"silent": at(Silent, 0, 300, 300), "stopped": at(Head, 9, 9000, 9000)}, "silent"},
		{"stopped before slow", map[string]Claim{"slow": at(Head, 9, 100, 9000), "stopped": at(Body, 0, 300, 300)}, "stopped"},
		{"all send", map[string]Claim{"large": at(Body, 1<<30, 100, 100), "busy": at(Busy, 0, 9000, 9000)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, found := ForConn(now, maps.All(c.claims))
			if got != c.want || found != (c.want != "") {
				t.Errorf("%q, %v; want %q", got, found, c.want)
			}
		})
	}
}

// TestAdvance guards against senders that count as moving with a byte now and then, and against ones that
// are fast enough but count as slow.
func TestAdvance(t *testing.T) {
	slow, steady := now, now
	clock := now
	for range 100 {
		clock = clock.Add(100 * time.Millisecond)
		slow = Advance(slow, clock, 1)
		steady = Advance(steady, clock, MinRate/10+1)
	}
	if clock.Sub(slow) < 9*time.Second {
		t.Errorf("slow sender %v behind", clock.Sub(slow))
	}
	if clock.Sub(steady) > time.Millisecond {
		t.Errorf("steady sender %v behind", clock.Sub(steady))
	}
}
