package cmds

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

const (
	// timelineMargin is how long before the first line of a request the timeline
	// begins. It is longer than any request takes, since the clocks of instances differ.
	timelineMargin = 20 * time.Second
	// maxLineBytes limits the length of one line of a log.
	maxLineBytes = 1 << 20
)

// explainCommand prints the log lines that concern one request.
type explainCommand struct{ out io.Writer }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show the log lines that concern a request" }
func (*explainCommand) Usage() string {
	return `explain REQUEST-ID LOG ...
  Reads the logs of one or more instances ("-" is standard input) and prints, in
  the order of their times, every line of a request, and the changes of state
  around that time of the instances and upstreams that were involved: a zone
  evacuated, an upstream draining, a dependency lost. Text before the first brace
  of a line is skipped. Exits with 1 when no line names the request.
`
}
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the timeline.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return usage("explain needs a request id and one or more logs")
	}
	var lines []logLine
	for _, name := range f.Args()[1:] {
		read, err := readLog(name)
		if err != nil {
			return fail(err)
		}
		lines = append(lines, read...)
	}
	timeline := requestTimeline(f.Arg(0), lines)
	if len(timeline) == 0 {
		return fail(errors.NotFoundf("request %s in %d lines; give the logs of all instances, and of the time of the request,", f.Arg(0), len(lines)))
	}
	for _, l := range timeline {
		_, _ = fmt.Fprintln(c.out, l.String())
	}
	return ExitDone
}

// logLine is one line of a log.
type logLine struct {
	at      time.Time
	message string
	fields  map[string]any
}

// readLog reads a log. Lines that cannot be parsed are skipped, such as one that was cut
// off while it was written.
func readLog(name string) ([]logLine, error) {
	file := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, errors.Annotate(err, "reading a log")
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	lines, err := parseLog(file)
	return lines, errors.Annotatef(err, "reading %s", name)
}

func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(strings.NewReader("{" + text))
		// The number of an incarnation does not fit a float64.
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil {
			continue
		}
		lines = append(lines, newLogLine(fields))
	}
	return lines, scanner.Err()
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{fields: fields}
	l.message = l.text("message")
	at, err := time.Parse(time.RFC3339, l.text("time"))
	if err == nil {
		l.at = at
	}
	for _, name := range []string{"message", "time", "level"} {
		delete(fields, name)
	}
	return l
}

func (l logLine) text(name string) string {
	text, _ := l.fields[name].(string)
	return text
}

// String returns the time, the instance, the message and the other fields, sorted by name.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.at.Format("15:04:05.000"), l.text("instance"), l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if name != "instance" && l.fields[name] != "" {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}

// requestTimeline returns the lines of a request, and the lines around that time on the
// state of the instances and upstreams that were involved in it.
func requestTimeline(id string, lines []logLine) []logLine {
	var requestLines []logLine
	involved := map[string]bool{}
	for _, l := range lines {
		if l.text("request-id") != id {
			continue
		}
		requestLines = append(requestLines, l)
		involved[l.text("instance")] = true
		involved[l.text("peer")] = true
	}
	if len(requestLines) == 0 {
		return nil
	}
	delete(involved, "")
	byTime := func(a, b logLine) int { return a.at.Compare(b.at) }
	first := slices.MinFunc(requestLines, byTime).at.Add(-timelineMargin)
	last := slices.MaxFunc(requestLines, byTime).at.Add(time.Second)
	timeline := requestLines
	for _, l := range lines {
		if l.text("request-id") == "" && l.at.After(first) && l.at.Before(last) && l.concerns(involved) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b logLine) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.text("instance"), b.text("instance")))
	})
	return timeline
}

// concerns reports whether a line is about an upstream or instance that was involved in
// the request. Lines of an involved instance that name no upstream or member count too,
// such as a lost dependency.
func (l logLine) concerns(involved map[string]bool) bool {
	if involved[l.text("upstream")] || involved[l.text("member")] {
		return true
	}
	return involved[l.text("instance")] && l.text("upstream") == "" && l.text("member") == ""
}
