package spec

import (
	"slices"
	"testing"

	"arbutustrestle/core/ident"
)

func testConfig() *Config {
	return New(7, []Route{
		{Name: "all", Host: "Trips.example", Prefix: "/", Targets: []Target{{Service: "site", Weight: 1}}},
		{Name: "plans", Host: "trips.example", Prefix: "/plans/", HomeRegions: []ident.Region{"west", "north"}, Targets: []Target{{Service: "chat", Weight: 1}}},
		{Name: "day", Host: "trips.example", Prefix: "/plans/day/", HomeRegions: []ident.Region{"west", "south"}, Targets: []Target{{Service: "chat", Weight: 1}}},
		{Name: "other", Host: "other.example", Prefix: "/a/", Targets: []Target{{Service: "site", Weight: 1}}},
	}, nil, Limits{})
}

// The longest prefix that begins the path wins, whatever the order of the rows.
func TestMatch(t *testing.T) {
	cases := []struct{ host, path, route string }{
		{"trips.example", "/", "all"},
		{"TRIPS.example:8080", "/plans/x", "plans"},
		{"trips.example", "/plans/day/3", "day"},
		{"trips.example", "/plans/days", "plans"},
		{"trips.example", "/plans", "all"},
		{"other.example", "/b", ""},
		{"unknown.example", "/", ""},
	}
	for _, c := range cases {
		r, found := testConfig().Match(c.host, c.path)
		name := ""
		if found {
			name = r.Name
		}
		if name != c.route {
			t.Errorf("%s%s matches %q, not %q", c.host, c.path, name, c.route)
		}
	}
}

// A host's callers may be told only of regions that all of its bound routes allow.
func TestHomes(t *testing.T) {
	homes, bound := testConfig().HomeRegions("trips.example")
	if !bound || !slices.Equal(homes, []ident.Region{"west"}) {
		t.Errorf("homes %v, bound %v", homes, bound)
	}
	if _, bound := testConfig().HomeRegions("other.example"); bound {
		t.Error("a host without homes is bound")
	}
}

// Requests are divided by weight, to the ends of the range that is drawn from.
func TestPick(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[ident.Service]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("counts %v", counts)
	}
	if last := r.PickService(1); last != "b" {
		t.Errorf("the end of the range goes to %q", last)
	}
}

// What is repeated follows from the kind, and an unknown kind is never repeated.
func TestRepeatable(t *testing.T) {
	cases := []struct {
		route Route
		want  bool
	}{
		{Route{}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Safe}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	}
	for _, c := range cases {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v repeatable: %v", c.route, got)
		}
	}
}
