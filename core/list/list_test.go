package list

import "testing"

// FuzzLists parses bytes as both lists: a list is accepted only with valid rows, or
// rejected as a whole.
func FuzzLists(f *testing.F) {
	f.Add([]byte(`[{"id":"west-1","zone":"z","region":"r","peer":"127.0.0.1:1","caller":"127.0.0.1:2","admin":"127.0.0.1:3","state":"live"}]`))
	f.Add([]byte(`[{"id":"e-1","pool":"p","zone":"z","address":"[::1]:80","state":"leaving"},{}]`))
	f.Add([]byte(`[{"id":"e-1","pool":"p","zone":"z","address":"127.0.0.1:80","state":"gone"}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, err := ParseEntries(data)
		for _, e := range entries {
			if err != nil || e.ID == "" || e.Zone == "" || e.Region == "" || !e.Peer.IsValid() {
				t.Fatalf("got %+v from a list with the error %v", e, err)
			}
		}
		upstreams, err := ParseUpstreams(data)
		for _, u := range upstreams {
			if err != nil || u.ID == "" || u.Pool == "" || u.Zone == "" || !u.Address.IsValid() {
				t.Fatalf("got %+v from a list with the error %v", u, err)
			}
		}
	})
}
