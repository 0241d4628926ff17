package config

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// maxRetryFree detects a typing error: no installation allows a million attempts a
// window in addition to those that requests earn.
const maxRetryFree = 1 << 20

// maxQuotaOverage and maxQuotaSlack detect typing errors: a percentage, and more tokens than all
// upstreams of an installation read in an hour.
const (
	maxQuotaOverage = 10
	maxQuotaSlack   = 1e12
)

// Gateway holds the settings of an instance that serves published routes.
type Gateway struct {
	ID     ident.Instance
	Zone   ident.Zone
	Region ident.Region
	// CallerAddress, ReadyAddress, PeerAddress and DirectoryAddress are the addresses
	// of the listeners, at which others connect to the instance.
	CallerAddress, ReadyAddress, PeerAddress, DirectoryAddress netip.AddrPort
	// MetricsAddress is the address of the listener that serves the counters.
	MetricsAddress netip.AddrPort
	// Seeds are peer addresses of instances in any region. They may be outdated.
	Seeds []netip.AddrPort
	// Zones maps each zone to its region.
	Zones map[ident.Zone]ident.Region
	// PlatformAddress is the address of the platform's store.
	PlatformAddress netip.AddrPort
	LogLevel        zerolog.Level
	Bounds          Bounds
	// QueueRequests is set if requests wait at the instance, in order, while upstreams have
	// no capacity for them.
	QueueRequests bool
	// MemoryBytes is the memory that the process may use; zero if that isn't bounded.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open; zero if that
	// isn't bounded.
	Descriptors int
	// PromptRate is the number of prompt tokens that an engine is assumed to process in
	// a millisecond until its rate has been observed.
	PromptRate float64
}

// Bounds holds the limits that all instances together keep to.
type Bounds struct {
	// RetryRatio, RetryWindow and RetryFree bound the attempts after the first; see
	// budget.Limits.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryFree   float64
	// QuotaWindow, QuotaOverage and QuotaSlack say by how much the quotas of workspaces may be
	// exceeded; see quota.Bounds.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// DirectoryHold is how long callers keep an answer of the directory.
	DirectoryHold time.Duration
}

func gatewayKeys(g *Gateway) []key {
	return []key{
		{path{"instance", "id"}, "", name(&g.ID)},
		{path{"instance", "zone"}, "", name(&g.Zone)},
		{path{"instance", "region"}, "", name(&g.Region)},
		{path{"instance", "caller-address"}, "", address(&g.CallerAddress)},
		{path{"instance", "ready-address"}, "", address(&g.ReadyAddress)},
		{path{"instance", "peer-address"}, "", address(&g.PeerAddress)},
		{path{"instance", "directory-address"}, "", address(&g.DirectoryAddress)},
		{path{"instance", "metrics-address"}, "", address(&g.MetricsAddress)},
		{path{"instance", "seeds"}, none, addressesOrNone(&g.Seeds)},
		{path{"places", "zones"}, "", zones(&g.Zones)},
		{path{"platform", "address"}, "", address(&g.PlatformAddress)},
		{path{"log", "level"}, "info", level(&g.LogLevel)},
		{path{"bounds", "retry-ratio"}, "0.1", number(&g.Bounds.RetryRatio, 0, 1)},
		{path{"bounds", "retry-window"}, "10s", duration(&g.Bounds.RetryWindow, time.Second, time.Hour)},
		{path{"bounds", "retry-free"}, "0", number(&g.Bounds.RetryFree, 0, maxRetryFree)},
		{path{"bounds", "quota-window"}, "8s", duration(&g.Bounds.QuotaWindow, time.Second, time.Hour)},
		{path{"bounds", "quota-overage"}, "0", number(&g.Bounds.QuotaOverage, 0, maxQuotaOverage)},
		{path{"bounds", "quota-slack"}, "0", number(&g.Bounds.QuotaSlack, 0, maxQuotaSlack)},
		{path{"bounds", "grace"}, "8s", duration(&g.Bounds.Grace, time.Second, time.Hour)},
		{path{"bounds", "directory-hold"}, "1s", duration(&g.Bounds.DirectoryHold, time.Second, time.Minute)},
		{path{"limits", "memory"}, "0", megabytes(&g.MemoryBytes)},
		{path{"limits", "descriptors"}, "0", count(&g.Descriptors, 0, maxDescriptors)},
		{path{"queue", "enabled"}, "no", yesNo(&g.QueueRequests)},
		{path{"engines", "prompt-rate"}, "80", number(&g.PromptRate, 0.01, 1e6)},
	}
}

