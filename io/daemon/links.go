package daemon

// pendingLinkPart is the part of the descriptors that connections may take which haven't said yet that they
// are those of a peer.
const pendingLinkPart = 8

const (
	// linkPart is the part of the descriptors that links of peers may take.
	linkPart = 8
	// minLinks is the least number of links where that is bounded, more than the instances of a small installation.
	minLinks = 64
)

// maxLinks returns the number of links of peers that a number of descriptors allows; zero for the default.
func maxLinks(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(minLinks, descriptors/linkPart)
}
