// Command arbutustrestle runs an entry instance, and provides the commands for operators.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"arbutustrestle/io/cmds"
	"arbutustrestle/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range cmds.All() {
		subcommands.Register(c, "")
	}
	subcommands.Register(&cmds.GatewayCommand{Adapter: platform.Adapter{}}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
