// Package cost measures what an entry instance costs: the processor time for each
// streamed token of client, entry and stand-in together, beside the same client and
// stand-in without the entry, and the tokens a second through one entry on one core.
package cost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/io/bench"
	"arbutustrestle/io/fleet"
)

const (
	// tokensPerAnswer is the length of each streamed answer.
	tokensPerAnswer = 200
	// settleTimeout bounds the start of the fleet.
	settleTimeout = 60 * time.Second
	// slotsPerStream keeps the measurement away from admission: an engine that is
	// just full refuses some of the streams.
	slotsPerStream = 2
	// clockTicks is the unit of processor times in /proc, a second.
	clockTicks = 100
)

// Case is one measurement.
type Case struct {
	// Streams is the number of answers that are streamed at once.
	Streams int
	// TokenInterval is the time between two tokens of an answer.
	TokenInterval time.Duration
	// Answers is the number of answers that each stream gets one after the other.
	Answers int
	// Runs is the number of times that the case is run.
	Runs int
}

// Row is what one run of a case gave.
type Row struct {
	Case
	// DirectPerToken and ThroughPerToken are the processor times a token, of client and stand-in, and
	// of client, entry and stand-in.
	DirectPerToken, ThroughPerToken time.Duration
	// EntryPerToken is the entry's part of Through.
	EntryPerToken time.Duration
	// TokensPerSecond is the rate through the entry.
	TokensPerSecond float64
	// FirstTokenDirect and FirstTokenThrough are the medians of the time to the first token.
	FirstTokenDirect, FirstTokenThrough time.Duration
	// Failed counts the answers that didn't come whole, by reason.
	Failed map[string]int
}

// Ratio is the processor time with the entry over that without it.
func (r Row) Ratio() float64 {
	return float64(r.ThroughPerToken) / float64(r.DirectPerToken)
}

// Run measures the cases in the repository's folder and writes a table.
func Run(ctx context.Context, out io.Writer, folder string, cases []Case) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "streams\ttoken time\tdirect us/token\tthrough us/token\tentry us/token\tratio\ttokens/s\tfirst direct\tfirst through\tfailed\t")
	for _, c := range cases {
		for range c.Runs {
			row, err := measure(ctx, folder, c)
			if err != nil {
				return errors.Annotatef(err, "%d streams", c.Streams)
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%s\t%s\t%v\t\n", row.Streams, row.TokenInterval,
				micros(row.DirectPerToken), micros(row.ThroughPerToken), micros(row.EntryPerToken), row.Ratio(), row.TokensPerSecond,
				row.FirstTokenDirect.Round(100*time.Microsecond), row.FirstTokenThrough.Round(100*time.Microsecond), row.Failed)
		}
	}
	return errors.Trace(w.Flush())
}

func micros(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1e3
}

// measure runs one case directly and through an entry, on the same stand-in.
func measure(ctx context.Context, folder string, c Case) (Row, error) {
	row := Row{Case: c}
	f, err := start(ctx, folder, c)
	if err != nil {
		_ = f.Stop()
		return row, errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	// The entry goes first: it would take the streams of a direct run, which it can't
	// know of, for load that still runs.
	before, err := processorTime(f.Entries[0].PID())
	if err != nil {
		return row, errors.Trace(err)
	}
	through, throughCost, err := send(ctx, f, folder, c, "-entries", f.Entries[0].Caller)
	if err != nil {
		return row, errors.Annotate(err, "through the entry")
	}
	after, err := processorTime(f.Entries[0].PID())
	if err != nil {
		return row, errors.Trace(err)
	}
	direct, directCost, err := send(ctx, f, folder, c, "-direct", f.Upstreams[0].Address)
	if err != nil {
		return row, errors.Annotate(err, "direct")
	}
	plan := through.Classes["plan"]
	row.DirectPerToken = directCost / time.Duration(max(1, direct.Classes["plan"].Tokens))
	row.EntryPerToken = (after - before) / time.Duration(max(1, plan.Tokens))
	row.ThroughPerToken = throughCost/time.Duration(max(1, plan.Tokens)) + row.EntryPerToken
	row.TokensPerSecond = through.TokensPerS
	row.FirstTokenDirect = milliseconds(direct.Classes["plan"].FirstByteMS.P50)
	row.FirstTokenThrough = milliseconds(plan.FirstByteMS.P50)
	row.Failed = through.Reasons
	return row, nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// start runs a platform, one engine with room for all streams, and one entry that
// has one core.
func start(ctx context.Context, folder string, c Case) (*fleet.Fleet, error) {
	slots := strconv.Itoa(slotsPerStream * c.Streams)
	plan := fleet.Plan{
		BinDir:   filepath.Join(folder, "bin"),
		TableDir: filepath.Join(folder, "io", "cost", "table"),
		Entries:  []fleet.EntryPlan{{ID: "entry-1", Zone: "west-1", Region: "west"}},
		Upstreams: []fleet.UpstreamPlan{{
			ID: "engine-1", Pool: "engines", Zone: "west-1", Region: "west", Kind: "engine",
			Flags: []string{"-slots", slots, "-step-time", c.TokenInterval.String()},
		}},
		Environment: []string{"GOMAXPROCS=1"},
	}
	f, err := fleet.Start(ctx, plan)
	if err != nil {
		return f, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return f, errors.Trace(f.WaitReady(ctx))
}

// send runs the load tool, and returns its report and the processor time of the tool
// and the stand-in.
func send(ctx context.Context, f *fleet.Fleet, folder string, c Case, flag string, to netip.AddrPort) (*bench.Report, time.Duration, error) {
	standin := f.Upstreams[0].PID()
	before, err := processorTime(standin)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	streams := strconv.Itoa(c.Streams)
	count := strconv.Itoa(c.Streams * c.Answers)
	tokens := "plan=" + strconv.Itoa(tokensPerAnswer)
	command := exec.CommandContext(ctx, filepath.Join(folder, "bin", "standin"), // #nosec G204 -- the project's own program
		"load", flag, to.String(), "-workers", streams, "-count", count, "-mix", "plan=1", "-tokens", tokens,
		"-workspaces", "cousins", "-model", "planner", "-version", "v1", "-tries", "1", "-json")
	var printed, log bytes.Buffer
	command.Stdout = &printed
	command.Stderr = &log
	failed := command.Run()
	var report bench.Report
	if err := json.Unmarshal(printed.Bytes(), &report); err != nil {
		return nil, 0, errors.Errorf("the load tool: %v: %s", failed, log.String())
	}
	after, err := processorTime(standin)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	own := time.Duration(report.CPUSeconds * float64(time.Second))
	return &report, own + after - before, nil
}

// processorTime returns what a process has used, in user and system mode.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The name in brackets may hold spaces: "17 (entry) S 1 ...".
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.NotValidf("/proc/%d/stat", pid)
	}
	ticks := 0
	for _, f := range []string{fields[userField], fields[systemField]} {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}
