package link_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// TestMaxLinks guards against a process that opens links without end and takes all descriptors, or the places of
// other instances: its own oldest link gives way, those of others stay, and a new instance is served.
func TestMaxLinks(t *testing.T) {
	const most = 4
	ctx, cancel := context.WithCancel(t.Context())
	l := listenLocal(t)
	server := &link.Server{Self: link.Identity{Incarnation: remote}, Handler: fetchHandler{}, MaxLinks: most}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	address := netip.MustParseAddrPort(l.Addr().String())
	open := func(id ident.Instance, start uint64) *link.Pool {
		pool := &link.Pool{Self: link.Identity{Incarnation: ident.Incarnation{Instance: id, Start: start}}}
		t.Cleanup(pool.Close)
		if _, err := pool.Fetch(ctx, address, &wire.Fetch{Key: "k"}); err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		return pool
	}
	sound := open("west-1", 1)
	var many []*link.Pool
	for n := range 3 * most {
		many = append(many, open("west-9", uint64(n+1)))
	}
	open("west-3", 1)
	if !sound.Connected(address) {
		t.Error("the link of an instance with one was closed")
	}
	if _, err := sound.Fetch(ctx, address, &wire.Fetch{Key: "k"}); err != nil {
		t.Errorf("an instance with one link: %v", err)
	}
	connected := func() (count int) {
		for _, pool := range many {
			if pool.Connected(address) {
				count++
			}
		}
		return count
	}
	for began := time.Now(); connected() != most-2; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d links of the process that opens them are left", connected())
		}
	}
}
