package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

func Example() {
	now := time.Unix(0, 0)
	owner := ident.Incarnation{Instance: "entry-west-1", Start: 0xc0ffee}
	records := dedup.NewRecords(owner, now, dedup.Limits{})

	key, err := dedup.ParseKey(records.KeyPrefix(now) + "museum-slot-41")
	if err != nil {
		fmt.Println(err)
	}
	try := dedup.Call{Key: key, Workspace: "family-trip", Fingerprint: dedup.FingerprintOf("family-trip", "POST", "/slots", []byte("2 seats"))}
	fmt.Printf("first try: %T\n", records.Begin(now, try))
	fmt.Printf("second try: %T\n", records.Begin(now, try))
	records.End(now, key, dedup.Answer{Outcome: result.Done, Status: 201, Body: []byte("booked")})
	if d, ok := records.Begin(now, try).(dedup.Replay); ok {
		fmt.Printf("third try: %d %s\n", d.Answer.Status, d.Answer.Body)
	}
	// Output:
	// first try: dedup.Run
	// second try: dedup.Join
	// third try: 201 booked
}

func FuzzParseKey(f *testing.F) {
	f.Add("entry-west-1~00c0ffee00c0ffee.7.x1Yz")
	f.Add("entry~00c0ffee00c0ffee.007.x")
	f.Add("entry~00c0ffee00c0ffee.4294967296.x")
	f.Add("entry~00c0ffee00c0ffee.1.")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := dedup.ParseKey(text)
		if err == nil && (key.String() != text || len(text) > dedup.MaxKeyLength || key.Owner.IsZero()) {
			t.Fatalf("%q was read as %+v", text, key)
		}
	})
}
