package mirror

import (
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
)

// Group is a set of keys that is read and watched together.
type Group uint8

const (
	// OperatorGroup holds what operators set.
	OperatorGroup Group = iota
	// UpstreamsGroup is the list of upstreams.
	UpstreamsGroup
	// GroupCount is the number of groups.
	GroupCount
)

var groupNames = [...]string{"operator", "upstreams"}

// String returns the kebab-case name of the group.
func (g Group) String() string {
	if g < GroupCount {
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

// ConfigUpdated brings a config in force.
type ConfigUpdated struct{ Config *spec.Config }

// UpstreamUpdated lists an upstream, or changes what it says of itself.
type UpstreamUpdated struct{ Upstream pool.Upstream }

// UpstreamRemoved takes an upstream off the list.
type UpstreamRemoved struct{ ID ident.Upstream }

// ZoneEvacuated stops new work to a zone.
type ZoneEvacuated struct{ Zone ident.Zone }

// ZoneRestored takes a zone back.
type ZoneRestored struct{ Zone ident.Zone }

// Ignored is a value that means nothing here.
type Ignored struct{}

func (ConfigUpdated) isChange()   {}
func (UpstreamUpdated) isChange() {}
func (UpstreamRemoved) isChange() {}
func (ZoneEvacuated) isChange()   {}
func (ZoneRestored) isChange()    {}
func (Ignored) isChange()         {}

// Decoder reads published values.
type Decoder interface {
	// Decode says what a value or its removal means. The error names the field that
	// can't be read.
	Decode(i Item) (Change, error)
}
