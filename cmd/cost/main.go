// Command cost measures what an entry instance costs for each streamed token; see
// "make cost".
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"arbutustrestle/io/cost"
)

func main() {
	cases := []cost.Case{
		{Streams: 1, Step: 5 * time.Millisecond, Runs: 1},
		{Streams: 100, Step: 20 * time.Millisecond, Runs: 3},
		{Streams: 1000, Step: 69 * time.Millisecond, Runs: 3},
	}
	if err := cost.Run(context.Background(), os.Stdout, ".", cases); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
