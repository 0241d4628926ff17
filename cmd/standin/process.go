package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// tickTime is the unit of the processor times in /proc/PID/stat: 100 ticks a second.
const tickTime = 10 * time.Millisecond

// processes is a flag such as "entry=1234,engine=1235" that lists the processes whose
// processor time is reported, as process ids by name.
type processes map[string]int

// String formats the flag as Set parses it.
func (p processes) String() string {
	list := make([]string, 0, len(p))
	for name, pid := range p {
		list = append(list, fmt.Sprintf("%s=%d", name, pid))
	}
	return strings.Join(list, ",")
}

// Set parses the flag and replaces all processes.
func (p processes) Set(text string) error {
	clear(p)
	for _, item := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(item, "=")
		pid, err := strconv.ParseUint(value, 10, 31)
		if err != nil || name == "" {
			return errors.NotValidf("%q, which is not name=pid,", item)
		}
		p[name] = int(pid)
	}
	return nil
}

// times returns the processor time that each process has used since its start.
func (p processes) times() (map[string]time.Duration, error) {
	times := make(map[string]time.Duration, len(p))
	for name, pid := range p {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return nil, errors.Annotatef(err, "process %s", name)
		}
		times[name], err = parseStat(string(text))
		if err != nil {
			return nil, errors.Annotatef(err, "process %s", name)
		}
	}
	return times, nil
}

// parseStat returns the sum of the user and system time in a line of
// /proc/PID/stat, such as "12 (my (prog)) S 1 12 … 150 30 …". The program's name may
// contain blanks and parentheses, so fields are counted from the last ")".
func parseStat(line string) (time.Duration, error) {
	const userField, systemField = 11, 12
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) <= systemField {
		return 0, errors.NotValidf("line of %d fields", len(fields))
	}
	user, err := strconv.ParseUint(fields[userField], 10, 63)
	if err != nil {
		return 0, errors.Trace(err)
	}
	system, err := strconv.ParseUint(fields[systemField], 10, 63)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return time.Duration(user+system) * tickTime, nil
}

// processorReport is the processor time that a load used.
type processorReport struct {
	// Seconds is the time by process name; this process is "load".
	Seconds map[string]float64 `json:"seconds"`
	// MicrosPerToken is the time of all processes together, in microseconds, divided by
	// the tokens of complete responses.
	MicrosPerToken float64 `json:"us-per-token"`
}

// newProcessorReport computes the report from the times before and after the load, and
// from the time that this process used for it.
func newProcessorReport(before, after map[string]time.Duration, load time.Duration, tokens int) processorReport {
	report := processorReport{Seconds: map[string]float64{"load": load.Seconds()}}
	sum := load
	for name := range after {
		spent := after[name] - before[name]
		report.Seconds[name] = spent.Seconds()
		sum += spent
	}
	if tokens > 0 {
		report.MicrosPerToken = float64(sum.Microseconds()) / float64(tokens)
	}
	return report
}
