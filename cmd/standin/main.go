// Command standin runs stand-ins for the systems around the gateway: the platform,
// model engines and plain services. They serve tests, the demonstration and experiments,
// and keep all their data in memory. It also generates load and checks the responses.
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
	subcommands.Register(&standInCommand{kind: kindPlatform}, "stand-ins")
	subcommands.Register(&standInCommand{kind: kindEngine}, "stand-ins")
	subcommands.Register(&standInCommand{kind: kindService}, "stand-ins")
	subcommands.Register(&allCommand{}, "stand-ins")
	subcommands.Register(&loadCommand{}, "load")
	flag.Parse()
	// net/http logs errors to the standard logger.
	log.SetFlags(0)
	log.SetOutput(newLogger())
	os.Exit(int(subcommands.Execute(context.Background())))
}
