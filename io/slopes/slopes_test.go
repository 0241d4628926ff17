package slopes

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/slopes", func(t *testing.T, d *datadriven.TestData) string {
		fitted, err := Read(strings.NewReader(d.Input))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := Print(&out, fitted); err != nil {
			t.Fatal(err)
		}
		return out.String()
	})
}
