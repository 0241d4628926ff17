// Command cost measures what an entry instance costs for each streamed token; see
// "make cost".
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"arbutustrestle/io/cost"
)

// cases are measured unless flags choose among them or change them. Their streams
// take about a minute together.
var cases = []cost.Case{
	{Streams: 1, TokenInterval: 5 * time.Millisecond, Answers: 2, Runs: 1},
	{Streams: 100, TokenInterval: 20 * time.Millisecond, Answers: 2, Runs: 2},
	{Streams: 1000, TokenInterval: 69 * time.Millisecond, Answers: 1, Runs: 1},
}

func main() {
	streams := flag.Int("streams", 0, "measure only the case with this `number` of streams; 0 measures all")
	answers := flag.Int("answers", 0, "`number` of answers for each stream; 0 leaves it to the case")
	runs := flag.Int("runs", 0, "`number` of runs of each case; 0 leaves it to the case")
	flag.Parse()
	chosen := choose(*streams, *answers, *runs)
	if len(chosen) == 0 {
		fmt.Fprintf(os.Stderr, "no case has %d streams; choose among 1, 100 and 1000\n", *streams)
		os.Exit(2)
	}
	if err := cost.Run(context.Background(), os.Stdout, ".", chosen); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// choose returns the cases with a number of streams, changed as the flags say.
func choose(streams, answers, runs int) []cost.Case {
	var chosen []cost.Case
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
		chosen = append(chosen, c)
	}
	return chosen
}