// RestartKeys returns the keys in which other settings differ and that require a
// restart to take effect: all except the seeds.
func (g Gateway) RestartKeys(other Gateway) []string {
	var keys []string
	for _, k := range []struct {
		key    string
		differ bool
	}{
		{"instance.id", g.ID != other.ID},
		{"instance.zone", g.Zone != other.Zone},
		{"instance.region", g.Region != other.Region},
		{"instance.caller-address", g.CallerAddress != other.CallerAddress},
		{"instance.ready-address", g.ReadyAddress != other.ReadyAddress},
		{"instance.peer-address", g.PeerAddress != other.PeerAddress},
		{"instance.directory-address", g.DirectoryAddress != other.DirectoryAddress},
		{"instance.metrics-address", g.MetricsAddress != other.MetricsAddress},
		{"places.zones", !maps.Equal(g.Zones, other.Zones)},
		{"platform.address", g.PlatformAddress != other.PlatformAddress},
		{"log.level", g.LogLevel != other.LogLevel},
		{"bounds", g.Bounds != other.Bounds},
		{"limits.memory", g.MemoryBytes != other.MemoryBytes},
		{"limits.descriptors", g.Descriptors != other.Descriptors},
		{"queue.enabled", g.QueueRequests != other.QueueRequests},
		{"engines.prompt-rate", g.PromptRate != other.PromptRate},
	} {
		if k.differ {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// IsGateway reports whether the settings are those of a gateway: only these have a
// [places] section.
func IsGateway(data []byte) bool {
	for line := range strings.Lines(string(data)) {
		if strings.TrimSpace(line) == "[places]" {
			return true
		}
	}
	return false
}

// ReadGateway reads the settings file of a gateway. It returns table.Faults, whose
// columns are keys such as "instance.zone", or the error from reading the file.
func ReadGateway(file string) (Gateway, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Gateway{}, errors.Annotate(err, "reading settings")
	}
	g, faults := ParseGateway(file, data)
	if len(faults) > 0 {
		return Gateway{}, faults
	}
	return g, nil
}

// ParseGateway parses the contents of a settings file. The settings are valid only if
// there are no faults.
func ParseGateway(file string, data []byte) (Gateway, table.Faults) {
	var g Gateway
	r := newReader(file, data)
	r.readAll(gatewayKeys(&g))
	if region, known := g.Zones[g.Zone]; g.Zones != nil && (!known || region != g.Region) {
		r.add(path{"instance", "zone"}, fmt.Sprintf("%q is not a zone of region %q in places.zones", g.Zone, g.Region), "correct it there or here")
	}
	return g, r.sorted()
}

// zonesRemedy describes the format of the list of zones.
const zonesRemedy = "list each zone with its region, such as west-eu-a:west-eu, north-eu-b:north-eu"

// zones parses a list of "ZONE:REGION" separated by commas or spaces.
func zones(into *map[ident.Zone]ident.Region) parseFunc {
	return func(text string) (string, string) {
		list := map[ident.Zone]ident.Region{}
		for _, field := range strings.Fields(strings.ReplaceAll(text, ",", " ")) {
			zone, region, found := strings.Cut(field, ":")
			if !found || !ident.ValidName(zone) || !ident.ValidName(region) {
				return fmt.Sprintf("%q is not a zone with its region", field), zonesRemedy
			}
			list[ident.Zone(zone)] = ident.Region(region)
		}
		if len(list) == 0 {
			return "is empty", zonesRemedy
		}
		*into = list
		return "", ""
	}
}

func number(into *float64, low, high float64) parseFunc {
	return func(text string) (string, string) {
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil || !(parsed >= low && parsed <= high) {
			return fmt.Sprintf("%q is out of range", text), "use a number from " + formatDecimal(low) + " to " + formatDecimal(high)
		}
		*into = parsed
		return "", ""
	}
}

// maxMemory detects typing errors.
const maxMemory = 1 << 20

// megabytes parses a number of MB, of 2^20 bytes each.
func megabytes(into *int64) parseFunc {
	return func(text string) (string, string) {
		var parsed float64
		if problem, remedy := number(&parsed, 0, maxMemory)(text); problem != "" {
			return problem, remedy
		}
		*into = int64(parsed * (1 << 20))
		return "", ""
	}
}

// maxDescriptors detects typing errors.
const maxDescriptors = 1 << 30

// yesNo parses "yes" or "no".
func yesNo(into *bool) parseFunc {
	return func(text string) (string, string) {
		if text != "yes" && text != "no" {
			return fmt.Sprintf("%q is neither yes nor no", text), "use yes or no"
		}
		*into = text == "yes"
		return "", ""
	}
}

// formatDecimal formats a number without an exponent.
func formatDecimal(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}
