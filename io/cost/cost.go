// Package cost measures the processor time that an entry instance adds to streaming. It
// compares the time per token of client, instance and stand-in together with that of the
// same client and stand-in without the instance. It also measures the tokens a second
// that one instance streams on one core.
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
	// tokensPerAnswer is the number of tokens of each streamed answer.
	tokensPerAnswer = 200
	// settleTimeout is the limit for the start of the fleet.
	settleTimeout = 60 * time.Second
	// slotsPerStream is the engine's slots for each stream. With one slot a stream the
	// engine is full and some streams are refused at admission, which would distort the
	// measurement.
	slotsPerStream = 2
	// clockTicksPerSecond is the number of units a second of the processor times in /proc.
	clockTicksPerSecond = 100
)

// Case is one measurement and its load.
type Case struct {
	// Streams is the number of answers that are streamed concurrently.
	Streams int
	// TokenInterval is the time between two tokens of an answer, set as the step time of the
	// stand-in.
	TokenInterval time.Duration
	// Answers is the average number of answers per stream, one after the other. In all,
	// Streams * Answers requests are sent.
	Answers int
	// Runs is the number of times that the case is measured.
	Runs int
}

// Row is the result of one run of a case.
type Row struct {
	Case
	// DirectPerToken and ThroughPerToken are the processor time per token without and with the
	// entry instance: of client and stand-in, and of client, instance and stand-in.
	DirectPerToken, ThroughPerToken time.Duration
	// EntryPerToken is the entry instance's part of ThroughPerToken.
	EntryPerToken time.Duration
	// TokensPerSecond is the token rate of all streams through the entry instance.
	TokensPerSecond float64
	// FirstTokenDirect and FirstTokenThrough are the median times to the first token, without
	// and with the entry instance.
	FirstTokenDirect, FirstTokenThrough time.Duration
	// Failed counts the incomplete answers through the entry instance by reason.
	Failed map[string]int
}

// Ratio returns the processor time per token with the entry instance divided by that
// without it.
func (r Row) Ratio() float64 {
	return float64(r.ThroughPerToken) / float64(r.DirectPerToken)
}

// Run measures the cases with the programs and the table of the repository at root, and
// writes a table of the results to out.
func Run(ctx context.Context, out io.Writer, root string, cases []Case) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "streams\ttoken time\tdirect us/token\tthrough us/token\tentry us/token\tratio\ttokens/s\tfirst direct\tfirst through\tfailed\t")
	for _, c := range cases {
		for range c.Runs {
			row, err := measure(ctx, root, c)
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

// measure runs one case through an entry instance and then without it, on the same
// stand-in.
func measure(ctx context.Context, root string, c Case) (Row, error) {
	row := Row{Case: c}
	f, err := start(ctx, root, c)
	if err != nil {
		_ = f.Stop()
		return row, errors.Trace(err)
	}
	defer func() { _ = f.Stop() }()
	// The run through the instance is first. After a direct run the instance would count
	// the streams of that run, which it didn't send, as load that is still running.
	before, err := processorTime(f.Entries[0].PID())
	if err != nil {
		return row, errors.Trace(err)
	}
	through, throughCost, err := sendLoad(ctx, f, root, c, "-entries", f.Entries[0].Caller)
	if err != nil {
		return row, errors.Annotate(err, "through the entry")
	}
	after, err := processorTime(f.Entries[0].PID())
	if err != nil {
		return row, errors.Trace(err)
	}
	direct, directCost, err := sendLoad(ctx, f, root, c, "-direct", f.Upstreams[0].Address)
	if err != nil {
		return row, errors.Annotate(err, "direct")
	}
	throughPlan := through.Classes["plan"]
	row.DirectPerToken = directCost / time.Duration(max(1, direct.Classes["plan"].Tokens))
	row.EntryPerToken = (after - before) / time.Duration(max(1, throughPlan.Tokens))
	row.ThroughPerToken = throughCost/time.Duration(max(1, throughPlan.Tokens)) + row.EntryPerToken
	row.TokensPerSecond = through.TokensPerS
	row.FirstTokenDirect = milliseconds(direct.Classes["plan"].FirstByteMS.P50)
	row.FirstTokenThrough = milliseconds(throughPlan.FirstByteMS.P50)
	row.Failed = through.Reasons
	return row, nil
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// start starts a platform, one engine with slots for all streams, and one entry instance
// that is limited to one core.
func start(ctx context.Context, root string, c Case) (*fleet.Fleet, error) {
	slots := strconv.Itoa(slotsPerStream * c.Streams)
	plan := fleet.Plan{
		BinDir:   filepath.Join(root, "bin"),
		TableDir: filepath.Join(root, "io", "cost", "table"),
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

// sendLoad runs the load command of standin, and returns its report and the processor time
// that it and the stand-in used.
func sendLoad(ctx context.Context, f *fleet.Fleet, root string, c Case, flag string, address netip.AddrPort) (*bench.Report, time.Duration, error) {
	standin := f.Upstreams[0].PID()
	before, err := processorTime(standin)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	streams := strconv.Itoa(c.Streams)
	count := strconv.Itoa(c.Streams * c.Answers)
	tokens := "plan=" + strconv.Itoa(tokensPerAnswer)
	command := exec.CommandContext(ctx, filepath.Join(root, "bin", "standin"), // #nosec G204 -- the project's own program
		"load", flag, address.String(), "-workers", streams, "-count", count, "-mix", "plan=1", "-tokens", tokens,
		"-workspaces", "cousins", "-model", "planner", "-version", "v1", "-tries", "1", "-json")
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	runErr := command.Run()
	var report bench.Report
	if err := json.Unmarshal(stdout.Bytes(), &report); err != nil {
		return nil, 0, errors.Errorf("run standin load: %v: %s", runErr, stderr.String())
	}
	after, err := processorTime(standin)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	toolTime := time.Duration(report.CPUSeconds * float64(time.Second))
	return &report, toolTime + after - before, nil
}

// processorTime returns the processor time that a process has used in user and system
// mode.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The program's name in parentheses may contain spaces: "17 (entry) S 1 ...".
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
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}
