package syncer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
)

// store is a platform's store that all entries of a test read.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    [mirror.GroupCount][]mirror.Item
	// changed is closed and made anew with each change.
	changed chan struct{}
	calls   int
}

func (s *store) put(g mirror.Group, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[g] = slices.DeleteFunc(s.items[g], func(i mirror.Item) bool { return i.Key == key })
	s.items[g] = append(s.items[g], mirror.Item{Key: key, Revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) after(g mirror.Group, revision uint64) (items []mirror.Item, at uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.items[g] {
		if i.Revision > revision {
			items = append(items, i)
		}
	}
	return items, s.revision, s.changed
}

func (s *store) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// reader is one entry's way to the store, and what it decoded.
type reader struct {
	store *store

	mu     sync.Mutex
	turned bool
	heard  map[string]uint64
}

func (r *reader) ask() error {
	r.store.mu.Lock()
	r.store.calls++
	r.store.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.turned {
		return errors.New("turned away")
	}
	return nil
}

func (r *reader) List(_ context.Context, g mirror.Group) ([]mirror.Item, uint64, error) {
	if err := r.ask(); err != nil {
		return nil, 0, err
	}
	items, revision, _ := r.store.after(g, 0)
	return items, revision, nil
}

func (r *reader) Watch(ctx context.Context, g mirror.Group, after uint64, wait time.Duration) ([]mirror.Item, uint64, error) {
	if err := r.ask(); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, revision, changed := r.store.after(g, after)
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Trace(ctx.Err())
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// Decode notes what it is given; the config is the one thing that an entry has to have.
func (r *reader) Decode(i mirror.Item) (mirror.Change, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[i.Key] = i.Revision
	if i.Key == "config" {
		return mirror.ConfigUpdated{Config: &spec.Config{Version: i.Revision}}, nil
	}
	return mirror.Ignored{}, nil
}

func (r *reader) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard[key] > 0
}

// entry is one loop with its links.
type entry struct {
	*reader
	loop *Loop
	stop func()
}

// region starts entries that know the first one's address only.
func region(t *testing.T, s *store, size int) []*entry {
	t.Helper()
	var entries []*entry
	var seeds []netip.AddrPort
	for n := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peer := netip.MustParseAddrPort(listener.Addr().String())
		if n == 0 {
			seeds = append(seeds, peer)
		}
		e := &entry{reader: &reader{store: s, heard: map[string]uint64{}}}
		e.start(t, listener, gossip.Record{
			ID: ident.Instance(fmt.Sprintf("entry-%d", n)), Incarnation: 1, Zone: "here-1", Region: "here", PeerAddress: peer, CallerAddress: peer,
		}, seeds)
		entries = append(entries, e)
	}
	return entries
}

func (e *entry) start(t *testing.T, listener net.Listener, self gossip.Record, seeds []netip.AddrPort) {
	incarnation := ident.Incarnation{Instance: self.ID, Start: self.Incarnation}
	identity := link.Identity{Incarnation: incarnation, Zone: self.Zone, Region: self.Region}
	links := &link.Pool{Self: identity}
	e.loop = New(Options{
		Self: self, Seeds: seeds, Source: e.reader, Decoder: e.reader, Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metric.NewSet(), Links: links,
		Pool:  pool.New(pool.Settings{Self: self.ID, Region: self.Region, PromptRate: 60}),
		Spill: &spill.Table{}, Budget: &budget.Budget{Limits: budget.Limits{Window: time.Second}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { _ = (&link.Server{Self: identity, Handler: &Handler{Loop: e.loop}}).Serve(ctx, listener) })
	work.Go(func() { e.loop.Run(ctx) })
	e.stop = sync.OnceFunc(func() {
		cancel()
		links.Close()
		work.Wait()
	})
	t.Cleanup(e.stop)
}

// watching returns the entries that watch the store, by what they say of themselves.
func watching(entries []*entry) (list []*entry) {
	for _, e := range entries {
		if e.loop.View().Membership.Self.WatchesPlatform {
			list = append(list, e)
		}
	}
	return list
}

// resting counts the entries that rely on others to watch.
func resting(entries []*entry) int {
	count := 0
	for _, e := range entries {
		if e.loop.resting.Load() {
			count++
		}
	}
	return count
}

// await fails when a condition doesn't hold in time.
func await(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, within)
		}
	}
}

