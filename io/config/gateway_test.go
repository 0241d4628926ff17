package config

import (
	"os"
	"strings"
	"testing"
	"time"
)

func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/gateway/west-eu-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestGatewayExample(t *testing.T) {
	g, faults := ParseGateway("g.ini", []byte(example(t)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if g.Region != "west-eu" || len(g.Seeds) != 2 || g.Zones["north-eu-1"] != "north-eu" || g.Bounds.Grace != 8*time.Second || g.Bounds.RetryRatio != 0.2 {
		t.Errorf("settings %+v", g)
	}
	if !IsGateway([]byte(example(t))) {
		t.Error("not told from the settings of an entry")
	}
}

// Each fault names its line and key.
func TestGatewayFaults(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{"zone = west-eu-1\n", "", "instance.zone: is missing"},
		{"zone = west-eu-1\n", "zone = moon-1\n", "is not a zone of region"},
		{"retry-ratio = 0.2", "retry-ratio = many", "bounds.retry-ratio"},
		{"retry-ratio = 0.2", "retry-ratio = NaN", "bounds.retry-ratio"},
		{"retry-ratio = 0.2", "retry-rato = 0.2", "retry-rato: is not a key"},
		{"north-eu-1:north-eu", "north-eu-1", "is not a zone with its region"},
		{"127.0.0.1:7402", "nowhere", "instance.ready-address"},
		{"grace = 8s", "grace = 8", "bounds.grace"},
	}
	for _, c := range cases {
		_, faults := ParseGateway("g.ini", []byte(strings.Replace(example(t), c.old, c.new, 1)))
		if len(faults) == 0 || !strings.Contains(faults.Error(), c.want) {
			t.Errorf("%q: %v", c.new, faults)
		}
	}
}
