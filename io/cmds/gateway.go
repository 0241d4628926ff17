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
	// Adapter provides the protocols of the platform.
	Adapter daemon.Adapter
}

// Name returns the name of the command.
func (*GatewayCommand) Name() string { return "gateway" }

// Synopsis returns a summary of the command in one line.
func (*GatewayCommand) Synopsis() string { return "run an entry instance by published routes" }

// Usage returns the help text of the command.
func (*GatewayCommand) Usage() string {
	return `gateway SETTINGS.ini
  Runs an entry instance on a platform that publishes routes, until SIGTERM or
  SIGINT, then finishes the requests in flight and exits with 0. On SIGHUP, or when
  the file changes, the settings are read again. With invalid settings it exits
  with 1 before it listens. Logs JSON lines to stdout.
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
