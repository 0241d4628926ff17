package ident

import "testing"

func TestParseIncarnation(t *testing.T) {
	want := Incarnation{Instance: "entry-west-1", Start: 0xc0ffee}
	got, err := ParseIncarnation(want.String())
	if err != nil || got != want {
		t.Fatalf("got %v, %v; want %v", got, err, want)
	}
	for _, text := range []string{"", "entry", "entry~", "~00c0ffee00c0ffee", "Entry~00c0ffee00c0ffee", "entry~00C0FFEE00C0FFEE", "entry~+0c0ffee00c0ffee"} {
		if _, err := ParseIncarnation(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
