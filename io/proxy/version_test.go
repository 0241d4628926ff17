package proxy

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
)

// publishVersions lists both upstreams with the versions of their software.
func (inst *testInstance) publishVersions(t *testing.T, first, second string) {
	t.Helper()
	for i, version := range []string{first, second} {
		id := ident.Upstream([]string{"u-0", "u-1"}[i])
		inst.proxy.Pool.SetUpstream(inst.proxy.Clock.Now(), pool.Upstream{
			ID: id, Service: "app", Version: version, Zone: "z", Region: "near", Slots: 100,
			Address: testAddress(inst.upstreams[i]),
		})
	}
}

// testAddress returns the address of a test's upstream.
func testAddress(u *upstream) netip.AddrPort {
	return u.listener.Addr().(*net.TCPAddr).AddrPort()
}

// cutOrRest returns a reply that cuts a new stream after its first event, and answers a
// request that takes one up with rest.
func cutOrRest(rest reply) reply {
	return func(c net.Conn, r *http.Request) {
		if r.Header.Get("Last") != "" {
			rest(c, r)
			return
		}
		cutStream(c, r)
	}
}

// TestStreamStaysAtVersion guards against a stream whose events come from two versions of an
// upstream's software, within one answer: after a cut it goes on at the version that began
// it, or is cut for the caller too.
func TestStreamStaysAtVersion(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second string
		whole         bool
	}{
		{"one version", "v1", "v1", true},
		{"none published", "", "", true},
		{"two versions", "v1", "v2", false},
		{"one not published", "v1", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rest := closing("id: 2\ndata: b\n\n")
			inst := newTestInstance(t, cutOrRest(rest), cutOrRest(rest)).ready(t)
			inst.publishVersions(t, c.first, c.second)
			response, body, err := inst.send(t, "/resume/", "", nil)
			if whole := err == nil && response.StatusCode == http.StatusOK && body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; whole != c.whole {
				t.Errorf("whole: %v; %q, error %v", whole, body, err)
			}
			if sends := inst.arrivals(); sends != map[bool]int{true: 2, false: 1}[c.whole] {
				t.Errorf("sent to %d upstreams", sends)
			}
		})
	}
}

// TestResumedStreamStaysAtVersion guards against the same where the caller takes the stream
// up: it goes on at the version that brought its first event, whichever upstream that is, and
// is refused with a time to come back if none of that version accepts it, or none is known.
func TestResumedStreamStaysAtVersion(t *testing.T) {
	resume := func(t *testing.T, inst *testInstance, id, resumes string) *http.Response {
		header := http.Header{"Id": {id}, "Last": {"1"}}
		if resumes != "" {
			header.Set("Resumes", resumes)
		}
		response, _, err := inst.send(t, "/resume/", "", header)
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	begin := func(t *testing.T, first, second string) *testInstance {
		rest := closing("id: 2\ndata: b\n\n")
		inst := newTestInstance(t, cutOrRest(rest), cutOrRest(rest)).ready(t)
		inst.publishVersions(t, first, second)
		if _, _, err := inst.send(t, "/resume/", "", http.Header{"Id": {"first"}}); err == nil && first != second {
			t.Fatal("the stream wasn't cut")
		}
		return inst
	}
	t.Run("goes on", func(t *testing.T) {
		t.Parallel()
		inst := begin(t, "v1", "v2")
		for i := range 8 {
			if response := resume(t, inst, string(rune('a'+i)), "first"); response.StatusCode != http.StatusOK {
				t.Errorf("status %d", response.StatusCode)
			}
		}
		if inst.upstreams[0].seen() != "" && inst.upstreams[1].seen() != "" {
			t.Errorf("runs at both versions: %q, %q", inst.upstreams[0].seen(), inst.upstreams[1].seen())
		}
	})
	t.Run("version is gone", func(t *testing.T) {
		t.Parallel()
		inst := begin(t, "v1", "v2")
		inst.publishVersions(t, "v3", "v3")
		response := resume(t, inst, "second", "first")
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || inst.arrivals() != 1 {
			t.Errorf("%v, %d sends", response, inst.arrivals())
		}
	})
	t.Run("beginning unknown, two versions", func(t *testing.T) {
		t.Parallel()
		inst := begin(t, "v1", "v2")
		for _, resumes := range []string{"", "another"} {
			response := resume(t, inst, "second"+resumes, resumes)
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || inst.arrivals() != 1 {
				t.Errorf("%v, %d sends", response, inst.arrivals())
			}
		}
	})
	t.Run("beginning unknown, one version", func(t *testing.T) {
		t.Parallel()
		inst := begin(t, "", "")
		// A peer has seen no other version for as long as streams last.
		inst.proxy.Pool.LearnVersions(inst.proxy.Clock.Now(), gossip.VersionHistory{Followed: time.Minute})
		if response := resume(t, inst, "second", ""); response.StatusCode != http.StatusOK {
			t.Errorf("%v", response)
		}
	})
	t.Run("beginning unknown, one version, route moved", func(t *testing.T) {
		t.Parallel()
		inst := begin(t, "", "")
		inst.proxy.Pool.LearnVersions(inst.proxy.Clock.Now(), gossip.VersionHistory{Followed: time.Minute})
		moved := routes()
		for i := range moved {
			moved[i].Targets = []spec.Target{{Service: "other", Weight: 1}}
		}
		config := spec.New(2, moved, []spec.Service{{Name: "app"}, {Name: "other"}}, spec.Limits{})
		inst.decoder["config"] = mirror.ConfigUpdated{Config: config}
		inst.source.change(mirror.OperatorGroup, mirror.Item{Key: "config", Revision: 2})
		for range 200 {
			if inst.proxy.Loop.View().Config.Version == 2 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		inst.proxy.Pool.SetUpstream(inst.proxy.Clock.Now(), pool.Upstream{ID: "u-0", Service: "other", Zone: "z", Region: "near", Slots: 100, Address: testAddress(inst.upstreams[0])})
		response := resume(t, inst, "second", "")
		if response.StatusCode != http.StatusServiceUnavailable || inst.arrivals() != 2 {
			t.Errorf("%v, %d sends", response, inst.arrivals())
		}
	})
	t.Run("beginning unknown, one version, just started", func(t *testing.T) {
		t.Parallel()
		inst := begin(t, "", "")
		response := resume(t, inst, "second", "")
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || inst.arrivals() != 2 {
			t.Errorf("%v, %d sends", response, inst.arrivals())
		}
	})
}
