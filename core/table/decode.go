package table

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"arbutustrestle/core/ident"
)

// cells parses the typed values of one row and collects faults in them.
type cells struct {
	layout *layout
	record Record
	faults *Faults
}

func (c *cells) text(column string) string {
	return c.record.Cells[slices.Index(c.layout.columns, column)]
}

func (c *cells) fault(column, problem, remedy string) {
	*c.faults = append(*c.faults, Fault{
		File:    c.record.File,
		Line:    c.record.Line,
		Column:  column,
		Problem: problem,
		Remedy:  remedy,
	})
}

// nameRemedy describes the format of names.
const nameRemedy = "use up to 64 lower-case letters, digits and inner hyphens, such as west-eu-1"

// name parses a name in kebab case.
func (c *cells) name(column string) string {
	text := c.text(column)
	c.checkName(column, text)
	return text
}

func (c *cells) checkName(column, text string) {
	if text == "" {
		c.fault(column, "is empty", nameRemedy)
		return
	}
	if !ident.ValidName(text) {
		c.fault(column, fmt.Sprintf("%q is not a name", text), nameRemedy)
	}
}

// count parses a whole number from low to high, inclusive.
func (c *cells) count(column, text string, low, high int) int {
	number, err := strconv.Atoi(text)
	if err != nil || number < low || number > high {
		c.fault(column, fmt.Sprintf("%q is out of range", text), fmt.Sprintf("use a whole number from %d to %d", low, high))
		return low
	}
	return number
}

// maxLimit bounds the limits of a workspace, both rates per second and counts.
const maxLimit = 1_000_000

// limitRemedy describes how to write a limit or leave it out.
const limitRemedy = "use a number above 0 and up to 1000000, or leave it empty for no limit"

// rate parses a limit per second; an empty cell means no limit.
func (c *cells) rate(column string) float64 {
	text := c.text(column)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number > 0 && number <= maxLimit) {
		c.fault(column, fmt.Sprintf("%q is not a limit", text), limitRemedy)
		return 0
	}
	return number
}

// limit parses a number of requests; an empty cell means no limit.
func (c *cells) limit(column string) int {
	text := c.text(column)
	if text == "" {
		return 0
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 || number > maxLimit {
		c.fault(column, fmt.Sprintf("%q is not a limit", text), limitRemedy)
		return 0
	}
	return number
}

// yesNo parses "yes" or "no"; an empty cell in an optional column means "no".
func (c *cells) yesNo(column string) bool {
	text := c.text(column)
	optional := slices.Contains(c.layout.optional, column)
	if text != "yes" && text != "no" && (text != "" || !optional) {
		c.fault(column, fmt.Sprintf("%q is neither yes nor no", text), "write yes or no")
	}
	return text == "yes"
}

func zoneRow(c *cells) ZoneRow {
	return ZoneRow{
		Zone:   ident.Zone(c.name("zone")),
		Region: ident.Region(c.name("region")),
	}
}

// maxWeight bounds the weight of a version in the traffic sheet.
const maxWeight = 1_000_000

func trafficRow(c *cells) TrafficRow {
	class, ok := ParseClass(c.text("class"))
	if !ok || class == ServiceCall {
		c.fault("class", fmt.Sprintf("%q is not a class of model requests", c.text("class")), "use quick, plan, session or any")
	}
	return TrafficRow{
		Model:   ident.Model(c.name("model")),
		Class:   class,
		Version: ident.Version(c.name("version")),
		Weight:  c.count("weight", c.text("weight"), 0, maxWeight),
	}
}

// maxCostMS bounds the cost of sending a request to another region.
const maxCostMS = 600_000

func shareRow(c *cells) ShareRow {
	row := ShareRow{
		From:       ident.Region(c.name("from")),
		To:         ident.Region(c.name("to")),
		MaxPercent: c.count("max-percent", c.text("max-percent"), 0, 100),
	}
	if text := c.text("cost"); text != "" {
		row.Cost = milliseconds(c.count("cost", text, 0, maxCostMS))
	}
	if row.From == row.To {
		c.fault("to", "is the same region as from", "remove the row, a region always serves itself")
	}
	return row
}

// workspaceRow parses a row except for its places: checker.places needs all zones
// to distinguish regions from zones.
func workspaceRow(c *cells) WorkspaceRow {
	return WorkspaceRow{
		Workspace:         ident.Workspace(c.name("workspace")),
		Home:              ident.Region(c.name("home")),
		RequestsPerSecond: c.rate("requests-per-second"),
		InFlight:          c.limit("in-flight"),
		TokensPerSecond:   c.rate("tokens-per-second"),
	}
}

// maxSlots bounds the concurrent requests of one replica.
const maxSlots = 10_000

func poolRow(c *cells) PoolRow {
	row := PoolRow{
		Pool:         c.name("pool"),
		Slots:        c.count("slots", c.text("slots"), 1, maxSlots),
		ChecksOrders: c.yesNo("checks-orders"),
	}
	switch kind := c.text("kind"); kind {
	case "engine":
		row.Models = c.models("serves")
	case "service":
		row.Kind = PlainService
		row.Service = ident.Service(c.name("serves"))
	default:
		c.fault("kind", fmt.Sprintf("%q is not a kind of pool", kind), "write engine or service")
	}
	return row
}

// models parses a list such as "planner@v3 planner@v4".
func (c *cells) models(column string) []ModelVersion {
	words := strings.Fields(c.text(column))
	if len(words) == 0 {
		c.fault(column, "is empty", "list what the engines may load, such as planner@v3")
	}
	list := make([]ModelVersion, 0, len(words))
	for _, word := range words {
		model, version, _ := strings.Cut(word, "@")
		if !ident.ValidName(model) || !ident.ValidName(version) {
			c.fault(column, fmt.Sprintf("%q is not a model and a version", word), "write each as model@version, such as planner@v3")
			continue
		}
		entry := ModelVersion{Model: ident.Model(model), Version: ident.Version(version)}
		if slices.Contains(list, entry) {
			c.fault(column, fmt.Sprintf("%q stands twice", word), "remove one of the two")
		}
		list = append(list, entry)
	}
	return list
}

// methods lists the values allowed in the method column of the calls sheet.
var methods = []string{AnyMethod, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// The default and maximum timeout of a call, in seconds.
const (
	defaultCallTimeoutS = 10
	maxCallTimeoutS     = 3_600
)

func callRow(c *cells) CallRow {
	row := CallRow{
		Service:    ident.Service(c.name("service")),
		Method:     c.text("method"),
		Path:       c.text("path"),
		Repeatable: c.yesNo("repeatable"),
		Timeout:    defaultCallTimeoutS * time.Second,
	}
	if !slices.Contains(methods, row.Method) {
		c.fault("method", fmt.Sprintf("%q is not a method", row.Method), "use one of "+strings.Join(methods, ", "))
	}
	if !cleanPath(row.Path) || row.Path != "/" && strings.HasSuffix(row.Path, "/") {
		c.fault("path", fmt.Sprintf("%q is not a path", row.Path), "begin it with / and leave out the last /, such as /bookings")
	}
	if text := c.text("timeout-s"); text != "" {
		row.Timeout = seconds(c.count("timeout-s", text, 1, maxCallTimeoutS))
	}
	return row
}
