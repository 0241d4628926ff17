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

// kind is what a unit stands in for.
type kind string

const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindService  kind = "service"
)

// unit is one stand-in with its settings. Only the settings of its kind are read.
type unit struct {
	kind    kind
	id      string
	address addressFlag

	platform plat.Settings
	engine   engine.Settings
	service  plain.Settings
}

// addressFlag is a flag that takes "ip:port".
type addressFlag struct {
	netip.AddrPort
}

// Set reads the flag.
func (a *addressFlag) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	a.AddrPort = address
	return errors.Trace(err)
}

// register makes each setting of the unit a flag. The same names are the keys of
// the unit's section in a settings file.
func (u *unit) register(f *flag.FlagSet) {
	u.address.AddrPort = netip.MustParseAddrPort("127.0.0.1:0")
	f.Var(&u.address, "address", "`ip:port` to listen on; port 0 takes a free port")
	if u.id == "" {
		u.id = string(u.kind) + "-1"
	}
	f.StringVar(&u.id, "id", u.id, "the `name` of the stand-in in its answers")
	switch u.kind {
	case kindPlatform:
		u.registerPlatform(f)
	case kindEngine:
		u.registerEngine(f)
	case kindService:
		u.registerService(f)
	}
}

func (u *unit) registerPlatform(f *flag.FlagSet) {
	p := &u.platform
	f.IntVar(&p.ReadRate, "rate", plat.DefaultReadRate, "reads a second over all readers")
	f.Uint64Var((*uint64)(&p.FirstRevision), "first-revision", 0, "revision before that of the first state of a value")
}

func (u *unit) registerEngine(f *flag.FlagSet) {
	e := &u.engine
	f.Func("models", "loaded `model@version` names with commas between; all models when empty", func(text string) error {
		e.Loaded = strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
		return nil
	})
	f.IntVar(&e.Slots, "slots", engine.DefaultSlots, "requests in the batch")
	f.IntVar(&e.MaxWaiting, "max-waiting", engine.DefaultMaxWaiting, "requests in the queue")
	f.DurationVar(&e.StepTime, "step-time", 0, "time of a decode step")
	f.DurationVar(&e.SequenceTime, "sequence-time", 0, "time that each running request adds to a step")
	f.DurationVar(&e.PrefillTime, "prefill-time", 0, "time to prefill one prompt token")
	f.IntVar(&e.PrefillChunk, "prefill-chunk", engine.DefaultPrefillChunk, "most prompt tokens that a step prefills")
	f.IntVar(&e.CacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, "blocks that the prefix cache holds")
	f.DurationVar(&e.LoadLag, "load-lag", 0, "least age of what /v1/load reports")
	f.DurationVar(&e.EventLag, "event-lag", 0, "age at which a cache event is published")
	f.IntVar(&e.DropEveryNthEvent, "event-gap", 0, "leave out each such cache event; 0 leaves out none")
	f.DurationVar(&e.ModelLoadTime, "model-load-time", 0, "time to load a model")
	f.BoolVar(&e.EnforceFencing, "checks-fence", false, "refuse orders with a lower fencing number")
}

func (u *unit) registerService(f *flag.FlagSet) {
	s := &u.service
	f.DurationVar(&s.WorkTime, "work-time", 0, "time that a call runs")
	f.IntVar(&s.Slots, "slots", plain.DefaultSlots, "capacity that /v1/load reports")
}

// handler builds the stand-in.
func (u *unit) handler() http.Handler {
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

// unitCommand runs one unit.
type unitCommand struct {
	kind kind
	unit unit
}

// Name is the kind of the unit.
func (c *unitCommand) Name() string { return string(c.kind) }

// Synopsis describes the command in a line.
func (c *unitCommand) Synopsis() string { return "run one " + string(c.kind) + " stand-in" }

// Usage describes the command.
func (c *unitCommand) Usage() string {
	return string(c.kind) + " [flags]\n" + servingUsage
}

// SetFlags registers the settings of the unit.
func (c *unitCommand) SetFlags(f *flag.FlagSet) {
	c.unit.kind = c.kind
	c.unit.register(f)
}

// Execute serves until SIGTERM or SIGINT.
func (c *unitCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	return serve([]*unit{&c.unit})
}
