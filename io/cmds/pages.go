package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/config"
)

// pagesCommand splits a table into the values to publish.
type pagesCommand struct {
	out    io.Writer
	table  string
	folder string
	base   uint64
	author string
	note   string
}

func (*pagesCommand) Name() string     { return "pages" }
func (*pagesCommand) Synopsis() string { return "split a table into the values to publish" }
func (*pagesCommand) Usage() string {
	return `pages -table FOLDER -out FOLDER -base REVISION [-author NAME] [-note TEXT]
  Checks a table and writes the values to publish under their keys: the pages,
  and the manifest with the revision after REVISION, which is the active one.
  Prints the keys in the order in which to publish them, the manifest last. It
  publishes nothing: that is done with the platform's own tools.
`
}

// SetFlags registers the flags.
func (c *pagesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.table, "table", "", "`folder` with the sheets of the table")
	f.StringVar(&c.folder, "out", "", "`folder` to write the values to")
	f.Uint64Var(&c.base, "base", 0, "active `revision` that the table was edited from; 0 for the first table")
	f.StringVar(&c.author, "author", "", "`name` of the author of the change")
	f.StringVar(&c.note, "note", "", "`text` that describes the change and its reason")
}

// Execute writes the values and prints their keys.
func (c *pagesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.table == "" || c.folder == "" || f.NArg() != 0 {
		return usage("pages needs -table FOLDER and -out FOLDER")
	}
	if err := c.write(); err != nil {
		return fail(err)
	}
	return ExitDone
}

func (c *pagesCommand) write() error {
	sheets, err := config.ReadSheets(c.table)
	if err != nil {
		return errors.Trace(err)
	}
	if _, faults := table.Check(sheets); len(faults) > 0 {
		return faults
	}
	pages := table.Split(sheets, table.PageBytes)
	for _, p := range pages {
		if err := c.writeValue(fetch.PageKey(p.Ref.Digest), p.Data); err != nil {
			return errors.Trace(err)
		}
	}
	manifest := table.NewManifest(ident.Revision(c.base), c.author, c.note, pages)
	return c.writeValue(fetch.ManifestKey, manifest.Encode())
}

func (c *pagesCommand) writeValue(key fetch.Key, data []byte) error {
	file := filepath.Join(c.folder, filepath.FromSlash(string(key)))
	if err := os.MkdirAll(filepath.Dir(file), 0o750); err != nil {
		return errors.Annotate(err, "write the values")
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Annotate(err, "write the values")
	}
	_, err := fmt.Fprintln(c.out, key)
	return errors.Trace(err)
}
