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

// EntryPlan describes the placement of an entry instance.
type EntryPlan struct {
	ID     ident.Instance
	Zone   ident.Zone
	Region ident.Region
}

// UpstreamPlan describes a stand-in upstream.
type UpstreamPlan struct {
	ID     ident.Upstream
	Pool   string
	Zone   ident.Zone
	Region ident.Region
	// Kind is the stand-in's subcommand: "engine" or "service".
	Kind string
	// Flags are additional flags of the subcommand.
	Flags []string
}

// Plan describes the processes of a fleet.
type Plan struct {
	// BinDir is the directory of the programs arbutustrestle and standin.
	BinDir string
	// TableDir is the directory with the sheets of the first table.
	TableDir  string
	Entries   []EntryPlan
	Upstreams []UpstreamPlan
	// Relays puts a Relay in front of each instance's peer address and, for each
	// instance, in front of the platform.
	Relays bool
	// Tap is optional and requires Relays. It receives the bytes that are sent to the
	// peer address of an instance. It must be safe for concurrent use and must not retain
	// the bytes.
	Tap func(to ident.Instance, p []byte)
	// LogLevel is the log level of the instances; empty means info.
	LogLevel string
	// Environment is added to the environment of the instances, for example
	// "GOMAXPROCS=1".
	Environment []string
}

// Entry is a running entry instance.
type Entry struct {
	*Process
	Plan                EntryPlan
	Caller, Peer, Admin netip.AddrPort
	// PeerRelay is the relay that the other instances dial; nil without relays.
	PeerRelay *Relay
	// PlatformRelay is the relay through which this instance reads the platform; nil
	// without relays.
	PlatformRelay *Relay
	settingsFile  string
}

// Upstream is a running stand-in upstream.
type Upstream struct {
	*Process
	Plan    UpstreamPlan
	Address netip.AddrPort
	// Leaving sets the state in the platform's list to leaving.
	Leaving bool
}

// Fleet is a platform, upstreams and entry instances that run as separate processes.
type Fleet struct {
	plan     Plan
	dir      string
	Platform *Platform
	Entries  []*Entry
	// Upstreams are in the order of the plan.
	Upstreams []*Upstream
	// Sheets are the sheets of the table published last.
	Sheets []table.Sheet
	// Revision is the revision of the table published last.
	Revision ident.Revision
}

// Start starts all processes of a plan and publishes the table and the lists. The caller
// must call Stop, also after an error.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	f := &Fleet{plan: plan}
	dir, err := os.MkdirTemp("", "arbutustrestle-fleet-")
	if err != nil {
		return f, errors.Trace(err)
	}
	f.dir = dir
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
	p, address, err := startStandin("platform", f.programPath("standin"), "platform")
	if err != nil {
		return errors.Trace(err)
	}
	f.Platform = &Platform{Process: p, Address: address}
	return nil
}

func (f *Fleet) programPath(name string) string {
	return filepath.Join(f.plan.BinDir, name)
}

func (f *Fleet) startUpstream(u UpstreamPlan) error {
	arguments := append([]string{u.Kind, "-id", string(u.ID)}, u.Flags...)
	p, address, err := startStandin(string(u.ID), f.programPath("standin"), arguments...)
	if err != nil {
		return errors.Trace(err)
	}
	f.Upstreams = append(f.Upstreams, &Upstream{Process: p, Plan: u, Address: address})
	return nil
}

// addEntry assigns addresses and relays to an instance and writes its settings file. It
// does not start the instance.
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
	e.settingsFile = filepath.Join(f.dir, string(plan.ID)+".ini")
	f.Entries = append(f.Entries, e)
	return errors.Annotate(os.WriteFile(e.settingsFile, []byte(f.settings(e)), 0o600), "write settings")
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

// peerAddress returns the address at which the other instances reach this one.
func (e *Entry) peerAddress() netip.AddrPort {
	if e.PeerRelay != nil {
		return e.PeerRelay.Address()
	}
	return e.Peer
}

// StartEntry starts the process of an instance that is not running. A restarted instance
// has the same addresses and a new incarnation.
func (f *Fleet) StartEntry(e *Entry) error {
	p, err := startProcess(string(e.Plan.ID), f.plan.Environment, os.Stdout, f.programPath("arbutustrestle"), "run", e.settingsFile)
	if err != nil {
		return errors.Trace(err)
	}
	e.Process = p
	return nil
}

// Entry returns an instance by its id, or nil.
func (f *Fleet) Entry(id ident.Instance) *Entry {
	i := slices.IndexFunc(f.Entries, func(e *Entry) bool { return e.Plan.ID == id })
	if i < 0 {
		return nil
	}
	return f.Entries[i]
}

// Upstream returns an upstream by its id, or nil.
func (f *Fleet) Upstream(id ident.Upstream) *Upstream {
	i := slices.IndexFunc(f.Upstreams, func(u *Upstream) bool { return u.Plan.ID == id })
	if i < 0 {
		return nil
	}
	return f.Upstreams[i]
}

// stopTimeout bounds the graceful shutdown of the whole fleet.
const stopTimeout = 20 * time.Second

// Stop stops all processes. It returns an error if an instance had to be killed.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, e := range f.Entries {
		if e.Process != nil {
			e.Thaw()
			e.Signal(syscall.SIGTERM)
		}
	}
	var killed []string
	for _, e := range f.Entries {
		if e.Process != nil && errors.Is(e.Wait(ctx), context.DeadlineExceeded) {
			killed = append(killed, e.Name)
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
	_ = os.RemoveAll(f.dir)
	if len(killed) > 0 {
		return errors.Errorf("killed after the shutdown timeout: %s", fmt.Sprint(killed))
	}
	return nil
}

func (e *Entry) closeRelays() {
	if e.PeerRelay != nil {
		e.PeerRelay.Close()
		e.PlatformRelay.Close()
	}
}
