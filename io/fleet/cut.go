package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"arbutustrestle/core/ident"
)

// CutEntries cuts or heals everything between two entries, in each direction
// separately: what goes from the first to the second, and back. It needs a plan
// with relays.
func (f *Fleet) CutEntries(from, to *Entry, there, back bool) {
	to.PeerRelay.CutFrom(string(from.Plan.ID), there, back)
	from.PeerRelay.CutFrom(string(to.Plan.ID), back, there)
}

// CutRegions cuts or heals everything between the entries of two regions.
func (f *Fleet) CutRegions(a, b ident.Region, cut bool) {
	for _, from := range f.Entries {
		for _, to := range f.Entries {
			if from.Plan.Region == a && to.Plan.Region == b {
				f.CutEntries(from, to, cut, cut)
			}
		}
	}
}

// CutPlatform cuts or heals everything between the entries of a region and the
// platform.
func (f *Fleet) CutPlatform(region ident.Region, cut bool) {
	for _, e := range f.Entries {
		if e.Plan.Region == region {
			e.PlatformRelay.Cut(cut, cut)
		}
	}
}

// processAt returns the name of the entry whose process holds the socket that is
// connected from one local port to another; empty when there is none.
func (f *Fleet) processAt(from, to uint16) string {
	inode := socketInode(from, to)
	if inode == "" {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, pid := range f.pids {
		if holds(pid, "socket:["+inode+"]") {
			return string(id)
		}
	}
	return ""
}

// socketInode returns the inode of the TCP socket between two loopback ports.
func socketInode(from, to uint16) string {
	data, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	// A line such as "0: 0100007F:9C40 0100007F:1F90 01 ... 0 0 123456 1 ...": the
	// second field is the local address, the third the other one, the tenth the inode.
	ends := fmt.Sprintf("0100007F:%04X 0100007F:%04X", from, to)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1]+" "+fields[2] == ends {
			return fields[9]
		}
	}
	return ""
}

// holds reports whether a process has a file open, by what its link says.
func holds(pid int, target string) bool {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		if name, err := os.Readlink(link); err == nil && name == target {
			return true
		}
	}
	return false
}
