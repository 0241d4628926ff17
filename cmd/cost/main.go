// Command cost measures the processor time that an entry instance uses for each streamed
// token. It is run by "make cost".
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"arbutustrestle/io/cost"
)

// cases are the measurements. Flags select one of them or change them. Their streams take
// about a minute in total.
var cases = []cost.Case{
	{Streams: 1, TokenInterval: 5 * time.Millisecond, Answers: 2, Runs: 1},
	{Streams: 100, TokenInterval: 20 * time.Millisecond, Answers: 2, Runs: 2},
	{Streams: 1000, TokenInterval: 69 * time.Millisecond, Answers: 1, Runs: 1},
}

func main() {
	streams := flag.Int("streams", 0, "measure only the case with this `number` of streams; 0 measures all")
	answers := flag.Int("answers", 0, "`number` of answers for each stream; 0 uses that of the case")
	runs := flag.Int("runs", 0, "`number` of runs of each case; 0 uses that of the case")
	flag.Parse()
	selected := selectCases(*streams, *answers, *runs)
	if len(selected) == 0 {
		fmt.Fprintf(os.Stderr, "no case has %d streams; choose among 1, 100 and 1000\n", *streams)
		os.Exit(2)
	}
	if err := cost.Run(context.Background(), os.Stdout, ".", selected); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// selectCases returns the cases with the given number of streams, or all for 0. Answers and
// runs replace the numbers of the cases unless they are 0.
func selectCases(streams, answers, runs int) []cost.Case {
	var selected []cost.Case
	for _, c := range cases {
		if streams != 0 && c.Streams != streams {
			continue
		}
		if answers > 0 {
			c.Answers = answers
		}
		if runs > 0 {
			c.Runs = runs
		}
		selected = append(selected, c)
	}
	return selected
}
