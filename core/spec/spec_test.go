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

// The longest matching prefix wins, whatever the order of the rows.
func TestMatchLongestPrefix(t *testing.T) {
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

// The callers of a host are given only the regions that all of its restricted routes
// allow.
func TestHomeRegions(t *testing.T) {
	homes, restricted := testConfig().HomeRegions("trips.example")
	if !restricted || !slices.Equal(homes, []ident.Region{"west"}) {
		t.Errorf("home regions %v, restricted %v", homes, restricted)
	}
	if _, restricted := testConfig().HomeRegions("other.example"); restricted {
		t.Error("a host without home regions is restricted")
	}
}

// Requests are divided by weight, up to both ends of the range of random numbers.
func TestPickServiceByWeight(t *testing.T) {
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

// Whether a request may be repeated follows from its kind and from whether its route is
// resumable; an unknown kind is never repeated.
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
