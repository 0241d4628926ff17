// Package ident defines the identifiers that all packages share: names of
// instances, upstreams, regions, availability zones, workspaces and models, and
// the numbers of revisions and incarnations.
package ident

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Instance is the id of an entry instance in the platform's list, such as
// "entry-west-1".
type Instance string

// Upstream is the id of a model engine replica or a plain service replica in the
// platform's list.
type Upstream string

// Region is the name of a region, which consists of one or more availability
// zones.
type Region string

// Zone is the name of an availability zone. It is unique across all regions.
type Zone string

// Workspace is the name of a customer: one shared itinerary group or one member
// house.
type Workspace string

// Model is the public name of a model. A row of the table maps it to versions.
type Model string

// Version is one version of a model or of a plain service.
type Version string

// Service is the name of a plain service that requests are routed to.
type Service string

// Revision numbers the successive contents of one published value. The publisher
// assigns it and increases it with each change. Zero means that no revision has
// been seen yet.
type Revision uint64

// maxNameLength is the maximum length in bytes of a name received from outside
// the process.
const maxNameLength = 64

// ValidName reports whether a name is in kebab case, such as "west-eu-1", and has
// 1 to 64 bytes. Allowed are lower-case letters, digits and inner hyphens.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	if name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '-' {
			return false
		}
	}
	return true
}

// Incarnation identifies one run of an instance's process. Two runs of the same
// instance differ in Start, so the later run is never expected to hold the state
// of the earlier one.
type Incarnation struct {
	// Instance is a valid name unless the incarnation is the zero value.
	Instance Instance
	// Start is chosen when the process starts, by an entry instance at random. It is
	// an identifier and must not be read as a time.
	Start uint64
}

// IsZero reports whether the incarnation is the zero value, which identifies no
// run.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// String returns the text form that ParseIncarnation parses, such as
// "entry-west-1~00c0ffee00c0ffee".
func (i Incarnation) String() string {
	start := strconv.FormatUint(i.Start, 16)
	padding := strings.Repeat("0", startDigits-len(start))
	return string(i.Instance) + "~" + padding + start
}

// startDigits is the number of hexadecimal digits of Incarnation.Start.
const startDigits = 16

// ParseIncarnation parses the text form that String returns. It returns a
// NotValid error for any other text.
func ParseIncarnation(text string) (Incarnation, error) {
	instance, start, found := strings.Cut(text, "~")
	if !found || !ValidName(instance) || len(start) != startDigits {
		return Incarnation{}, errors.NotValidf("incarnation %q", text)
	}
	parsed, err := strconv.ParseUint(start, 16, 64)
	if err != nil || strings.ToLower(start) != start {
		return Incarnation{}, errors.NotValidf("incarnation %q", text)
	}
	return Incarnation{Instance: Instance(instance), Start: parsed}, nil
}
