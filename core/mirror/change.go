package mirror

import (
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
)

// Group is a set of keys that is read and watched together.
type Group uint8

const (
	// OperatorGroup holds the settings that operators publish.
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

// ParseGroup parses a name that String returns.
func ParseGroup(text string) (Group, bool) {
	for i, name := range groupNames {
		if name == text {
			return Group(i), true
		}
	}
	return 0, false
}

// Change is the decoded meaning of a published value or its removal.
type Change interface{ isChange() }

// ConfigUpdated activates a config.
type ConfigUpdated struct{ Config *spec.Config }

// UpstreamUpdated adds an upstream to the list, or replaces its description.
type UpstreamUpdated struct{ Upstream pool.Upstream }

// UpstreamRemoved removes an upstream from the list.
type UpstreamRemoved struct{ ID ident.Upstream }

// ZoneEvacuated stops new requests to an availability zone.
type ZoneEvacuated struct{ Zone ident.Zone }

// ZoneRestored allows requests to an availability zone again.
type ZoneRestored struct{ Zone ident.Zone }

// Ignored is a value without meaning for this instance.
type Ignored struct{}

func (ConfigUpdated) isChange()   {}
func (UpstreamUpdated) isChange() {}
func (UpstreamRemoved) isChange() {}
func (ZoneEvacuated) isChange()   {}
func (ZoneRestored) isChange()    {}
func (Ignored) isChange()         {}

// Decoder decodes published values.
type Decoder interface {
	// Decode returns the meaning of a value or its removal. The error names the field
	// that couldn't be parsed.
	Decode(i Item) (Change, error)
}
