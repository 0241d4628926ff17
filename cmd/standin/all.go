package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"
	"gopkg.in/ini.v1"
)

const allUsage = `all [flags]
Runs a platform, engines and services in one process. The flags give the number
of each; a settings file lists them one by one. Each section of the file is one
stand-in, named "platform", "engine ID" or "service ID", and its keys are the
flags of that subcommand:

    [platform]
    rate = 2000

    [engine engine-west-1]
    models = planner@1
    step-time = 10ms

`

// allCommand runs several stand-ins in one process.
type allCommand struct {
	file     string
	engines  int
	services int
	platform standIn
	engine   standIn
	service  standIn
}

// Name returns "all".
func (c *allCommand) Name() string { return "all" }

// Synopsis returns a description of one line.
func (c *allCommand) Synopsis() string { return "run a platform, engines and services in one process" }

// Usage returns the help text.
func (c *allCommand) Usage() string { return allUsage + servingUsage }

// SetFlags registers the flags. The platform, engine and service fields hold the defaults
// of each kind, which the -set flags change.
func (c *allCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings `file`; the other flags are ignored when it is given")
	f.IntVar(&c.engines, "engines", 2, "number of engines, named engine-1 and so on")
	f.IntVar(&c.services, "services", 1, "number of services, named service-1 and so on")
	f.Func("set", "`kind.key=value` for every stand-in of a kind, such as engine.step-time=5ms; may be repeated", c.set)
	c.platform.kind, c.engine.kind, c.service.kind = kindPlatform, kindEngine, kindService
	for _, u := range []*standIn{&c.platform, &c.engine, &c.service} {
		u.register(newFlagSet())
	}
}

func newFlagSet() *flag.FlagSet {
	f := flag.NewFlagSet("", flag.ContinueOnError)
	f.SetOutput(os.Stderr)
	return f
}

// set applies one -set flag to the stand-in that holds the defaults of its kind.
func (c *allCommand) set(text string) error {
	name, setting, _ := strings.Cut(text, ".")
	key, value, found := strings.Cut(setting, "=")
	if !found {
		return errors.NotValidf("%q, which is not kind.key=value,", text)
	}
	for _, u := range []*standIn{&c.platform, &c.engine, &c.service} {
		if string(u.kind) == name {
			return u.setAll(map[string]string{key: value}, []string{key})
		}
	}
	return errors.NotValidf("kind %q", name)
}

// setAll sets the settings named by keys, in that order, and leaves the others
// unchanged. The keys are flag names.
func (u *standIn) setAll(values map[string]string, keys []string) error {
	saved := *u
	f := newFlagSet()
	u.register(f) // resets each field to its default
	*u = saved
	for _, key := range keys {
		if f.Lookup(key) == nil {
			return errors.NotValidf("key %q of %s", key, u.kind)
		}
		if err := f.Set(key, values[key]); err != nil {
			return errors.Annotatef(err, "key %q of %s", key, u.kind)
		}
	}
	return nil
}

// Execute runs the stand-ins until SIGTERM or SIGINT.
func (c *allCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	standIns, err := c.standIns()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin all:", err)
		return subcommands.ExitUsageError
	}
	return serve(standIns)
}

// standIns returns the stand-ins of the settings file, or those of the flags without one.
func (c *allCommand) standIns() ([]*standIn, error) {
	if c.file != "" {
		return readStandIns(c.file)
	}
	platform := c.platform
	platform.id = "platform"
	list := []*standIn{&platform}
	for i := range c.engines {
		u := c.engine
		u.id = fmt.Sprintf("engine-%d", i+1)
		list = append(list, &u)
	}
	for i := range c.services {
		u := c.service
		u.id = fmt.Sprintf("service-%d", i+1)
		list = append(list, &u)
	}
	return list, nil
}

// readStandIns reads the stand-ins from a settings file.
func readStandIns(path string) ([]*standIn, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", path)
	}
	var list []*standIn
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				return nil, errors.NotValidf("%s: key outside a section", path)
			}
			continue
		}
		u, err := readStandIn(section)
		if err != nil {
			return nil, errors.Annotatef(err, "%s: section [%s]", path, section.Name())
		}
		list = append(list, u)
	}
	return list, nil
}

func readStandIn(section *ini.Section) (*standIn, error) {
	name, id, _ := strings.Cut(section.Name(), " ")
	u := &standIn{kind: kind(name), id: strings.TrimSpace(id)}
	switch u.kind {
	case kindPlatform, kindEngine, kindService:
	default:
		return nil, errors.NotValidf("kind %q", name)
	}
	u.register(newFlagSet())
	return u, errors.Trace(u.setAll(section.KeysHash(), section.KeyStrings()))
}
