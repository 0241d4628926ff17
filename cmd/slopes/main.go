// Command slopes reads the output of Go benchmarks on its standard input, passes it
// on, and prints how each figure grows with the size; see "make bench".
package main

import (
	"fmt"
	"io"
	"os"

	"arbutustrestle/io/slopes"
)

func main() {
	read, err := slopes.Read(io.TeeReader(os.Stdin, os.Stdout))
	if err == nil {
		fmt.Println()
		err = slopes.Print(os.Stdout, read)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
