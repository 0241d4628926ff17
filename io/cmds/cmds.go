// Package cmds implements the commands for operators.
package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"arbutustrestle/core/table"
	"arbutustrestle/io/admin"
	"arbutustrestle/io/config"
	"arbutustrestle/io/daemon"
)

// The exit codes of all commands.
const (
	// ExitDone means that the command succeeded.
	ExitDone = subcommands.ExitSuccess
	// ExitFailed means that the command found a fault in the files or instances that
	// it checked, or could not reach them. The output names the fault.
	ExitFailed = subcommands.ExitFailure
	// ExitUsage means that the command line is wrong.
	ExitUsage = subcommands.ExitUsageError
)

// requestTimeout limits one request to an instance.
const requestTimeout = 5 * time.Second

// maxReplyBytes limits the size of an instance's reply.
const maxReplyBytes = 4 << 20

// All returns all commands but GatewayCommand, in the order in which help lists them.
func All() []subcommands.Command {
	return []subcommands.Command{
		&runCommand{},
		&checkCommand{out: os.Stdout},
		&pagesCommand{out: os.Stdout},
		&entryCommand{out: os.Stdout},
		&statusCommand{out: os.Stdout},
		&drainCommand{out: os.Stdout},
		&explainCommand{out: os.Stdout},
	}
}

// fail prints an error and returns ExitFailed.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return ExitFailed
}

func usage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, text)
	return ExitUsage
}

// runCommand runs an entry instance.
type runCommand struct{}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an entry instance" }
func (*runCommand) Usage() string {
	return `run SETTINGS.ini
  Runs an entry instance until SIGTERM, SIGINT or "drain", then finishes the
  requests in flight and exits with 0. The next signal shortens the waits of the
  shutdown, and the one after it ends it at once, with 1 if requests were cut off.
  With invalid settings it exits with 1 before it listens. Logs JSON lines to
  stderr.
`
}
func (*runCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the instance.
func (*runCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("run needs one settings file, such as examples/entry-west-eu-1.ini")
	}
	settings, err := config.ReadEntry(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	if err := daemon.Run(settings, os.Stderr); err != nil {
		return fail(err)
	}
	return ExitDone
}

// checkCommand checks settings files and a table, without network access.
type checkCommand struct {
	out   io.Writer
	table string
	json  bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings and a table, offline" }
func (*checkCommand) Usage() string {
	return `check [-table FOLDER] [-json] [SETTINGS.ini ...]
  Checks settings files and the sheets of a table, and the settings against the
  table. Prints every fault with file, line, column and remedy. Exits with 1 when
  there is a fault.
`
}

// SetFlags registers the flags.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.table, "table", "", "`folder` with the sheets of a table")
	f.BoolVar(&c.json, "json", false, "print the faults as JSON")
}

// Execute checks the files and prints the faults.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.table == "" && f.NArg() == 0 {
		return usage("check needs -table FOLDER, settings files, or both")
	}
	faults, err := findFaults(c.table, f.Args())
	if err != nil {
		return fail(err)
	}
	c.print(faults)
	if len(faults) > 0 {
		return ExitFailed
	}
	return ExitDone
}

func findFaults(folder string, files []string) (table.Faults, error) {
	var faults table.Faults
	var checked *table.Table
	if folder != "" {
		t, err := config.ReadTable(folder)
		if err := collect(&faults, err); err != nil {
			return nil, errors.Trace(err)
		}
		checked = t
	}
	for _, file := range files {
		found, err := config.CheckFile(file, checked)
		if err != nil {
			return nil, errors.Trace(err)
		}
		faults = append(faults, found...)
	}
	return faults, nil
}

// collect adds the faults that an error holds, and returns any other error.
func collect(faults *table.Faults, err error) error {
	var found table.Faults
	if errors.As(err, &found) {
		*faults = append(*faults, found...)
		return nil
	}
	return err
}

func (c *checkCommand) print(faults table.Faults) {
	if c.json {
		rows := make([]faultMessage, 0, len(faults))
		for _, f := range faults {
			rows = append(rows, faultMessage{f.File, f.Line, f.Column, f.Problem, f.Remedy})
		}
		printJSON(c.out, rows)
		return
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(c.out, f.Error())
	}
	noun := "faults"
	if len(faults) == 1 {
		noun = "fault"
	}
	_, _ = fmt.Fprintf(c.out, "%d %s\n", len(faults), noun)
}

type faultMessage struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  string `json:"column"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

func printJSON(out io.Writer, value any) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// getJSON sends a GET request to an instance and decodes the JSON reply into to.
func getJSON(ctx context.Context, url string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	return doJSON(request, to)
}

// doJSON sends a request and decodes the JSON reply into to.
func doJSON(request *http.Request, to any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body := io.LimitReader(response.Body, maxReplyBytes)
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(body)
		return errors.Errorf("%s answered with status %d: %s", request.URL.Host, response.StatusCode, text)
	}
	return errors.Annotatef(json.NewDecoder(body).Decode(to), "reply of %s", request.URL.Host)
}

// drainCommand starts the graceful shutdown of one instance.
type drainCommand struct {
	out io.Writer
}

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "stop an instance gracefully" }
func (*drainCommand) Usage() string {
	return `drain ADMIN-ADDRESS
  Requests that the instance accepts no new requests, finishes those in flight and
  exits. Returns at once; follow the progress with "status".
`
}
func (*drainCommand) SetFlags(*flag.FlagSet) {}

// Execute sends the request to the instance.
func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	address, err := netip.ParseAddrPort(f.Arg(0))
	if f.NArg() != 1 || err != nil {
		return usage("drain needs one admin address, such as 127.0.0.1:7301")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/drain", nil)
	if err != nil {
		return fail(err)
	}
	var reply struct {
		Instance string `json:"instance"`
		Draining bool   `json:"draining"`
	}
	if err := doJSON(request, &reply); err != nil {
		return fail(err)
	}
	_, _ = fmt.Fprintf(c.out, "%s is draining\n", reply.Instance)
	return ExitDone
}

// FetchStatus requests the status of the instance at an admin address.
func FetchStatus(ctx context.Context, address netip.AddrPort) (admin.Status, error) {
	var s admin.Status
	err := getJSON(ctx, "http://"+address.String()+"/v1/status", &s)
	return s, errors.Trace(err)
}
