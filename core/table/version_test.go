package table_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// init fixes the seed of the property tests; the flag of that name overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func manifest(revision, base ident.Revision, note string) table.Manifest {
	return table.Manifest{Revision: revision, Base: base, Note: note}
}

func TestSucceeds(t *testing.T) {
	inForce := manifest(5, 4, "ann").Version()
	for _, c := range []struct {
		name    string
		inForce table.Version
		offered table.Manifest
		want    table.Verdict
	}{
		{"the first table", table.Version{}, manifest(1, 0, ""), table.Newer},
		{"the next", inForce, manifest(6, 5, ""), table.Newer},
		{"one after a cut that hid others", inForce, manifest(9, 8, ""), table.Newer},
		{"itself again", inForce, manifest(5, 4, "ann"), table.Same},
		{"a stale platform", inForce, manifest(4, 3, ""), table.Older},
		{"another operator with the same number", inForce, manifest(5, 4, "bob"), table.Conflict},
		{"an operator who overwrites what came between", inForce, manifest(9, 5, ""), table.BadBase},
		{"a base above its revision", inForce, manifest(6, 9, ""), table.BadBase},
		{"no revision", inForce, manifest(0, 0, ""), table.BadBase},
		{"the largest base, which must not wrap to 0", table.Version{}, manifest(0, ^ident.Revision(0), ""), table.BadBase},
	} {
		if got := c.offered.Compare(c.inForce); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// holder is an instance that knows of the table only what it was offered.
type holder struct {
	inForce   table.Version
	conflicts int
}

func (h *holder) offer(m table.Manifest) {
	switch m.Compare(h.inForce) {
	case table.Newer:
		h.inForce = m.Version()
	case table.Conflict:
		h.conflicts++
	}
}

// TestAnyOrder offers the same manifests, conflicting and rolled back ones among
// them, to several instances in orders of their own, some of them several times.
func TestAnyOrder(t *testing.T) {
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
		// The next revision settles every conflict.
		settled := manifest(last.Revision+1, last.Revision, "settled")
		for i := range 3 {
			var h holder
			order := rapid.Permutation(append(published, published...)).Draw(rt, fmt.Sprint("order", i))
			for _, m := range order {
				before := h.inForce
				h.offer(m)
				if h.inForce.Revision < before.Revision {
					rt.Fatalf("fell from %s to %s", before, h.inForce)
				}
				if h.inForce.Revision == before.Revision && h.inForce != before {
					rt.Fatalf("changed from %s to %s under one number", before, h.inForce)
				}
			}
			if h.inForce.Revision != last.Revision {
				rt.Fatalf("ended at %s, not at revision %d", h.inForce, last.Revision)
			}
			h.offer(settled)
			if h.inForce != settled.Version() {
				rt.Fatalf("the conflict was not settled: %s", h.inForce)
			}
		}
	})
}

// TestRollback publishes the rows of an earlier revision as a new one.
func TestRollback(t *testing.T) {
	old := parse("")
	changed := parse("policy.csv\nsetting,value\nobjective,latency\n")
	var h holder
	var tables []*table.Table
	for i, sheets := range [][]table.Sheet{old, changed, old} {
		m, pages := publish(ident.Revision(i), "", sheets)
		h.offer(m)
		built, err := table.Build(m, pages)
		if err != nil || h.inForce != m.Version() || built.Version() != m.Version() {
			t.Fatalf("revision %d is not in force: %s, %v", m.Revision, h.inForce, err)
		}
		tables = append(tables, built)
	}
	if tables[2].Policy().Objective != table.Cost || len(table.Diff(tables[0], tables[2])) != 0 {
		t.Error("the rollback has other rows")
	}
	first, _ := publish(0, "", old)
	h.offer(first)
	if h.inForce != tables[2].Version() {
		t.Error("the first revision came back")
	}
}
