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
	// aroundRequest is how long before and after a request beliefs are shown. Clocks of
	// instances differ, so that it is longer than any request.
	aroundRequest = 20 * time.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// explainCommand shows what the logs of instances say of one request.
type explainCommand struct{ out io.Writer }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show what logs say of a request" }
func (*explainCommand) Usage() string {
	return `explain REQUEST-ID LOG ...
  Reads the logs of one or more instances ("-" is standard input) and shows, in
  the order of their times, every decision on a request, and what was believed
  around it of the upstreams and instances that it met: a zone evacuated, an
  upstream leaving, a dependency lost. Text before the first brace of a line is
  left out. Exits with 1 when no line names the request.
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
	timeline := explain(f.Arg(0), lines)
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

// readLog reads the lines that can be read; others, as of a line that was cut, are left
// out.
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
		// Run numbers don't fit a float.
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil {
			continue
		}
		lines = append(lines, newLine(fields))
	}
	return lines, scanner.Err()
}

func newLine(fields map[string]any) logLine {
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

// String writes the time, the instance, the message and the fields by name.
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

// explain returns the lines of a request, and those of the beliefs around it.
func explain(id string, lines []logLine) []logLine {
	var own []logLine
	met := map[string]bool{}
	for _, l := range lines {
		if l.text("request-id") != id {
			continue
		}
		own = append(own, l)
		met[l.text("instance")] = true
		met[l.text("peer")] = true
	}
	if len(own) == 0 {
		return nil
	}
	delete(met, "")
	byTime := func(a, b logLine) int { return a.at.Compare(b.at) }
	first := slices.MinFunc(own, byTime).at.Add(-aroundRequest)
	last := slices.MaxFunc(own, byTime).at.Add(time.Second)
	timeline := own
	for _, l := range lines {
		if l.text("request-id") == "" && l.at.After(first) && l.at.Before(last) && l.concerns(met) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, func(a, b logLine) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.text("instance"), b.text("instance")))
	})
	return timeline
}

// concerns reports whether a belief is about something that the request has met. What
// an instance on its way believes of everything, such as a lost dependency, counts.
func (l logLine) concerns(met map[string]bool) bool {
	if met[l.text("upstream")] || met[l.text("member")] {
		return true
	}
	return met[l.text("instance")] && l.text("upstream") == "" && l.text("member") == ""
}
