package table

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestTablePageListsSettings checks that the operators' page documents every
// setting with its default and every column.
func TestTablePageListsSettings(t *testing.T) {
	data, err := os.ReadFile("../../docs/TABLE.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, s := range settings {
		_, row, _ := strings.Cut(page, "\n| `"+s.name+"` |")
		row, _, _ = strings.Cut(row, "\n")
		if !strings.HasSuffix(row, fmt.Sprintf("| %s |", s.defaultValue)) {
			t.Errorf("%s with its default %s is not on the page, found %q", s.name, s.defaultValue, row)
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
