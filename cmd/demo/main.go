// Command demo walks through the main job of the system; see "make demo".
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
