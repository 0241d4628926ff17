// Package demo walks through the main job of the system against stand-ins, as
// separate processes on loopback, and says line by line what happened.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/cmds"
	"arbutustrestle/io/fleet"
)

const (
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 30 * time.Second
	// forceTimeout is the bound for a change to be in force everywhere.
	forceTimeout = 8 * time.Second
	// stepTimeout bounds each other step.
	stepTimeout = 30 * time.Second
	// planTokens and questionTokens are the lengths of the answers.
	planTokens     = 200
	questionTokens = 8
)

// Demo is one walk. It is used once.
type Demo struct {
	out    io.Writer
	fleet  *fleet.Fleet
	client bench.Client
	checks int
	failed int
	// entry is where the workspace's callers are sent.
	entry bench.AdvisedEntry
	other netip.AddrPort
}

// workspace is the one whose requests the demo sends.
const workspace ident.Workspace = "family-peeters"

// Run walks through the demo in the repository's folder, and reports whether all of
// it was right.
func Run(ctx context.Context, out io.Writer, folder string) bool {
	d := &Demo{out: out}
	plan := fleet.TwoRegionPlan(filepath.Join(folder, "bin"), filepath.Join(folder, "examples", "table"))
	f, err := fleet.Start(ctx, plan)
	d.fleet = f
	d.check("start the platform, 6 engines, 2 services and 3 entry instances", "all run as processes of their own", err)
	if err == nil {
		d.walk(ctx)
	}
	d.check("stop everything", "nothing is left running", f.Stop())
	d.client.Close()
	if d.failed > 0 {
		_, _ = fmt.Fprint(out, d.logs())
	}
	_, _ = fmt.Fprintf(out, "demo: %d checks, %d failed\n", d.checks, d.failed)
	return d.failed == 0
}

// check prints one line, and counts it.
func (d *Demo) check(what, seen string, err error) bool {
	d.checks++
	if err == nil {
		_, _ = fmt.Fprintf(d.out, "ok    %s: %s\n", what, seen)
		return true
	}
	d.failed++
	_, _ = fmt.Fprintf(d.out, "FAIL  %s: %v\n", what, err)
	return false
}

func (d *Demo) walk(ctx context.Context) {
	if !d.ready(ctx) || !d.ask(ctx) {
		return
	}
	d.plan(ctx)
	d.question(ctx)
	d.reserve(ctx)
	d.residency(ctx)
	d.edit(ctx)
	d.stopEntry(ctx)
}

// ready waits until the first table is in force on every instance, and each sees
// all others as ready.
func (d *Demo) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	revision, err := d.fleet.WaitTableActive(ctx)
	if err == nil {
		err = d.fleet.WaitReady(ctx)
	}
	return d.check("wait until every instance is ready", fmt.Sprintf("table revision %d is in force on all", revision), err)
}

func (d *Demo) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	directory, err := d.client.Directory(ctx, d.fleet.Platform.Address)
	if err == nil && len(directory) != len(d.fleet.Entries) {
		err = errors.Errorf("the directory has %d entries", len(directory))
	}
	if !d.check("ask the directory", fmt.Sprintf("%d entries", len(directory)), err) {
		return false
	}
	advice, err := d.client.FetchAdvice(ctx, directory[len(directory)-1], workspace)
	if err == nil && (len(advice.Entries) == 0 || advice.Entries[0].Region != "west-eu") {
		err = errors.Errorf("not in the home region first: %v", advice.Entries)
	}
	if err != nil {
		return d.check("ask which entry to use", "", err)
	}
	d.entry = advice.Entries[0]
	for _, e := range d.fleet.Entries {
		if e.Plan.Region == d.entry.Region && e.Plan.ID != d.entry.Instance {
			d.other = e.Caller
		}
	}
	return d.check("ask which entry to use", fmt.Sprintf("%s in the home region %s", d.entry.Instance, d.entry.Region), nil)
}

// complete sends a completion and checks that its answer is whole.
func (d *Demo) complete(ctx context.Context, to netip.AddrPort, class table.Class, model ident.Model, tokens int) (bench.Answer, error) {
	answer, failure := d.client.Call(ctx, to, &bench.Request{
		Workspace: workspace,
		Class:     class,
		Timeout:   stepTimeout,
		Model:     model,
		Prompt:    "A weekend in Ghent with two children",
		MaxTokens: tokens,
	})
	if failure != nil {
		return answer, failure
	}
	if answer.Tokens != tokens {
		return answer, errors.Errorf("%d of %d tokens", answer.Tokens, tokens)
	}
	return answer, nil
}

func (d *Demo) plan(ctx context.Context) {
	answer, err := d.complete(ctx, d.entry.Address, table.Plan, "planner", planTokens)
	seen := fmt.Sprintf("%d tokens, the first after %s", answer.Tokens, answer.TimeToFirstByte.Round(time.Millisecond))
	d.check("stream a plan", seen, err)
}

func (d *Demo) question(ctx context.Context) {
	answer, err := d.complete(ctx, d.entry.Address, table.Quick, "helper", questionTokens)
	seen := fmt.Sprintf("answered in %s", answer.Duration.Round(time.Millisecond))
	d.check("ask a quick question", seen, err)
}

