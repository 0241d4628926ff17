package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestBatch(t *testing.T) {
	var b batch
	var names map[*sequence]string
	datadriven.RunTest(t, "testdata/batch", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "batch":
			b, names = batch{}, map[*sequence]string{}
			d.ScanArgs(t, "slots", &b.slots)
			d.ScanArgs(t, "chunk", &b.chunk)
		case "add":
			priority, prompt, tokens := 0, 0, 1
			d.MaybeScanArgs(t, "priority", &priority)
			d.MaybeScanArgs(t, "prompt", &prompt)
			d.MaybeScanArgs(t, "tokens", &tokens)
			s := newSequence(priority, prompt, tokens)
			names[s] = d.CmdArgs[0].Key
			b.add(s)
		case "remove":
			for s, name := range names {
				if name == d.CmdArgs[0].Key {
					b.remove(s)
				}
			}
		case "step":
			b.admit()
			before := make([]string, len(b.running))
			for i, s := range b.running {
				before[i] = names[s]
			}
			prefilled := b.prefill()
			b.finish(d.HasArg("whole"))
			return fmt.Sprintf("ran %s, prefilled %d; left %s, tokens %d\n", strings.Join(before, " "), prefilled, describe(&b, names), b.tokens)
		}
		return describe(&b, names) + "\n"
	})
}

// describe returns the running sequences, with their tokens, and the number of
// waiting ones.
func describe(b *batch, names map[*sequence]string) string {
	var list []string
	for _, s := range b.running {
		list = append(list, fmt.Sprintf("%s=%d/%d", names[s], s.generated.Load(), s.wanted))
	}
	return fmt.Sprintf("running [%s] waiting %d", strings.Join(list, " "), len(b.waiting))
}
