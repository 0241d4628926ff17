// Command standin runs stand-ins for the systems around the gateway: the
// platform, model engines and plain services. They are for tests, for the
// demonstration and for experiments; they keep everything in memory.
package main

import (
	"context"
	"flag"
	"log"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&unitCommand{kind: kindPlatform}, "stand-ins")
	subcommands.Register(&unitCommand{kind: kindEngine}, "stand-ins")
	subcommands.Register(&unitCommand{kind: kindService}, "stand-ins")
	subcommands.Register(&allCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "load")
	flag.Parse()
	// The HTTP library writes to the standard logger.
	log.SetFlags(0)
	log.SetOutput(newLogger())
	os.Exit(int(subcommands.Execute(context.Background())))
}