// inForce bounds the time from a change until each entry has it, as the installations
// do.
const inForce = 3 * time.Second

// TestFewReadForAll has six entries of which two watch the store. The others hear of
// each change from them, in time also when the two are turned away by the store, and
// when they are gone.
func TestFewReadForAll(t *testing.T) {
	t.Parallel()
	s := &store{changed: make(chan struct{})}
	s.put(mirror.OperatorGroup, "config")
	entries := region(t, s, 6)
	reach := func(g mirror.Group, key string, to []*entry) {
		t.Helper()
		s.put(g, key)
		await(t, inForce, key+" reaches all", func() bool {
			return !slices.ContainsFunc(to, func(e *entry) bool { return !e.has(key) })
		})
	}
	// At the start all watch, and two may say so before the others are ready to.
	await(t, 10*time.Second, "two watch and four rest", func() bool {
		return len(watching(entries)) == 2 && resting(entries) == 4
	})
	// The watches that end, and three waits.
	time.Sleep(watchWait)
	s.takeCalls()
	time.Sleep(3 * watchWait)
	if calls := s.takeCalls(); calls > 2*2*4 {
		t.Errorf("%d calls in three waits, want two entries' of two groups", calls)
	}
	reach(mirror.UpstreamsGroup, "upstream-1", entries)
	reach(mirror.OperatorGroup, "zone-1", entries)
	for _, e := range watching(entries) {
		e.mu.Lock()
		e.turned = true
		e.mu.Unlock()
	}
	reach(mirror.UpstreamsGroup, "upstream-2", entries)
	await(t, 10*time.Second, "two others watch", func() bool { return len(watching(entries)) == 2 })
	left := slices.Clone(entries)
	for _, e := range watching(entries) {
		e.stop()
		left = slices.DeleteFunc(left, func(o *entry) bool { return o == e })
	}
	reach(mirror.OperatorGroup, "zone-2", left)
}

// dark returns a listener whose address takes no connection, like that of a machine
// without power, until the returned function is called.
func dark(t *testing.T) (net.Listener, func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Trace(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	// Connections that nobody accepts fill the queue, so that further ones get no answer.
	var filling []net.Conn
	for {
		c, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		filling = append(filling, c)
	}
	return listener, func() {
		for _, c := range filling {
			_ = c.Close()
		}
	}
}

// TestMeetAfterDark starts an entry whose seed takes no connection yet, as when all
// machines of an installation come back at about the same time. They have to meet soon
// after, and not only when the kernel tries the connection again.
func TestMeetAfterDark(t *testing.T) {
	t.Parallel()
	s := &store{changed: make(chan struct{})}
	s.put(mirror.OperatorGroup, "config")
	listener, light := dark(t)
	seed := netip.MustParseAddrPort(listener.Addr().String())
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	early := &entry{reader: &reader{store: s, heard: map[string]uint64{}}}
	peer := netip.MustParseAddrPort(own.Addr().String())
	early.start(t, own, gossip.Record{ID: "entry-0", Incarnation: 1, Zone: "here-1", Region: "here", PeerAddress: peer, CallerAddress: peer}, []netip.AddrPort{seed})
	// The first beat goes out now; the kernel's next try would come a second later.
	time.Sleep(100 * time.Millisecond)
	late := &entry{reader: &reader{store: s, heard: map[string]uint64{}}}
	light()
	late.start(t, listener, gossip.Record{ID: "entry-1", Incarnation: 1, Zone: "here-1", Region: "here", PeerAddress: seed, CallerAddress: seed}, nil)
	await(t, 850*time.Millisecond, "they meet", func() bool { return len(early.loop.View().Membership.Members) == 1 })
}
