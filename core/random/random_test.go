package random

import "testing"

// TestForInstance guards against instances that draw the same numbers, and so act together, and
// against draws that can't be repeated.
func TestForInstance(t *testing.T) {
	first, again, other := ForInstance("entry-1").Uint64(), ForInstance("entry-1").Uint64(), ForInstance("entry-2").Uint64()
	if first != again || first == other {
		t.Errorf("%d and %d for one instance, %d for another", first, again, other)
	}
}
