package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"arbutustrestle/io/source"
)

// entryCommand asks which entry a workspace's callers should use.
type entryCommand struct {
	out       io.Writer
	platform  string
	workspace string
	json      bool
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "ask which entry instance a caller should use" }
func (*entryCommand) Usage() string {
	return `entry -platform ADDRESS -workspace NAME [-json]
  Asks an entry instance from the platform's directory which entries the callers
  of a workspace should use, the best first. Exits with 1 when none answers, or
  none may serve the workspace.
`
}

// SetFlags registers the flags.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "`address` of the platform, such as 127.0.0.1:7001")
	f.StringVar(&c.workspace, "workspace", "", "`name` of the workspace")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// advice is the reply of an entry instance.
type advice struct {
	Workspace     string `json:"workspace"`
	TableRevision uint64 `json:"table-revision"`
	Entries       []struct {
		Instance    string         `json:"instance"`
		Incarnation string         `json:"incarnation"`
		Address     netip.AddrPort `json:"address"`
		Zone        string         `json:"zone"`
		Region      string         `json:"region"`
	} `json:"entries"`
	KeyPrefix string `json:"key-prefix,omitempty"`
}

// Execute asks.
func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	address, err := netip.ParseAddrPort(c.platform)
	if err != nil || c.workspace == "" || f.NArg() != 0 {
		return usage("entry needs -platform ADDRESS and -workspace NAME")
	}
	client := source.NewClient(address)
	defer client.Close()
	found, err := askDirectory(ctx, client, c.workspace)
	if err != nil {
		return fail(err)
	}
	if c.json {
		printJSON(c.out, found)
		return ExitDone
	}
	for _, e := range found.Entries {
		_, _ = fmt.Fprintf(c.out, "%s\t%s\t%s\t%s\n", e.Address, e.Instance, e.Zone, e.Region)
	}
	return ExitDone
}

// askDirectory asks the entries of the directory in turn, until one answers.
func askDirectory(ctx context.Context, client *source.Client, workspace string) (advice, error) {
	addresses, err := client.Directory(ctx)
	if err != nil {
		return advice{}, errors.Trace(err)
	}
	last := errors.NotFoundf("an entry instance in the platform's directory")
	for _, address := range addresses {
		var found advice
		query := url.Values{"workspace": {workspace}}
		last = get(ctx, "http://"+address.String()+"/v1/entry?"+query.Encode(), &found)
		if last == nil {
			return found, nil
		}
	}
	return advice{}, errors.Trace(last)
}
