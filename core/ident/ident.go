// Package ident holds the names and numbers by which the parts of the system
// refer to the same things: instances, places, workspaces, models, revisions.
package ident

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Instance is the id under which the platform lists an entry instance, such as
// "entry-west-1".
type Instance string

// Upstream is the id under which the platform lists a model engine replica or a
// plain service replica.
type Upstream string

// Region is a place that holds one or more availability zones.
type Region string

// Zone is an availability zone. Zone names are unique over all regions.
type Zone string

// Workspace is a customer: one shared itinerary group or one member house.
type Workspace string

// Model is the public name of a model; a table row maps it to versions.
type Model string

// Version is one version of a model, or of a plain service.
type Version string

// Service is the name of a plain service that the system routes to.
type Service string

// Revision orders the states of one published value. It is assigned by the
// publisher and grows with each change. Zero means "none seen yet".
type Revision uint64

// maxNameLength bounds every name that arrives from outside, in bytes.
const maxNameLength = 64

// ValidName reports whether a name is in kebab case: lower-case letters, digits
// and inner hyphens, such as "west-eu-1".
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

// Incarnation is one run of an instance's process. Two runs of the same instance
// differ in Start, so that state held by the earlier one is never expected of
// the later one.
type Incarnation struct {
	// Instance is a valid name whenever the incarnation is not the zero value.
	Instance Instance
	// Start is drawn at random when the process starts; it is not a time.
	Start uint64
}

// IsZero reports whether the incarnation names no run at all.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// String gives the form that ParseIncarnation reads: "entry-west-1~00c0ffee00c0ffee".
func (i Incarnation) String() string {
	start := strconv.FormatUint(i.Start, 16)
	padding := strings.Repeat("0", startDigits-len(start))
	return string(i.Instance) + "~" + padding + start
}

// startDigits is the number of hexadecimal digits of Incarnation.Start.
const startDigits = 16

// ParseIncarnation reads the form that String writes. It returns a NotValid
// error for anything else.
func ParseIncarnation(text string) (Incarnation, error) {
	instance, start, found := strings.Cut(text, "~")
	if !found || !ValidName(instance) || len(start) != startDigits {
		return Incarnation{}, errors.NotValidf("incarnation %q", text)
	}
	number, err := strconv.ParseUint(start, 16, 64)
	if err != nil || strings.ToLower(start) != start {
		return Incarnation{}, errors.NotValidf("incarnation %q", text)
	}
	return Incarnation{Instance: Instance(instance), Start: number}, nil
}
