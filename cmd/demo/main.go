// Command demo runs the main functions of the system against stand-ins and checks the
// results. It is run by "make demo".
package main

import (
	"context"
	"os"

	"arbutustrestle/io/demo"
)

func main() {
	if !demo.Run(context.Background(), os.Stdout, ".") {
		os.Exit(1)
	}
}
