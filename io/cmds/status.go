package cmds

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/list"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
	"arbutustrestle/io/admin"
	"arbutustrestle/io/source"
)

// statusCommand shows the active table of every listed instance.
type statusCommand struct {
	out      io.Writer
	platform string
	wait     time.Duration
	json     bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the active table of every instance" }
func (*statusCommand) Usage() string {
	return `status -platform ADDRESS [-wait DURATION] [-json]
  Reads the platform's list of instances, queries each of them, and reports whether
  the published table is accepted: active, with the same digest, on all of them.
  With -wait it repeats this until the table is accepted, or the time is over.
  Exits with 1 when the table is not accepted.
`
}

// SetFlags registers the flags.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "`address` of the platform, such as 127.0.0.1:7001")
	f.DurationVar(&c.wait, "wait", 0, "how long to wait until the table is accepted")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// statusReport is the result of the status command.
type statusReport struct {
	Accepted          bool          `json:"accepted"`
	PublishedRevision uint64        `json:"published-revision"`
	PublishedDigest   string        `json:"published-digest"`
	Instances         []instanceRow `json:"instances"`
}

// instanceRow is the status of one listed instance.
type instanceRow struct {
	Instance  string `json:"instance"`
	Confirmed bool   `json:"confirmed"`
	// Problem is the reason why the table is not confirmed; empty when it is.
	Problem string        `json:"problem,omitempty"`
	Status  *admin.Status `json:"status,omitempty"`
}

// pollInterval is the time between two rounds of queries while waiting.
const pollInterval = 200 * time.Millisecond

// Execute prints the status of all listed instances.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	address, err := netip.ParseAddrPort(c.platform)
	if err != nil || f.NArg() != 0 {
		return usage("status needs -platform ADDRESS, such as -platform 127.0.0.1:7001")
	}
	client := source.NewClient(address)
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, c.wait+requestTimeout)
	defer cancel()
	until := time.Now().Add(c.wait)
	for {
		found, err := collectStatus(ctx, client)
		last := !time.Now().Before(until)
		switch {
		case err != nil && last:
			return fail(err)
		case err == nil && (found.Accepted || last):
			c.print(found)
			return exitStatus(found)
		}
		time.Sleep(pollInterval)
	}
}

func exitStatus(r statusReport) subcommands.ExitStatus {
	if r.Accepted {
		return ExitDone
	}
	return ExitFailed
}

// collectStatus reads the published table and the list of instances from the platform, and
// queries each instance once.
func collectStatus(ctx context.Context, client *source.Client) (statusReport, error) {
	published, err := readManifest(ctx, client)
	if err != nil {
		return statusReport{}, errors.Trace(err)
	}
	entries, err := readEntries(ctx, client)
	if err != nil {
		return statusReport{}, errors.Trace(err)
	}
	r := statusReport{
		PublishedRevision: uint64(published.Revision),
		PublishedDigest:   string(published.Digest),
		Instances:         make([]instanceRow, len(entries)),
	}
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { r.Instances[i] = checkInstance(ctx, e, published) })
	}
	wg.Wait()
	slices.SortFunc(r.Instances, func(a, b instanceRow) int { return cmp.Compare(a.Instance, b.Instance) })
	r.Accepted = len(entries) > 0 && !slices.ContainsFunc(r.Instances, func(i instanceRow) bool { return !i.Confirmed })
	return r, nil
}

// Unconfirmed returns the published table revision, and the listed instances that have not
// confirmed it, each with the reason.
func Unconfirmed(ctx context.Context, platform netip.AddrPort) (ident.Revision, []string, error) {
	client := source.NewClient(platform)
	defer client.Close()
	found, err := collectStatus(ctx, client)
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	var unconfirmed []string
	for _, i := range found.Instances {
		if !i.Confirmed {
			unconfirmed = append(unconfirmed, i.Instance+" "+i.Problem)
		}
	}
	if !found.Accepted && len(unconfirmed) == 0 {
		unconfirmed = append(unconfirmed, "no instance is listed")
	}
	return ident.Revision(found.PublishedRevision), unconfirmed, nil
}

func checkInstance(ctx context.Context, e member.Entry, published table.Version) instanceRow {
	row := instanceRow{Instance: string(e.ID)}
	s, err := FetchStatus(ctx, e.Admin)
	if err != nil {
		row.Problem = "does not answer at " + e.Admin.String()
		return row
	}
	row.Status = &s
	row.Problem = unconfirmedReason(e, s, published)
	row.Confirmed = row.Problem == ""
	return row
}

// unconfirmedReason returns why an instance's status does not confirm the published table,
// or an empty string when it does.
func unconfirmedReason(e member.Entry, s admin.Status, published table.Version) string {
	switch {
	case s.Instance != e.ID:
		return fmt.Sprintf("%s answers at its address", s.Instance)
	case s.TableRevision == published.Revision && s.TableDigest == string(published.Digest):
		return ""
	case s.Rejected == published.Revision && s.RejectionReason != "":
		return "refused the published table: " + s.RejectionReason
	case s.TableRevision == published.Revision:
		return "has another table with this number in force: two operators published at once; publish the next number"
	case s.TableRevision > published.Revision:
		return fmt.Sprintf("has revision %d in force, newer than what the platform shows", s.TableRevision)
	default:
		return fmt.Sprintf("still has revision %d in force", s.TableRevision)
	}
}

func readManifest(ctx context.Context, client *source.Client) (table.Version, error) {
	body, err := readValue(ctx, client, fetch.ManifestKey)
	if err != nil {
		return table.Version{}, errors.Trace(err)
	}
	m, err := table.ParseManifest(body)
	if err != nil {
		return table.Version{}, errors.Annotate(err, "the published manifest")
	}
	return m.Version(), nil
}

func readEntries(ctx context.Context, client *source.Client) ([]member.Entry, error) {
	body, err := readValue(ctx, client, fetch.EntriesKey)
	if err != nil {
		return nil, errors.Trace(err)
	}
	entries, err := list.ParseEntries(body)
	return entries, errors.Trace(err)
}

func readValue(ctx context.Context, client *source.Client, key fetch.Key) ([]byte, error) {
	reply, err := client.Read(ctx, string(key), 0, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	switch r := reply.(type) {
	case source.Found:
		return r.Value.Body, nil
	case source.RateLimited:
		return nil, errors.Errorf("the platform rate-limited the read of %s; try again in %s", key, r.RetryAfter)
	default:
		return nil, errors.NotFoundf("%s on the platform", key)
	}
}

func (c *statusCommand) print(r statusReport) {
	if c.json {
		printJSON(c.out, r)
		return
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "instance\tregion\tphase\trevision\tversion\tincarnation\tin-flight\tconfirmed")
	for _, i := range r.Instances {
		if i.Status == nil {
			_, _ = fmt.Fprintf(w, "%s\t\t\t\t\t\t\tno: %s\n", i.Instance, i.Problem)
			continue
		}
		confirmed := "yes"
		if !i.Confirmed {
			confirmed = "no: " + i.Problem
		}
		s := i.Status
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n",
			i.Instance, s.Region, s.Phase, s.TableRevision, s.Version, s.Incarnation, s.InFlight, confirmed)
	}
	_ = w.Flush()
	verdict := "not accepted"
	if r.Accepted {
		verdict = "accepted"
	}
	_, _ = fmt.Fprintf(c.out, "published table %d (%s): %s\n", r.PublishedRevision, r.PublishedDigest, verdict)
}
