package resume

import (
	"fmt"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// TestStreamOfWorkspace guards against a stream that another workspace resumes where it began,
// against a peer that was told of the stream taking it for another workspace's, and against
// streams without a workspace that nobody can resume.
func TestStreamOfWorkspace(t *testing.T) {
	var began, told Table
	began.BegunIn(start, "a", "one", first, true)
	began.BegunIn(start, "", "two", second, true)
	told.Learn(start, began.Report(start, always).Everywhere)
	for _, c := range []struct {
		name     string
		table    *Table
		resumes  string
		by       ident.Workspace
		origin   gossip.StreamOrigin
		expected Ownership
	}{
		{"its workspace", &began, "one", "a", first, OwnStream},
		{"another workspace", &began, "one", "b", gossip.StreamOrigin{}, ForeignStream},
		{"no workspace", &began, "one", "", gossip.StreamOrigin{}, ForeignStream},
		{"of no workspace", &began, "two", "a", second, OwnStream},
		{"of no workspace, by none", &began, "two", "", second, OwnStream},
		{"never began", &began, "three", "a", gossip.StreamOrigin{}, UnknownStream},
		{"its workspace, at a peer", &told, "one", "a", first, OwnStream},
		{"another workspace, at a peer", &told, "one", "b", gossip.StreamOrigin{}, UnknownStream},
		{"of no workspace, at a peer", &told, "two", "a", second, OwnStream},
	} {
		origin, ownership := c.table.LookupIn(c.by, c.resumes)
		if origin != c.origin || ownership != c.expected {
			t.Errorf("%s: %v, %d", c.name, origin, ownership)
		}
	}
}

// TestSameIDInWorkspaces guards against one workspace's stream being taken for another's because
// their callers chose the same request id.
func TestSameIDInWorkspaces(t *testing.T) {
	var table Table
	table.BegunIn(start, "a", "one", first, true)
	table.BegunIn(start, "b", "one", second, true)
	if origin, _ := table.LookupIn("a", "one"); origin != first {
		t.Errorf("a's stream began at %v", origin)
	}
	if origin, _ := table.LookupIn("b", "one"); origin != second {
		t.Errorf("b's stream began at %v", origin)
	}
}

// TestOwnStreamNeverForeign guards against an instance that has forgotten where a stream of the
// workspace began, but not that it was of one, and so takes it for another workspace's: both
// entries are tried at each place in a full table.
func TestOwnStreamNeverForeign(t *testing.T) {
	for before := range 3 {
		var table Table
		for i := range before {
			table.Begun(start, KeyOf(fmt.Sprint("before-", i)), first)
		}
		const streams = maxStreams*3/2 + 1
		for i := range streams {
			table.BegunIn(start.Add(time.Duration(i)), "a", fmt.Sprint(i), first, true)
		}
		for i := range streams {
			if _, ownership := table.LookupIn("a", fmt.Sprint(i)); ownership == ForeignStream {
				t.Fatalf("stream %d counts as foreign", i)
			}
		}
	}
}
