package table

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestOperatorsPage finds every setting with its default and every column in the
// operators' page.
func TestOperatorsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/TABLE.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, s := range settings {
		_, row, _ := strings.Cut(page, "\n| `"+s.name+"` |")
		row, _, _ = strings.Cut(row, "\n")
		if !strings.HasSuffix(row, fmt.Sprintf("| %s |", s.initial)) {
			t.Errorf("%s with its default %s is not on the page, which says %q", s.name, s.initial, row)
		}
	}
	for _, l := range layouts {
		for _, column := range l.columns {
			if l.name != PolicySheet && !strings.Contains(page, "\n| "+column+" |") {
				t.Errorf("column %s of %s is not on the page", column, l.name)
			}
		}
	}
}
