package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func item(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Data: []byte(fmt.Sprint(revision))}
}

func keys(items []Item) []string {
	list := make([]string, 0, len(items))
	for _, i := range items {
		name := fmt.Sprintf("%s@%d", i.Key, i.Revision)
		if i.Removed {
			name = "-" + name
		}
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// The revision of a value only increases, whichever way changes arrive.
func TestRevisionsOnlyIncrease(t *testing.T) {
	var m Mirror
	steps := []struct {
		name string
		do   func() []Item
		want []string
	}{
		{"first listing", func() []Item { return m.Replace([]Item{item("a", 3), item("b", 5)}, 6) }, []string{"a@3", "b@5"}},
		{"late event", func() []Item { return m.Apply([]Item{item("b", 4)}, 4) }, nil},
		{"newer event", func() []Item { return m.Apply([]Item{item("b", 8)}, 8) }, []string{"b@8"}},
		{"older listing without a key", func() []Item { return m.Replace([]Item{item("b", 5)}, 7) }, nil},
		{"removal", func() []Item { return m.Apply([]Item{{Key: "a", Revision: 9, Removed: true}}, 9) }, []string{"-a@9"}},
		{"older listing that still has it", func() []Item { return m.Replace([]Item{item("a", 3), item("b", 8)}, 8) }, nil},
		{"listing without a key", func() []Item { return m.Replace([]Item{item("c", 11)}, 12) }, []string{"-b@12", "c@11"}},
		{"the key again", func() []Item { return m.Apply([]Item{item("a", 13)}, 13) }, []string{"a@13"}},
	}
	for _, step := range steps {
		if got := keys(step.do()); !slices.Equal(got, step.want) {
			t.Fatalf("%s: %v, not %v", step.name, got, step.want)
		}
	}
	if m.Revision() != 13 {
		t.Errorf("revision %d", m.Revision())
	}
}

// A mirror that is updated by the platform and by peers, late and out of order, ends with
// the newest state and never goes back on the way.
func TestConvergesInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		var history []Item
		for r := uint64(1); r <= 60; r++ {
			key := string(rune('a' + random.IntN(6)))
			history = append(history, Item{Key: key, Revision: r, Removed: random.IntN(4) == 0})
		}
		var m Mirror
		seen := map[string]uint64{}
		record := func(changes []Item) {
			for _, c := range changes {
				if c.Revision < seen[c.Key] {
					t.Fatalf("seed %d: %s went back from %d to %d", seed, c.Key, seen[c.Key], c.Revision)
				}
				seen[c.Key] = c.Revision
			}
		}
		for range 200 {
			upTo := random.IntN(len(history)) + 1
			if random.IntN(2) == 0 {
				record(m.Replace(stateAt(history[:upTo]), uint64(upTo)))
				continue
			}
			from := random.IntN(upTo)
			if uint64(from) > m.Revision() {
				continue
			}
			record(m.Apply(history[from:upTo], uint64(upTo)))
		}
		record(m.Replace(stateAt(history), uint64(len(history))))
		if got, want := keys(m.Items()), keys(stateAt(history)); !slices.Equal(got, want) {
			t.Fatalf("seed %d: %v, not %v", seed, got, want)
		}
	}
}

func stateAt(history []Item) []Item {
	latest := map[string]Item{}
	for _, i := range history {
		latest[i.Key] = i
	}
	var list []Item
	for _, i := range latest {
		if !i.Removed {
			list = append(list, i)
		}
	}
	return list
}

// TestReturnFromOlderCopy guards against states that are never taken because the store came
// back from an older copy and gives their revisions out again, and against states of the
// lost era that are taken after the return.
func TestReturnFromOlderCopy(t *testing.T) {
	at := func(era, number uint64) uint64 {
		r, err := NewRevision(era, number)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	value := func(key, data string, revision uint64) Item {
		return Item{Key: key, Revision: revision, Data: []byte(data)}
	}
	var m Mirror
	m.Replace([]Item{value("same", "x", at(1, 50)), value("changed", "new", at(1, 95)), value("lost", "x", at(1, 98))}, at(1, 100))
	steps := []struct {
		name string
		do   func() []Item
		want []string
	}{
		{"the copy", func() []Item {
			return m.Replace([]Item{value("same", "x", at(2, 50)), value("changed", "old", at(2, 80))}, at(2, 86))
		}, []string{"changed=old", "-lost"}},
		{"a revision that is given out again", func() []Item {
			return m.Apply([]Item{value("changed", "other", at(2, 95))}, at(2, 95))
		}, []string{"changed=other"}},
		{"a late listing of the lost era", func() []Item {
			return m.Replace([]Item{value("changed", "new", at(1, 95)), value("lost", "x", at(1, 98))}, at(1, 101))
		}, nil},
		{"a late change of the lost era", func() []Item {
			return m.Apply([]Item{value("changed", "newer", at(1, 120))}, at(1, 120))
		}, nil},
		{"a late change of the lost era to a key that wasn't held", func() []Item {
			return m.Apply([]Item{value("unheard", "x", at(1, 121))}, at(1, 121))
		}, nil},
		{"the next return", func() []Item {
			return m.Replace([]Item{value("same", "x", at(3, 50))}, at(3, 60))
		}, []string{"-changed"}},
	}
	for _, step := range steps {
		var got []string
		for _, i := range step.do() {
			text := "-" + i.Key
			if !i.Removed {
				text = i.Key + "=" + string(i.Data)
			}
			got = append(got, text)
		}
		slices.Sort(got)
		slices.Sort(step.want)
		if !slices.Equal(got, step.want) {
			t.Errorf("%s: %v, not %v", step.name, got, step.want)
		}
	}
}

// Revisions are ordered by era first; numbers that don't fit are refused.
func TestRevisionOrder(t *testing.T) {
	first, _ := NewRevision(1, maxNumber)
	second, _ := NewRevision(2, 1)
	if first >= second {
		t.Error("a new era doesn't follow the one before")
	}
	if era, number := SplitRevision(first); era != 1 || number != maxNumber {
		t.Errorf("era %d, number %d", era, number)
	}
	for _, r := range [][2]uint64{{maxEra + 1, 1}, {1, maxNumber + 1}} {
		if _, err := NewRevision(r[0], r[1]); err == nil {
			t.Errorf("%d in era %d", r[1], r[0])
		}
	}
}
