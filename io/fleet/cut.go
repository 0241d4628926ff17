package fleet

import (
	"bytes"

	"arbutustrestle/core/ident"
)

// CutEntries cuts or restores the network between two instances, separately for each
// direction: from the first to the second, and back. It requires a plan with relays.
func (f *Fleet) CutEntries(from, to *Entry, there, back bool) {
	to.PeerRelay.CutFrom(string(from.Plan.ID), there, back)
	from.PeerRelay.CutFrom(string(to.Plan.ID), back, there)
}

// CutRegions cuts or restores the network between the instances of two regions.
func (f *Fleet) CutRegions(a, b ident.Region, cut bool) {
	for _, from := range f.Entries {
		for _, to := range f.Entries {
			if from.Plan.Region == a && to.Plan.Region == b {
				f.CutEntries(from, to, cut, cut)
			}
		}
	}
}

// CutPlatform cuts or restores the network between the instances of a region and the
// platform.
func (f *Fleet) CutPlatform(region ident.Region, cut bool) {
	for _, e := range f.Entries {
		if e.Plan.Region == region {
			e.PlatformRelay.Cut(cut, cut)
		}
	}
}

// senderOf returns the instance that opened a connection, identified by the first bytes
// that it sent: the hello contains its incarnation, such as
// "entry-west-eu-1~7a936f1013f6263d". It returns the empty string until the name has
// arrived.
func (f *Fleet) senderOf(first []byte) string {
	sender := ""
	for _, e := range f.plan.Entries {
		name := string(e.ID)
		if len(name) > len(sender) && bytes.Contains(first, []byte(name+"~")) {
			sender = name
		}
	}
	return sender
}
