package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/config"
)

// EntryPlan says where an entry instance runs.
type EntryPlan struct {
	ID     ident.Instance
	Zone   ident.Zone
	Region ident.Region
}

// UpstreamPlan says what a stand-in upstream is.
type UpstreamPlan struct {
	ID     ident.Upstream
	Pool   string
	Zone   ident.Zone
	Region ident.Region
	// Kind is the stand-in's subcommand: "engine" or "service".
	Kind string
	// Flags are further flags of the subcommand.
	Flags []string
}

// Plan says what a fleet consists of.
type Plan struct {
	// BinDir is the folder with the programs arbutustrestle and standin.
	BinDir string
	// TableDir is the folder with the sheets of the first table.
	TableDir  string
	Entries   []EntryPlan
	Upstreams []UpstreamPlan
	// Relays puts a Relay before each entry's peer address and before the platform.
	Relays bool
	// Tap gets what is sent to the peer address of an entry, when there are relays and
	// it isn't nil. It is called by many goroutines and must not keep the bytes.
	Tap func(to ident.Instance, p []byte)
	// LogLevel of the entries; empty means info.
	LogLevel string
	// Environment is added to that of the entries, such as "GOMAXPROCS=1".
	Environment []string
}

// Entry is a running entry instance.
type Entry struct {
	*Process
	Plan                EntryPlan
	Caller, Peer, Admin netip.AddrPort
	// PeerRelay is what the other entries dial; nil without relays.
	PeerRelay *Relay
	// PlatformRelay is what this entry reads the platform through; nil without relays.
	PlatformRelay *Relay
	settings      string
}

// Upstream is a running stand-in.
type Upstream struct {
	*Process
	Plan    UpstreamPlan
	Address netip.AddrPort
	// Leaving is how the platform's list shows it.
	Leaving bool
}

// Fleet is a platform, upstreams and entry instances that run as processes.
type Fleet struct {
	plan     Plan
	folder   string
	Platform *Platform
	Entries  []*Entry
	// Upstreams are in the order of the plan.
	Upstreams []*Upstream
	// Sheets are those of the table published last.
	Sheets []table.Sheet
	// Revision is that of the table published last.
	Revision ident.Revision
}

// Start starts everything that a plan names and publishes the table and the lists.
// Stop must follow, also after an error.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan}
	folder, err := os.MkdirTemp("", "arbutustrestle-fleet-")
	if err != nil {
		return f, errors.Trace(err)
	}
	f.folder = folder
	if err := f.startPlatform(); err != nil {
		return f, errors.Trace(err)
	}
	for _, u := range plan.Upstreams {
		if err := f.startUpstream(u); err != nil {
			return f, errors.Trace(err)
		}
	}
	if f.Sheets, err = config.ReadSheets(plan.TableDir); err != nil {
		return f, errors.Trace(err)
	}
	if err := f.PublishTable(ctx, "the first table"); err != nil {
		return f, errors.Trace(err)
	}
	if err := f.PublishUpstreams(ctx); err != nil {
		return f, errors.Trace(err)
	}
	for _, e := range plan.Entries {
		if err := f.addEntry(e); err != nil {
			return f, errors.Trace(err)
		}
	}
	if err := f.PublishEntries(ctx); err != nil {
		return f, errors.Trace(err)
	}
	for _, e := range f.Entries {
		if err := f.StartEntry(e); err != nil {
			return f, errors.Trace(err)
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	p, address, err := startStandin("platform", f.program("standin"), "platform")
	if err != nil {
		return errors.Trace(err)
	}
	f.Platform = &Platform{Process: p, Address: address}
	return nil
}

func (f *Fleet) program(name string) string {
	return filepath.Join(f.plan.BinDir, name)
}

func (f *Fleet) startUpstream(u UpstreamPlan) error {
	arguments := append([]string{u.Kind, "-id", string(u.ID)}, u.Flags...)
	p, address, err := startStandin(string(u.ID), f.program("standin"), arguments...)
	if err != nil {
		return errors.Trace(err)
	}
	f.Upstreams = append(f.Upstreams, &Upstream{Process: p, Plan: u, Address: address})
	return nil
}

// addEntry gives an entry its addresses and relays, without starting it.
func (f *Fleet) addEntry(plan EntryPlan) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return errors.Trace(err)
	}
	e := &Entry{Plan: plan, Caller: addresses[0], Peer: addresses[1], Admin: addresses[2]}
	if f.plan.Relays {
		if e.PeerRelay, err = NewRelay(e.Peer, f.senderOf); err != nil {
			return errors.Trace(err)
		}
		if f.plan.Tap != nil {
			e.PeerRelay.tap = func(p []byte) { f.plan.Tap(plan.ID, p) }
		}
		if e.PlatformRelay, err = NewRelay(f.Platform.Address, nil); err != nil {
			return errors.Trace(err)
		}
	}
	e.settings = filepath.Join(f.folder, string(plan.ID)+".ini")
	f.Entries = append(f.Entries, e)
	return errors.Annotate(os.WriteFile(e.settings, []byte(f.settings(e)), 0o600), "write settings")
}

