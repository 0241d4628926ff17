// Package demo runs the main functions of the system against stand-ins, all as separate
// processes on loopback, and prints the result of each step on a line.
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
	// readyTimeout is the limit for the start of the fleet.
	readyTimeout = 30 * time.Second
	// activationTimeout is the limit for a published table to be active on all instances.
	activationTimeout = 8 * time.Second
	// stepTimeout is the limit for each other step.
	stepTimeout = 30 * time.Second
	// planTokens and questionTokens are the lengths of the completions in tokens.
	planTokens     = 200
	questionTokens = 8
)

// Demo is one run of the demonstration. It can't be run again.
type Demo struct {
	out    io.Writer
	fleet  *fleet.Fleet
	client bench.Client
	checks int
	failed int
	// entry is the instance that callers of the workspace are advised to use, and
	// otherEntry the caller address of the other instance in its region.
	entry      bench.AdvisedEntry
	otherEntry netip.AddrPort
}

// workspace is the workspace of the demo's requests.
const workspace ident.Workspace = "family-peeters"

// Run runs the demo with the programs and the example table of the repository at root.
// It reports whether all checks passed.
func Run(ctx context.Context, out io.Writer, root string) bool {
	d := &Demo{out: out}
	plan := fleet.TwoRegionPlan(filepath.Join(root, "bin"), filepath.Join(root, "examples", "table"))
	f, err := fleet.Start(ctx, plan)
	d.fleet = f
	d.check("start the platform, 6 engines, 2 services and 3 entry instances", "all run as processes of their own", err)
	if err == nil {
		d.runSteps(ctx)
	}
	d.check("stop everything", "nothing is left running", f.Stop())
	d.client.Close()
	if d.failed > 0 {
		_, _ = fmt.Fprint(out, d.logs())
	}
	_, _ = fmt.Fprintf(out, "demo: %d checks, %d failed\n", d.checks, d.failed)
	return d.failed == 0
}

// check prints the result of a step on one line and counts it. It reports whether the
// step passed.
func (d *Demo) check(step, detail string, err error) bool {
	d.checks++
	if err == nil {
		_, _ = fmt.Fprintf(d.out, "ok    %s: %s\n", step, detail)
		return true
	}
	d.failed++
	_, _ = fmt.Fprintf(d.out, "FAIL  %s: %v\n", step, err)
	return false
}

func (d *Demo) runSteps(ctx context.Context) {
	if !d.waitReady(ctx) || !d.findEntry(ctx) {
		return
	}
	d.streamPlan(ctx)
	d.quickRequest(ctx)
	d.reserve(ctx)
	d.checkResidency(ctx)
	d.editTable(ctx)
	d.stopEntry(ctx)
}

// waitReady waits until the first table is active on every instance, and each instance
// sees all its peers as ready.
func (d *Demo) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	revision, err := d.fleet.WaitTableActive(ctx)
	if err == nil {
		err = d.fleet.WaitReady(ctx)
	}
	return d.check("wait until every instance is ready", fmt.Sprintf("table revision %d is in force on all", revision), err)
}

func (d *Demo) findEntry(ctx context.Context) bool {
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
		err = errors.Errorf("the first entry is not in the home region: %v", advice.Entries)
	}
	if err != nil {
		return d.check("ask which entry to use", "", err)
	}
	d.entry = advice.Entries[0]
	for _, e := range d.fleet.Entries {
		if e.Plan.Region == d.entry.Region && e.Plan.ID != d.entry.Instance {
			d.otherEntry = e.Caller
		}
	}
	return d.check("ask which entry to use", fmt.Sprintf("%s in the home region %s", d.entry.Instance, d.entry.Region), nil)
}

