package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/emul/plain"
)

const loadUsage = `load [flags]
Sends requests as callers do and checks that each answer is whole and its own. It
asks the platform's directory (-platform), or the entries given (-entries), which
entry to use; with -direct it calls engines or services without an entry. Prints a
table, or JSON with -json. Times are in milliseconds and count from the moment at
which a request was due. Exits 0 when each request was answered whole or not run, 1
when the end of one is unknown, a key's runs don't agree with what its caller was told
or nothing could be sent, 2 on bad flags.
`

// loadCommand sends a load.
type loadCommand struct {
	load      bench.Load
	platform  addressFlag
	services  []netip.AddrPort
	processes processes
	checkText bool
	json      bool
}

// Name is "load".
func (c *loadCommand) Name() string { return "load" }

// Synopsis describes the command in a line.
func (c *loadCommand) Synopsis() string {
	return "send requests as callers do, check and time the answers"
}

// Usage describes the command.
func (c *loadCommand) Usage() string { return loadUsage }

// SetFlags registers the flags.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	l := &c.load
	f.Var(&c.platform, "platform", "`ip:port` of the platform whose directory names the entries")
	f.Func("entries", "`ip:port` of entries to ask, with commas between", addresses(&l.Entries))
	f.Func("direct", "`ip:port` of engines or services to call without an entry", addresses(&l.DirectUpstreams))
	l.Mix = perClass{table.Quick: 60, table.Plan: 25, table.Session: 15}
	f.Var((*perClass)(&l.Mix), "mix", "weight of each `class=n`")
	l.MaxTokens = perClass{table.Quick: 32, table.Plan: 256, table.Session: 128}
	f.Var((*perClass)(&l.MaxTokens), "tokens", "tokens of an answer, `class=n`")
	l.PromptBytes = perClass{table.Quick: 200, table.Plan: 4000, table.Session: 2000, table.ServiceCall: 200}
	f.Var((*perClass)(&l.PromptBytes), "prompt-bytes", "bytes of a prompt or body, `class=n`")
	f.Func("workspaces", "`names` of workspaces with commas between", func(text string) error {
		l.Workspaces = nil
		for _, name := range strings.Split(text, ",") {
			l.Workspaces = append(l.Workspaces, ident.Workspace(name))
		}
		return nil
	})
	f.StringVar((*string)(&l.Model), "model", "planner", "`name` of the model")
	f.StringVar((*string)(&l.Version), "version", "", "`version` of the model, with -direct")
	f.StringVar((*string)(&l.Service), "service", "", "`name` of the service")
	f.StringVar(&l.Path, "path", "/", "`path` of service calls")
	f.BoolVar(&l.SendKeys, "keyed", false, "give each service call an idempotency key")
	f.IntVar(&l.Repeat, "repeat", 0, "times that each keyed call is sent again through other entries")
	f.Func("verify", "`ip:port` of service stand-ins whose logs are compared with what callers were told of their keyed calls", addresses(&c.services))
	c.processes = processes{}
	f.Var(c.processes, "processes", "`name=pid` of processes whose processor time to report, with commas between")
	f.IntVar(&l.Workers, "workers", 16, "requests that run at once")
	f.Float64Var(&l.Rate, "rate", 0, "requests a second; 0 sends as fast as the workers can")
	f.IntVar(&l.MaxRequests, "count", 1000, "requests to send at most")
	f.DurationVar(&l.MaxDuration, "duration", time.Minute, "time to send at most")
	f.DurationVar(&l.Timeout, "timeout", time.Minute, "time for one try")
	f.IntVar(&l.MaxAttempts, "tries", 3, "tries of a request that was not run")
	f.Uint64Var(&l.Seed, "seed", 0, "seed of the random choices, keys and request ids; 0 draws one")
	f.BoolVar(&c.checkText, "check-text", false, "compare each answer with what a stand-in must have answered")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// perClass is a flag such as "quick=60,plan=20" that sets some classes.
type perClass [table.ClassCount]int

// String gives the form that Set reads.
func (p *perClass) String() string {
	var list []string
	for class, number := range p {
		if number != 0 {
			list = append(list, fmt.Sprintf("%s=%d", table.Class(class), number))
		}
	}
	return strings.Join(list, ",")
}

// Set replaces the numbers of all classes.
func (p *perClass) Set(text string) error {
	*p = perClass{}
	for _, item := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(item, "=")
		class, known := table.ParseClass(name)
		number, err := strconv.ParseUint(value, 10, 31)
		if !known || err != nil {
			return errors.NotValidf("%q, which is not class=number,", item)
		}
		p[class] = int(number)
	}
	return nil
}

// addresses returns the function of a flag that takes several addresses.
func addresses(list *[]netip.AddrPort) func(string) error {
	return func(text string) error {
		*list = nil
		for _, item := range strings.Split(text, ",") {
			address, err := netip.ParseAddrPort(item)
			if err != nil {
				return errors.Trace(err)
			}
			*list = append(*list, address)
		}
		return nil
	}
}

// Execute sends the load; SIGTERM and SIGINT end it early.
func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	report, err := c.run(ctx)
	if err == nil {
		err = c.print(report)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin load:", err)
		if errors.Is(err, errors.NotValid) {
			return subcommands.ExitUsageError
		}
		return subcommands.ExitFailure
	}
	if report.Requests == 0 || report.Unknown() > 0 || len(report.KeyFaults) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) (*loadReport, error) {
	var client bench.Client
	defer client.Close()
	c.load.Platform = c.platform.AddrPort
	if c.checkText {
		c.load.Check = standInAnswer
	}
	ends := newKeyEnds()
	if len(c.services) > 0 {
		c.load.OnDone = ends.add
	}
	before, err := c.processes.times()
	if err != nil {
		return nil, errors.Trace(err)
	}
	report, err := c.load.Run(ctx, &client)
	if err != nil {
		return nil, errors.Trace(err)
	}
	after, err := c.processes.times()
	if err != nil {
		return nil, errors.Trace(err)
	}
	ran, err := runsByKey(ctx, &client, c.services)
	load := time.Duration(report.CPUSeconds * float64(time.Second))
	return &loadReport{
		Report:    report,
		KeyFaults: ends.compare(ran),
		Processor: newProcessorReport(before, after, load, report.Tokens),
	}, errors.Trace(err)
}

// loadReport is what the command prints.
type loadReport struct {
	*bench.Report
	// KeyFaults has the calls whose end doesn't agree with the services' logs.
	KeyFaults []keyFault      `json:"key-faults"`
	Processor processorReport `json:"processor"`
}

func (c *loadCommand) print(report *loadReport) error {
	if !c.json {
		for _, fault := range report.KeyFaults {
			fmt.Printf("key %s: told %s, ran %d times\n", fault.Key, fault.Told, fault.Ran)
		}
		err := report.WriteTable(os.Stdout)
		fmt.Printf("processor seconds: %v; %.2f us per token\n", report.Processor.Seconds, report.Processor.MicrosPerToken)
		return errors.Trace(err)
	}
	return errors.Trace(json.NewEncoder(os.Stdout).Encode(report))
}

// standInAnswer reports whether the answer is the one of a stand-in to the request.
func standInAnswer(q *bench.Request, a *bench.Answer) bool {
	if q.Class == table.ServiceCall {
		var answer plain.Answer
		err := json.Unmarshal(a.Text, &answer)
		return err == nil && answer.BodyHash == plain.BodyHash(q.Body) && answer.RequestID == a.RequestID
	}
	want := engine.ExpectedTokens(a.RequestID, q.Prompt, q.MaxTokens)
	return strings.Join(want, "") == string(a.Text)
}
