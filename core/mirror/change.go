package mirror

import (
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
)

// Group is a set of keys that is read and watched together.
type Group uint8

const (
	// Operator holds what operators set.
	Operator Group = iota
	// Upstreams is the list of upstreams.
	Upstreams
	// Groups is the number of groups.
	Groups
)

var groupNames = [...]string{"operator", "upstreams"}

// String returns the kebab-case name of the group.
func (g Group) String() string {
	if g < Groups {
		return groupNames[g]
	}
	return "unknown"
}

// ParseGroup reads what String writes.
func ParseGroup(text string) (Group, bool) {
	for i, name := range groupNames {
		if name == text {
			return Group(i), true
		}
	}
	return 0, false
}

// Change is what a published value means.
type Change interface{ isChange() }

// ConfigSet brings a config in force.
type ConfigSet struct{ Config *spec.Config }

// UpstreamSet lists an upstream, or changes what it says of itself.
type UpstreamSet struct{ Listed pool.Listed }

// UpstreamGone takes an upstream off the list.
type UpstreamGone struct{ ID ident.Upstream }

// ZoneClosed stops new work to a zone.
type ZoneClosed struct{ Zone ident.Zone }

// ZoneOpened takes a zone back.
type ZoneOpened struct{ Zone ident.Zone }

// Ignored is a value that means nothing here.
type Ignored struct{}

func (ConfigSet) isChange()    {}
func (UpstreamSet) isChange()  {}
func (UpstreamGone) isChange() {}
func (ZoneClosed) isChange()   {}
func (ZoneOpened) isChange()   {}
func (Ignored) isChange()      {}

// Decoder reads published values.
type Decoder interface {
	// Decode says what a value or its removal means. The error names the field that
	// can't be read.
	Decode(i Item) (Change, error)
}
