// Package config reads the settings of an instance from an INI file. It checks every
// key before any listener is opened and reports all faults at once.
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

// Entry holds the settings of one entry instance. They do not change while it runs;
// settings that operators change at run time are in the table.
type Entry struct {
	// ID is a valid name, under which the platform lists the instance.
	ID   ident.Instance
	Zone ident.Zone
	// Region is the region of Zone. The instance needs it before it has read a table;
	// if the active table states a different one, the instance does not serve.
	Region ident.Region
	// CallerAddress, PeerAddress and AdminAddress are the addresses of the three
	// listeners. Each has a specific IP address and port, and no two are equal, because
	// others connect to the instance at them.
	CallerAddress, PeerAddress, AdminAddress netip.AddrPort
	// PeerListenAddress is where the listener for peers is opened. It differs from
	// PeerAddress only where addresses are translated on the way.
	PeerListenAddress netip.AddrPort
	// Seeds are peer addresses of instances in the same region. With them, a new
	// instance finds its peers while the platform is unavailable. The list may be
	// empty.
	Seeds []netip.AddrPort
	// PlatformAddresses has one or more addresses of the platform's HTTP service.
	PlatformAddresses []netip.AddrPort
	LogLevel          zerolog.Level
	Timeouts          Timeouts
	Limits            Limits

	// zonePosition is the position of the zone in the file, for CheckAgainst.
	zonePosition table.Fault
}

// Timeouts bound how long the other side of a connection may take.
type Timeouts struct {
	// Header bounds the time in which a caller sends the header of a request.
	Header time.Duration
	// Body bounds the time in which a caller sends the body of a request.
	Body time.Duration
	// Write bounds the time in which a caller accepts one part of an answer.
	Write time.Duration
	// Idle is how long a caller's connection stays open between requests.
	Idle time.Duration
	// Connect bounds the opening of a connection to an upstream, a peer or the
	// platform.
	Connect time.Duration
	// PlatformWait is how long the platform is asked to keep a watch open.
	PlatformWait time.Duration
}

// Limits bound the amount that the other side of a connection may send. All are at
// least 1.
type Limits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int
	// AnswerBytes bounds an answer that is buffered completely, such as one of a plain
	// service.
	AnswerBytes int
	// EventBytes bounds one event of a streamed answer.
	EventBytes int
	// RequestsBytes bounds what all requests of callers take together: their heads once they are
	// parsed, and their bodies.
	RequestsBytes int
	// AnswersBytes bounds what answers that are kept whole, and relayed ones that callers don't read, take
	// together.
	AnswersBytes int
	// Connections bounds the number of open connections from callers. An eighth more may be open
	// while those that gave way are closed.
	Connections int
}

// entryKeys returns the keys of the settings of an entry instance.
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
		{path{"limits", "requests-bytes"}, "268435456", count(&e.Limits.RequestsBytes, 1<<20, 1<<40)},
		{path{"limits", "answers-bytes"}, "268435456", count(&e.Limits.AnswersBytes, 1<<20, 1<<40)},
		{path{"limits", "connections"}, "4096", count(&e.Limits.Connections, 1, 1<<16)},
	}
}

// ReadEntry reads the settings file of an entry instance. It returns table.Faults,
// whose columns are keys such as "instance.zone", or the error from reading the file.
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

// CheckFile returns all faults of a settings file, of an entry instance or a gateway.
// For an entry instance, it also checks the zone and its region against the table,
// unless the table is nil. It returns an error if the file cannot be read.
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

// ParseEntry parses the contents of a settings file. The settings are valid only if
// there are no faults.
func ParseEntry(file string, data []byte) (Entry, table.Faults) {
	var e Entry
	r := newReader(file, data)
	r.readAll(entryKeys(&e))
	if !e.PeerListenAddress.IsValid() {
		e.PeerListenAddress = e.PeerAddress
	}
	r.checkAddresses(e)
	e.zonePosition = r.fault(path{"instance", "zone"}, "", "")
	return e, r.sorted()
}

// checkAddresses reports each address that has two uses.
func (r *reader) checkAddresses(e Entry) {
	type listener struct {
		path    path
		address netip.AddrPort
	}
	listeners := []listener{
		{path{"instance", "caller-address"}, e.CallerAddress},
		{path{"instance", "peer-address"}, e.PeerAddress},
		{path{"instance", "admin-address"}, e.AdminAddress},
	}
	if e.PeerListenAddress != e.PeerAddress {
		listeners = append(listeners, listener{path{"instance", "peer-listen-address"}, e.PeerListenAddress})
	}
	for i, listener := range listeners {
		if !listener.address.IsValid() {
			continue
		}
		for _, other := range listeners[:i] {
			if listener.address == other.address {
				r.add(listener.path, fmt.Sprintf("%s is also %s", listener.address, other.path), "give each listener an address of its own")
			}
		}
		if slices.Contains(e.PlatformAddresses, listener.address) {
			r.add(listener.path, fmt.Sprintf("%s is also in platform.addresses", listener.address), "give the listener another address")
		}
	}
}

// CheckAgainst reports a zone that the table lacks or assigns to a different region.
func (e Entry) CheckAgainst(t *table.Table) table.Faults {
	fault := e.zonePosition
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