// complete sends a completion request and checks that the response has all tokens.
func (d *Demo) complete(ctx context.Context, address netip.AddrPort, class table.Class, model ident.Model, tokens int) (bench.Answer, error) {
	answer, failure := d.client.Call(ctx, address, &bench.Request{
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

func (d *Demo) streamPlan(ctx context.Context) {
	answer, err := d.complete(ctx, d.entry.Address, table.Plan, "planner", planTokens)
	detail := fmt.Sprintf("%d tokens, the first after %s", answer.Tokens, answer.TimeToFirstByte.Round(time.Millisecond))
	d.check("stream a plan", detail, err)
}

func (d *Demo) quickRequest(ctx context.Context) {
	answer, err := d.complete(ctx, d.entry.Address, table.Quick, "helper", questionTokens)
	detail := fmt.Sprintf("answered in %s", answer.Duration.Round(time.Millisecond))
	d.check("ask a quick question", detail, err)
}

// reserve sends a reservation with an idempotency key, repeats it through the other
// instance of the region, and counts its runs in the services' logs.
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
	d.check("reserve without a key", "refused as not run", checkFailure(failure, result.NotRun, result.KeyRequired))
	request.IdempotencyKey = advice.KeyPrefix + "demo-1"
	first, failure := d.client.Call(ctx, d.entry.Address, request)
	d.check("reserve with a key", fmt.Sprintf("status %d", first.Status), asError(failure))
	second, failure := d.client.Call(ctx, d.otherEntry, request)
	err = asError(failure)
	if err == nil && string(second.Text) != string(first.Text) {
		err = errors.New("the repeated call returned a different answer")
	}
	d.check("repeat it through another entry", "the same answer", err)
	runs, err := d.runs(ctx, request.IdempotencyKey)
	if err == nil && runs != 1 {
		err = errors.Errorf("%d runs", runs)
	}
	d.check("count the runs at the service", "1 run", err)
}

// asError converts a failure to an error. A nil *result.Failure assigned to an error
// directly would be an error that isn't nil.
func asError(f *result.Failure) error {
	if f == nil {
		return nil
	}
	return f
}

func checkFailure(f *result.Failure, outcome result.Outcome, reason result.Reason) error {
	if f == nil {
		return errors.New("the call was answered, not refused")
	}
	if f.Outcome != outcome || f.Reason != reason {
		return f
	}
	return nil
}

// runs returns how often the services ran the call with the key, by their logs.
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

// checkResidency sends a request to an instance in a region where the data of its
// workspace may not be processed, and expects it to be refused.
func (d *Demo) checkResidency(ctx context.Context) {
	north := d.fleet.Entry("entry-north-eu-1")
	_, failure := d.client.Call(ctx, north.Caller, &bench.Request{
		Workspace: "school-trip-gent",
		Class:     table.Quick,
		Timeout:   stepTimeout,
		Model:     "helper",
		Prompt:    "What is open on Sunday?",
		MaxTokens: questionTokens,
	})
	err := checkFailure(failure, result.NotRun, result.PlaceForbidden)
	d.check("send a workspace's data where it may not be", "refused as not run", err)
}

// editTable changes a row of the table, publishes it and waits until it is active on all
// instances.
func (d *Demo) editTable(ctx context.Context) {
	if err := d.fleet.SetCell("workspaces", string(workspace), "in-flight", "6"); err != nil {
		d.check("edit a row", "", err)
		return
	}
	if err := d.fleet.PublishTable(ctx, "more requests in flight"); err != nil {
		d.check("publish the change", "", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	started := time.Now()
	revision, err := d.fleet.WaitTableActive(ctx)
	detail := fmt.Sprintf("revision %d in force on all after %s", revision, time.Since(started).Round(time.Millisecond))
	d.check("edit a row of the table and publish it", detail, err)
}

// stopEntry stops the advised instance while it streams a plan. The stream must complete,
// and the other instance of the region must answer the next request.
func (d *Demo) stopEntry(ctx context.Context) {
	e := d.fleet.Entry(d.entry.Instance)
	type completion struct {
		answer bench.Answer
		err    error
	}
	done := make(chan completion, 1)
	go func() {
		answer, err := d.complete(ctx, e.Caller, table.Plan, "planner", planTokens)
		done <- completion{answer, err}
	}()
	if err := d.waitInFlight(ctx, e); err != nil {
		d.check("start a plan", "", err)
		return
	}
	e.Signal(syscall.SIGTERM)
	end := <-done
	d.check("stop the entry in mid-stream", fmt.Sprintf("the plan came whole, %d tokens", end.answer.Tokens), end.err)
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	d.check("wait for the stopped entry", "it exited with 0", e.Wait(ctx))
	answer, err := d.complete(ctx, d.otherEntry, table.Quick, "helper", questionTokens)
	d.check("ask through the other entry", fmt.Sprintf("answered in %s", answer.Duration.Round(time.Millisecond)), err)
}

// waitInFlight waits until the instance has a request in flight.
func (d *Demo) waitInFlight(ctx context.Context, e *fleet.Entry) error {
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

// logs returns the end of the logs of all instances. It is printed after a failure.
func (d *Demo) logs() string {
	var b strings.Builder
	for _, e := range d.fleet.Entries {
		if e.Process != nil {
			fmt.Fprintf(&b, "--- %s\n%s", e.Name, e.Log())
		}
	}
	return b.String()
}
