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

// entryCommand queries which instances the callers of a workspace should use.
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
  Queries an entry instance from the platform's directory for the instances that
  the callers of a workspace should use, and prints the best first. Exits with 1
  when none answers, or none may serve the workspace.
`
}

// SetFlags registers the flags.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "`address` of the platform, such as 127.0.0.1:7001")
	f.StringVar(&c.workspace, "workspace", "", "`name` of the workspace")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// entryReply is the reply of an entry instance.
type entryReply struct {
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

// Execute queries the instances and prints the reply.
func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	address, err := netip.ParseAddrPort(c.platform)
	if err != nil || c.workspace == "" || f.NArg() != 0 {
		return usage("entry needs -platform ADDRESS and -workspace NAME")
	}
	client := source.NewClient(address)
	defer client.Close()
	found, err := queryEntries(ctx, client, c.workspace)
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

// queryEntries queries the instances of the directory one after the other, until one
// replies without an error.
func queryEntries(ctx context.Context, client *source.Client, workspace string) (entryReply, error) {
	addresses, err := client.Directory(ctx)
	if err != nil {
		return entryReply{}, errors.Trace(err)
	}
	lastErr := errors.NotFoundf("an entry instance in the platform's directory")
	for _, address := range addresses {
		var found entryReply
		query := url.Values{"workspace": {workspace}}
		lastErr = getJSON(ctx, "http://"+address.String()+"/v1/entry?"+query.Encode(), &found)
		if lastErr == nil {
			return found, nil
		}
	}
	return entryReply{}, errors.Trace(lastErr)
}