func (f *Fleet) settings(e *Entry) string {
	platform := f.Platform.Address
	if e.PlatformRelay != nil {
		platform = e.PlatformRelay.Address()
	}
	level := f.plan.LogLevel
	if level == "" {
		level = "info"
	}
	lines := []string{
		"[instance]",
		"id = " + string(e.Plan.ID),
		"zone = " + string(e.Plan.Zone),
		"region = " + string(e.Plan.Region),
		"caller-address = " + e.Caller.String(),
		"peer-address = " + e.peerAddress().String(),
		"peer-listen-address = " + e.Peer.String(),
		"admin-address = " + e.Admin.String(),
		"[platform]",
		"addresses = " + platform.String(),
		"[log]",
		"level = " + level,
		"",
	}
	return strings.Join(lines, "\n")
}

// peerAddress returns where the other entries reach this one.
func (e *Entry) peerAddress() netip.AddrPort {
	if e.PeerRelay != nil {
		return e.PeerRelay.Address()
	}
	return e.Peer
}

// StartEntry starts the process of an entry that doesn't run: the first time, or as
// a new incarnation under the same addresses.
func (f *Fleet) StartEntry(e *Entry) error {
	p, err := startProcess(string(e.Plan.ID), f.plan.Environment, os.Stdout, f.program("arbutustrestle"), "run", e.settings)
	if err != nil {
		return errors.Trace(err)
	}
	e.Process = p
	return nil
}

// Entry returns an entry by its id; nil when there is none.
func (f *Fleet) Entry(id ident.Instance) *Entry {
	i := slices.IndexFunc(f.Entries, func(e *Entry) bool { return e.Plan.ID == id })
	if i < 0 {
		return nil
	}
	return f.Entries[i]
}

// Upstream returns an upstream by its id; nil when there is none.
func (f *Fleet) Upstream(id ident.Upstream) *Upstream {
	i := slices.IndexFunc(f.Upstreams, func(u *Upstream) bool { return u.Plan.ID == id })
	if i < 0 {
		return nil
	}
	return f.Upstreams[i]
}

// stopTimeout bounds the graceful stop of the whole fleet.
const stopTimeout = 20 * time.Second

// Stop ends everything that was started. It returns an error when an entry had to
// be killed.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, e := range f.Entries {
		if e.Process != nil {
			e.Thaw()
			e.Signal(syscall.SIGTERM)
		}
	}
	var stuck []string
	for _, e := range f.Entries {
		if e.Process != nil && errors.Is(e.Wait(ctx), context.DeadlineExceeded) {
			stuck = append(stuck, e.Name)
			e.Kill()
		}
		e.closeRelays()
	}
	for _, u := range f.Upstreams {
		u.Kill()
	}
	if f.Platform != nil {
		f.Platform.Kill()
	}
	_ = os.RemoveAll(f.folder)
	if len(stuck) > 0 {
		return errors.Errorf("had to kill %s", fmt.Sprint(stuck))
	}
	return nil
}

func (e *Entry) closeRelays() {
	if e.PeerRelay != nil {
		e.PeerRelay.Close()
		e.PlatformRelay.Close()
	}
}
