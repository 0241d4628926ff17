// Package config reads the settings of an entry instance from an INI file. It
// checks every key before anything listens and reports all faults at once.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// Entry holds the settings of one entry instance. They do not change while it
// runs; what operators change is in the table.
type Entry struct {
	// ID is a valid name and the one under which the platform lists the instance.
	ID   ident.Instance
	Zone ident.Zone
	// Region is the one that holds Zone. The instance needs it before it has read a
	// table; a table in force that says otherwise stops it from serving.
	Region ident.Region
	// CallerAddress, PeerAddress and AdminAddress are the addresses of the three listeners. Each is a
	// definite address with a definite port, and no two are equal, since others
	// reach the instance under them.
	CallerAddress, PeerAddress, AdminAddress netip.AddrPort
	// PeerListenAddress is where the peers' listener is opened. It differs from Peer only
	// where an address is translated on the way.
	PeerListenAddress netip.AddrPort
	// Seeds are peer addresses of entries in the same region. They let a new instance
	// find its peers while the platform can't be reached; it may have none.
	Seeds []netip.AddrPort
	// PlatformAddresses has one or more addresses of the platform's HTTP service.
	PlatformAddresses []netip.AddrPort
	LogLevel          zerolog.Level
	Timeouts          Timeouts
	Limits            Limits

	// origin is where the zone was read, for CheckAgainst.
	origin table.Fault
}

// Timeouts bound how long the other side of a connection may take.
type Timeouts struct {
	// Header is for a caller to send the header of a request.
	Header time.Duration
	// Body is for a caller to send the body of a request.
	Body time.Duration
	// Write is for a caller to take one part of an answer.
	Write time.Duration
	// Idle is how long a caller's connection stays open between requests.
	Idle time.Duration
	// Connect is for a connection to an upstream, a peer or the platform to open.
	Connect time.Duration
	// PlatformWait is how long the platform is asked to hold a watch open.
	PlatformWait time.Duration
}

// Limits bound what the other side of a connection may send. All are at least 1.
type Limits struct {
	// HeaderBytes is for the header of a request.
	HeaderBytes int
	// BodyBytes is for the body of a request.
	BodyBytes int
	// AnswerBytes is for an answer that is held whole, as of a plain service.
	AnswerBytes int
	// EventBytes is for one event of a streamed answer.
	EventBytes int
	// Connections is the number of callers' connections that are open at a time.
	Connections int
}

// entryKeys lists the keys of an entry instance's settings.
func entryKeys(e *Entry) []key {
	return []key{
		{path{"instance", "id"}, "", name(&e.ID)},
		{path{"instance", "zone"}, "", name(&e.Zone)},
		{path{"instance", "region"}, "", name(&e.Region)},
		{path{"instance", "caller-address"}, "", address(&e.CallerAddress)},
		{path{"instance", "peer-address"}, "", address(&e.PeerAddress)},
		{path{"instance", "admin-address"}, "", address(&e.AdminAddress)},
		{path{"instance", "peer-listen-address"}, same, addressOrSame(&e.PeerListenAddress)},
		{path{"instance", "seeds"}, none, addressesOrNone(&e.Seeds)},
		{path{"platform", "addresses"}, "", addresses(&e.PlatformAddresses)},
		{path{"log", "level"}, "info", level(&e.LogLevel)},
		{path{"timeouts", "header"}, "5s", duration(&e.Timeouts.Header, time.Millisecond, time.Minute)},
		{path{"timeouts", "body"}, "10s", duration(&e.Timeouts.Body, time.Millisecond, time.Hour)},
		{path{"timeouts", "write"}, "30s", duration(&e.Timeouts.Write, time.Millisecond, time.Hour)},
		{path{"timeouts", "idle"}, "60s", duration(&e.Timeouts.Idle, time.Millisecond, time.Hour)},
		{path{"timeouts", "connect"}, "1s", duration(&e.Timeouts.Connect, time.Millisecond, time.Minute)},
		{path{"timeouts", "platform-wait"}, "20s", duration(&e.Timeouts.PlatformWait, 100*time.Millisecond, time.Minute)},
		{path{"limits", "header-bytes"}, "16384", count(&e.Limits.HeaderBytes, 1024, 1<<20)},
		{path{"limits", "body-bytes"}, "1048576", count(&e.Limits.BodyBytes, 1024, 1<<26)},
		{path{"limits", "answer-bytes"}, "4194304", count(&e.Limits.AnswerBytes, 1024, 1<<26)},
		{path{"limits", "event-bytes"}, "65536", count(&e.Limits.EventBytes, 1024, 1<<20)},
		{path{"limits", "connections"}, "4096", count(&e.Limits.Connections, 1, 1<<16)},
	}
}

