package table_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// init fixes the seed of the property tests; the flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func manifest(revision, base ident.Revision, note string) table.Manifest {
	return table.Manifest{Revision: revision, Base: base, Note: note}
}

func TestCompare(t *testing.T) {
	active := manifest(5, 4, "ann").Version()
	for _, c := range []struct {
		name    string
		active  table.Version
		offered table.Manifest
		want    table.Verdict
	}{
		{"the first table", table.Version{}, manifest(1, 0, ""), table.Newer},
		{"the next", active, manifest(6, 5, ""), table.Newer},
		{"a later one after a partition", active, manifest(9, 8, ""), table.Newer},
		{"itself again", active, manifest(5, 4, "ann"), table.Same},
		{"an older one from a stale platform", active, manifest(4, 3, ""), table.Older},
		{"a conflicting one with the same revision", active, manifest(5, 4, "bob"), table.Conflict},
		{"one that skips revisions after its base", active, manifest(9, 5, ""), table.BadBase},
		{"a base above its revision", active, manifest(6, 9, ""), table.BadBase},
		{"no revision", active, manifest(0, 0, ""), table.BadBase},
		{"the largest base, which must not wrap to 0", table.Version{}, manifest(0, ^ident.Revision(0), ""), table.BadBase},
	} {
		if got := c.offered.Compare(c.active); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// instance is an instance that learns of tables only through offered manifests.
type instance struct {
	active    table.Version
	conflicts int
}

func (h *instance) offer(m table.Manifest) {
	switch m.Compare(h.active) {
	case table.Newer:
		h.active = m.Version()
	case table.Conflict:
		h.conflicts++
	}
}

// TestCompareInAnyOrder offers the same manifests, including conflicting and
// rolled back ones, to several instances in different orders and each manifest
// twice. The revision must never decrease, and all must end at the same one.
func TestCompareInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		published := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) table.Manifest {
			base := ident.Revision(rapid.IntRange(0, 6).Draw(rt, "base"))
			note := rapid.SampledFrom([]string{"ann", "bob"}).Draw(rt, "note")
			return manifest(base+1, base, note)
		}), 1, 12).Draw(rt, "published")
		var last table.Manifest
		for _, m := range published {
			if m.Revision > last.Revision {
				last = m
			}
		}
		// The next revision resolves every conflict.
		resolved := manifest(last.Revision+1, last.Revision, "settled")
		for i := range 3 {
			var h instance
			order := rapid.Permutation(append(published, published...)).Draw(rt, fmt.Sprint("order", i))
			for _, m := range order {
				before := h.active
				h.offer(m)
				if h.active.Revision < before.Revision {
					rt.Fatalf("revision decreased from %s to %s", before, h.active)
				}
				if h.active.Revision == before.Revision && h.active != before {
					rt.Fatalf("changed from %s to %s with the same revision", before, h.active)
				}
			}
			if h.active.Revision != last.Revision {
				rt.Fatalf("ended at %s, not at revision %d", h.active, last.Revision)
			}
			h.offer(resolved)
			if h.active != resolved.Version() {
				rt.Fatalf("conflict was not resolved: %s", h.active)
			}
		}
	})
}

// TestRollback checks that publishing the rows of an earlier revision as a new
// revision restores them, and that the earlier revision itself is not accepted.
func TestRollback(t *testing.T) {
	old := parse("")
	changed := parse("policy.csv\nsetting,value\nobjective,latency\n")
	var h instance
	var tables []*table.Table
	for i, sheets := range [][]table.Sheet{old, changed, old} {
		m, pages := publish(ident.Revision(i), "", sheets)
		h.offer(m)
		built, err := table.Build(m, pages)
		if err != nil || h.active != m.Version() || built.Version() != m.Version() {
			t.Fatalf("revision %d is not active: %s, %v", m.Revision, h.active, err)
		}
		tables = append(tables, built)
	}
	if tables[2].Policy().Objective != table.Cost || len(table.Diff(tables[0], tables[2])) != 0 {
		t.Error("the rows differ after the rollback")
	}
	first, _ := publish(0, "", old)
	h.offer(first)
	if h.active != tables[2].Version() {
		t.Error("the first revision was accepted again")
	}
}
