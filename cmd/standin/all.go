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
Runs a platform, engines and services in one process: as many as the flags say,
or those of a settings file. In the file each section is one stand-in, named
"platform", "engine ID" or "service ID", and its keys are the flags of that
subcommand:

    [platform]
    rate = 2000

    [engine engine-west-1]
    models = planner@1
    step-time = 10ms

`

// allCommand runs several units in one process.
type allCommand struct {
	file     string
	engines  int
	services int
	platform unit
	engine   unit
	service  unit
}

// Name is "all".
func (c *allCommand) Name() string { return "all" }

// Synopsis describes the command in a line.
func (c *allCommand) Synopsis() string { return "run a platform, engines and services in one process" }

// Usage describes the command.
func (c *allCommand) Usage() string { return allUsage + servingUsage }

// SetFlags registers the flags.
func (c *allCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings `file`; the other flags are not read then")
	f.IntVar(&c.engines, "engines", 2, "number of engines, named engine-1 and so on")
	f.IntVar(&c.services, "services", 1, "number of services, named service-1 and so on")
	f.Func("set", "`kind.key=value` for every unit of a kind, such as engine.step-time=5ms; may be repeated", c.set)
	c.platform.kind, c.engine.kind, c.service.kind = kindPlatform, kindEngine, kindService
	for _, u := range []*unit{&c.platform, &c.engine, &c.service} {
		u.register(newFlagSet())
	}
}

func newFlagSet() *flag.FlagSet {
	f := flag.NewFlagSet("", flag.ContinueOnError)
	f.SetOutput(os.Stderr)
	return f
}

// set reads one -set flag into the unit that stands for its kind.
func (c *allCommand) set(text string) error {
	name, setting, _ := strings.Cut(text, ".")
	key, value, found := strings.Cut(setting, "=")
	if !found {
		return errors.NotValidf("%q, which is not kind.key=value,", text)
	}
	for _, u := range []*unit{&c.platform, &c.engine, &c.service} {
		if string(u.kind) == name {
			return u.setAll(map[string]string{key: value}, []string{key})
		}
	}
	return errors.NotValidf("kind %q", name)
}

// setAll reads settings by their flag names, in the order of the keys, and leaves
// the others as they are.
func (u *unit) setAll(values map[string]string, keys []string) error {
	kept := *u
	f := newFlagSet()
	u.register(f) // sets each field to its default
	*u = kept
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

// Execute serves until SIGTERM or SIGINT.
func (c *allCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	units, err := c.units()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin all:", err)
		return subcommands.ExitUsageError
	}
	return serve(units)
}

// units returns the units of the file, or those of the flags.
func (c *allCommand) units() ([]*unit, error) {
	if c.file != "" {
		return readUnits(c.file)
	}
	platform := c.platform
	platform.id = "platform"
	units := []*unit{&platform}
	for i := range c.engines {
		u := c.engine
		u.id = fmt.Sprintf("engine-%d", i+1)
		units = append(units, &u)
	}
	for i := range c.services {
		u := c.service
		u.id = fmt.Sprintf("service-%d", i+1)
		units = append(units, &u)
	}
	return units, nil
}

// readUnits reads a settings file.
func readUnits(path string) ([]*unit, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", path)
	}
	var units []*unit
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				return nil, errors.NotValidf("%s: key outside a section", path)
			}
			continue
		}
		u, err := readUnit(section)
		if err != nil {
			return nil, errors.Annotatef(err, "%s: section [%s]", path, section.Name())
		}
		units = append(units, u)
	}
	return units, nil
}

func readUnit(section *ini.Section) (*unit, error) {
	name, id, _ := strings.Cut(section.Name(), " ")
	u := &unit{kind: kind(name), id: strings.TrimSpace(id)}
	switch u.kind {
	case kindPlatform, kindEngine, kindService:
	default:
		return nil, errors.NotValidf("kind %q", name)
	}
	u.register(newFlagSet())
	return u, errors.Trace(u.setAll(section.KeysHash(), section.KeyStrings()))
}