// ReadEntry reads the settings file of an entry instance. It returns
// table.Faults, whose columns are keys such as "instance.zone", or the error with
// which the file could not be read.
func ReadEntry(file string) (Entry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, errors.Annotate(err, "reading settings")
	}
	entry, faults := ParseEntry(file, data)
	if len(faults) > 0 {
		return Entry{}, faults
	}
	return entry, nil
}

// CheckFile returns every fault of a settings file, of an entry instance or a gateway, and what it names that a table
// does not have; a nil table is not looked at. The error is that with which the file
// could not be read.
func CheckFile(file string, t *table.Table) (table.Faults, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	if IsGateway(data) {
		_, faults := ParseGateway(file, data)
		return faults, nil
	}
	entry, faults := ParseEntry(file, data)
	if t != nil && entry.Zone != "" && entry.Region != "" {
		faults = append(faults, entry.CheckAgainst(t)...)
	}
	return faults, nil
}

// ParseEntry reads settings from the contents of a file. The settings are of use
// only when there are no faults.
func ParseEntry(file string, data []byte) (Entry, table.Faults) {
	var e Entry
	r := newReader(file, data)
	r.readAll(entryKeys(&e))
	if !e.PeerListenAddress.IsValid() {
		e.PeerListenAddress = e.PeerAddress
	}
	r.checkRoles(e)
	e.origin = r.fault(path{"instance", "zone"}, "", "")
	return e, r.sorted()
}

// checkRoles reports an address that has two uses.
func (r *reader) checkRoles(e Entry) {
	type role struct {
		path    path
		address netip.AddrPort
	}
	roles := []role{
		{path{"instance", "caller-address"}, e.CallerAddress},
		{path{"instance", "peer-address"}, e.PeerAddress},
		{path{"instance", "admin-address"}, e.AdminAddress},
	}
	if e.PeerListenAddress != e.PeerAddress {
		roles = append(roles, role{path{"instance", "peer-listen-address"}, e.PeerListenAddress})
	}
	for i, role := range roles {
		if !role.address.IsValid() {
			continue
		}
		for _, other := range roles[:i] {
			if role.address == other.address {
				r.add(role.path, fmt.Sprintf("%s is also %s", role.address, other.path), "give each listener an address of its own")
			}
		}
		if slices.Contains(e.PlatformAddresses, role.address) {
			r.add(role.path, fmt.Sprintf("%s is also in platform.addresses", role.address), "give the listener another address")
		}
	}
}

// CheckAgainst reports what the settings name and the table does not have.
func (e Entry) CheckAgainst(t *table.Table) table.Faults {
	fault := e.origin
	region, known := t.RegionOf(e.Zone)
	if known && region == e.Region {
		return nil
	}
	if known {
		fault.Column = path{"instance", "region"}.String()
		fault.Problem = fmt.Sprintf("%q is not the region of zone %q, which is %q", e.Region, e.Zone, region)
		fault.Remedy = "correct it here or in zones.csv"
		return table.Faults{fault}
	}
	fault.Problem = fmt.Sprintf("%q is not a zone of the table", e.Zone)
	fault.Remedy = "correct it or add it to zones.csv"
	return table.Faults{fault}
}