// reserve makes one keyed reservation, repeats it through the other entry of the
// region, and counts its runs at the service.
func (d *Demo) reserve(ctx context.Context) {
	advice, err := d.client.FetchAdvice(ctx, d.entry.Address, workspace)
	if err != nil {
		d.check("ask for a key", "", err)
		return
	}
	request := &bench.Request{
		Workspace: workspace,
		Class:     table.ServiceCall,
		Timeout:   stepTimeout,
		Service:   "app",
		Method:    "POST",
		Path:      "/bookings/museum",
		Body:      []byte(`{"slot":"sunday-10"}`),
		KeepText:  true,
	}
	_, failure := d.client.Call(ctx, d.entry.Address, request)
	d.check("reserve without a key", "refused as not run", expect(failure, result.NotRun, result.KeyRequired))
	request.IdempotencyKey = advice.KeyPrefix + "demo-1"
	first, failure := d.client.Call(ctx, d.entry.Address, request)
	d.check("reserve with a key", fmt.Sprintf("status %d", first.Status), nilable(failure))
	second, failure := d.client.Call(ctx, d.other, request)
	err = nilable(failure)
	if err == nil && string(second.Text) != string(first.Text) {
		err = errors.New("the repeated try has another answer")
	}
	d.check("repeat it through another entry", "the same answer", err)
	runs, err := d.runs(ctx, request.IdempotencyKey)
	if err == nil && runs != 1 {
		err = errors.Errorf("%d runs", runs)
	}
	d.check("count the runs at the service", "1 run", err)
}

// nilable keeps a nil failure from becoming an error that isn't nil.
func nilable(f *result.Failure) error {
	if f == nil {
		return nil
	}
	return f
}

func expect(f *result.Failure, outcome result.Outcome, reason result.Reason) error {
	if f == nil {
		return errors.New("it was answered")
	}
	if f.Outcome != outcome || f.Reason != reason {
		return f
	}
	return nil
}

// runs counts how often the services ran the call with a key.
func (d *Demo) runs(ctx context.Context, key string) (int, error) {
	count := 0
	for _, u := range d.fleet.Upstreams {
		if u.Plan.Kind != "service" {
			continue
		}
		body, err := u.Runs(ctx)
		if err != nil {
			return 0, errors.Trace(err)
		}
		var log struct {
			Runs []struct {
				Key string `json:"key"`
			} `json:"runs"`
		}
		if err := json.Unmarshal(body, &log); err != nil {
			return 0, errors.Annotate(err, "runs of a service")
		}
		for _, r := range log.Runs {
			if r.Key == key {
				count++
			}
		}
	}
	return count, nil
}

// residency sends a request to an entry where its workspace's data may not be.
func (d *Demo) residency(ctx context.Context) {
	north := d.fleet.Entry("entry-north-eu-1")
	_, failure := d.client.Call(ctx, north.Caller, &bench.Request{
		Workspace: "school-trip-gent",
		Class:     table.Quick,
		Timeout:   stepTimeout,
		Model:     "helper",
		Prompt:    "What is open on Sunday?",
		MaxTokens: questionTokens,
	})
	err := expect(failure, result.NotRun, result.PlaceForbidden)
	d.check("send a workspace's data where it may not be", "refused as not run", err)
}

// edit changes a row of the table and waits until it is in force everywhere.
func (d *Demo) edit(ctx context.Context) {
	if err := d.fleet.SetCell("workspaces", string(workspace), "in-flight", "6"); err != nil {
		d.check("edit a row", "", err)
		return
	}
	if err := d.fleet.PublishTable(ctx, "more requests in flight"); err != nil {
		d.check("publish the change", "", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	started := time.Now()
	revision, err := d.fleet.WaitTableActive(ctx)
	seen := fmt.Sprintf("revision %d in force on all after %s", revision, time.Since(started).Round(time.Millisecond))
	d.check("edit a row of the table and publish it", seen, err)
}

// stopEntry stops the advised entry in the middle of a plan.
func (d *Demo) stopEntry(ctx context.Context) {
	e := d.fleet.Entry(d.entry.Instance)
	type ending struct {
		answer bench.Answer
		err    error
	}
	ended := make(chan ending, 1)
	go func() {
		answer, err := d.complete(ctx, e.Caller, table.Plan, "planner", planTokens)
		ended <- ending{answer, err}
	}()
	if err := d.busy(ctx, e); err != nil {
		d.check("start a plan", "", err)
		return
	}
	e.Signal(syscall.SIGTERM)
	end := <-ended
	d.check("stop the entry in mid-stream", fmt.Sprintf("the plan came whole, %d tokens", end.answer.Tokens), end.err)
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	d.check("wait for the stopped entry", "it exited with 0", e.Wait(ctx))
	answer, err := d.complete(ctx, d.other, table.Quick, "helper", questionTokens)
	d.check("ask through the other entry", fmt.Sprintf("answered in %s", answer.Duration.Round(time.Millisecond)), err)
}

// busy waits until an entry has a request in flight.
func (d *Demo) busy(ctx context.Context, e *fleet.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return fleet.PollUntil(ctx, func() error {
		status, err := cmds.FetchStatus(ctx, e.Admin)
		if err == nil && status.InFlight == 0 {
			err = errors.Errorf("no request in flight at %s", e.Name)
		}
		return err
	})
}

// logs returns the end of the logs of all entries, for a walk that failed.
func (d *Demo) logs() string {
	var b strings.Builder
	for _, e := range d.fleet.Entries {
		if e.Process != nil {
			fmt.Fprintf(&b, "--- %s\n%s", e.Name, e.Log())
		}
	}
	return b.String()
}
