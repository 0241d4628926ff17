// Command slopes copies the output of Go benchmarks from standard input to standard
// output and then prints how each value grows with the size. It is run by "make bench".
package main

import (
	"fmt"
	"io"
	"os"

	"arbutustrestle/io/slopes"
)

func main() {
	fitted, err := slopes.Read(io.TeeReader(os.Stdin, os.Stdout))
	if err == nil {
		fmt.Println()
		err = slopes.Print(os.Stdout, fitted)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
