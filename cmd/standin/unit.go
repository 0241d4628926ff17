package main

import (
	"context"
	"flag"
	"net/http"
	"net/netip"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/emul/plain"
	"arbutustrestle/io/emul/plat"
)

// kind is the kind of system that a stand-in replaces.
type kind string

const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindService  kind = "service"
)

// standIn is one stand-in with its settings. Only the settings of its kind are used.
type standIn struct {
	kind    kind
	id      string
	address addressFlag

	platform plat.Settings
	engine   engine.Settings
	service  plain.Settings
}

// addressFlag is a flag of the form "ip:port".
type addressFlag struct {
	netip.AddrPort
}

// Set parses the flag.
func (a *addressFlag) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	a.AddrPort = address
	return errors.Trace(err)
}

// register defines a flag for each setting of the stand-in. The flag names are also the
// keys of its section in a settings file.
func (u *standIn) register(f *flag.FlagSet) {
	u.address.AddrPort = netip.MustParseAddrPort("127.0.0.1:0")
	f.Var(&u.address, "address", "`ip:port` to listen on; port 0 takes a free port")
	if u.id == "" {
		u.id = string(u.kind) + "-1"
	}
	f.StringVar(&u.id, "id", u.id, "`name` that the stand-in reports in its responses")
	switch u.kind {
	case kindPlatform:
		u.registerPlatform(f)
	case kindEngine:
		u.registerEngine(f)
	case kindService:
		u.registerService(f)
	}
}

func (u *standIn) registerPlatform(f *flag.FlagSet) {
	p := &u.platform
	f.IntVar(&p.ReadRate, "rate", plat.DefaultReadRate, "limit of reads a second for all readers together")
	f.Uint64Var((*uint64)(&p.FirstRevision), "first-revision", 0, "revision that precedes the first one of a value")
}

func (u *standIn) registerEngine(f *flag.FlagSet) {
	e := &u.engine
	f.Func("models", "loaded `model@version` names with commas between; all models when empty", func(text string) error {
		e.Loaded = strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
		return nil
	})
	f.IntVar(&e.Slots, "slots", engine.DefaultSlots, "most requests in the batch")
	f.IntVar(&e.MaxWaiting, "max-waiting", engine.DefaultMaxWaiting, "most requests in the queue")
	f.DurationVar(&e.StepTime, "step-time", 0, "time of a decode step")
	f.DurationVar(&e.SequenceTime, "sequence-time", 0, "time that each running request adds to a step")
	f.DurationVar(&e.PrefillTime, "prefill-time", 0, "time to prefill one prompt token")
	f.IntVar(&e.PrefillChunk, "prefill-chunk", engine.DefaultPrefillChunk, "most prompt tokens that a step prefills")
	f.IntVar(&e.CacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, "blocks that the prefix cache holds")
	f.DurationVar(&e.LoadLag, "load-lag", 0, "minimum age of the load that /v1/load reports")
	f.DurationVar(&e.EventLag, "event-lag", 0, "age at which a cache event is published")
	f.IntVar(&e.DropEveryNthEvent, "event-gap", 0, "drop every n-th cache event; 0 drops none")
	f.DurationVar(&e.ModelLoadTime, "model-load-time", 0, "time to load a model")
	f.BoolVar(&e.EnforceFencing, "checks-fence", false, "refuse orders with a lower fencing number")
}

func (u *standIn) registerService(f *flag.FlagSet) {
	s := &u.service
	f.DurationVar(&s.WorkTime, "work-time", 0, "duration of a call")
	f.IntVar(&s.Slots, "slots", plain.DefaultSlots, "capacity that /v1/load reports")
}

// handler creates the stand-in and returns its HTTP handler.
func (u *standIn) handler() http.Handler {
	switch u.kind {
	case kindPlatform:
		return plat.New(u.platform).Handler()
	case kindEngine:
		u.engine.ID = ident.Upstream(u.id)
		return engine.New(u.engine).Handler()
	default:
		u.service.ID = ident.Upstream(u.id)
		return plain.New(u.service).Handler()
	}
}

// standInCommand runs one stand-in.
type standInCommand struct {
	kind    kind
	standIn standIn
}

// Name returns the kind of the stand-in.
func (c *standInCommand) Name() string { return string(c.kind) }

// Synopsis returns a description of one line.
func (c *standInCommand) Synopsis() string { return "run one " + string(c.kind) + " stand-in" }

// Usage returns the help text.
func (c *standInCommand) Usage() string {
	return string(c.kind) + " [flags]\n" + servingUsage
}

// SetFlags registers the settings of the stand-in as flags.
func (c *standInCommand) SetFlags(f *flag.FlagSet) {
	c.standIn.kind = c.kind
	c.standIn.register(f)
}

// Execute runs the stand-in until SIGTERM or SIGINT.
func (c *standInCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	return serve([]*standIn{&c.standIn})
}
