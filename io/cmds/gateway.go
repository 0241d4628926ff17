package cmds

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"arbutustrestle/io/config"
	"arbutustrestle/io/daemon"
)

// GatewayCommand runs an entry instance that serves by published routes.
type GatewayCommand struct {
	// Adapter is how the outside is spoken to.
	Adapter daemon.Adapter
}

// Name returns the name of the command.
func (*GatewayCommand) Name() string { return "gateway" }

// Synopsis returns what the command does, in a line.
func (*GatewayCommand) Synopsis() string { return "run an entry instance by published routes" }

// Usage returns the command's page.
func (*GatewayCommand) Usage() string {
	return `gateway SETTINGS.ini
  Runs an entry instance on a platform that publishes routes, until SIGTERM or
  SIGINT, then finishes what runs and exits with 0. SIGHUP, or a change
  of the file, has the settings read again. Settings that fail their checks end it
  with 1 before it listens. Logs JSON lines on stdout.
`
}

// SetFlags registers no flags.
func (*GatewayCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the instance.
func (c *GatewayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("gateway needs one settings file, such as examples/gateway/west-eu-1.ini")
	}
	settings, err := config.ReadGateway(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	if err := daemon.RunGateway(f.Arg(0), settings, c.Adapter, os.Stdout); err != nil {
		return fail(err)
	}
	return ExitDone
}
