package table

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Objective is the operator's optimization goal.
type Objective uint8

// The objectives.
const (
	// Latency minimizes tail latency.
	Latency Objective = iota
	// Cost minimizes cost and the share of requests sent to other regions.
	Cost
)

// String returns the value used in the policy sheet.
func (o Objective) String() string {
	if o == Cost {
		return "cost"
	}
	return "latency"
}

// ClassPolicy holds the settings of one class of requests.
type ClassPolicy struct {
	// SharePercent is the percentage of engine slots, 0 to 100, that the class gets
	// when the demand of all classes exceeds capacity. It is unused for ServiceCall,
	// since engines and plain services share no slots.
	SharePercent int
	// QueueLength is the maximum number of queued requests in one instance.
	QueueLength int
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// Timeout applies to requests that set no deadline of their own.
	Timeout time.Duration
	// Priority is the priority sent to engines, 0 (highest) to 9 (lowest).
	Priority int
}

// Policy holds the settings of the policy sheet. DefaultPolicy returns the values
// for a sheet without rows.
type Policy struct {
	Objective Objective
	// Classes is indexed by Class; the element for AnyClass is unused.
	Classes [ClassCount]ClassPolicy
	// RetryBudgetPercent is the number of retries allowed per 100 first attempts.
	RetryBudgetPercent int
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int
	// MaxHops limits how often a request may be forwarded between instances.
	MaxHops int
	// HedgeAfter is the delay after which a second, concurrent attempt of a
	// repeatable request is started; 0 disables hedging.
	HedgeAfter time.Duration
	// RecordRetention is the minimum time for which the dedup record of a call that
	// is not repeatable is kept.
	RecordRetention time.Duration
	// GracefulShutdown is how long a stopping instance is expected to wait for
	// requests; those still in flight afterwards are reported.
	GracefulShutdown time.Duration
	// IdleTimeout is the maximum time without data from an upstream in the middle of
	// an answer.
	IdleTimeout time.Duration
	// LoadFreshness is the maximum age at which a load report is used.
	LoadFreshness time.Duration
	// RampUp is the time over which the traffic of a new or recovered upstream is
	// increased to its full share.
	RampUp time.Duration
	// SpillMargin is how much shorter the projected wait in another region must be,
	// in addition to the cost in the shares sheet, before a request is sent there.
	SpillMargin time.Duration
	// RetryAfterMin and RetryAfterMax bound the delay that a refused caller is asked
	// to wait before it retries. RetryAfterMin is at most RetryAfterMax.
	RetryAfterMin, RetryAfterMax time.Duration
	// OrderHandover is the delay before a new orderer sends orders to an engine that
	// does not check fencing numbers.
	OrderHandover time.Duration
}

// setting describes one numeric setting of the policy sheet.
type setting struct {
	name string
	// defaultValue applies without a row and is written as in the sheet.
	defaultValue string
	// low and high are inclusive bounds, in the unit that the name ends with.
	low, high int
	set       func(p *Policy, value int)
}

// objectiveSetting is the only setting that is not a number.
const objectiveSetting = "objective"

// settings lists the numeric settings of the policy sheet.
var settings = slices.Concat(
	classSettings(Quick, "25", "64", "20", "0"),
	classSettings(Plan, "45", "64", "180", "3"),
	classSettings(Session, "30", "128", "1800", "6"),
	classSettings(ServiceCall, "", "256", "30", ""),
	[]setting{
		{"retry-budget-percent", "10", 0, 100, func(p *Policy, v int) { p.RetryBudgetPercent = v }},
		{"max-attempts", "3", 1, 10, func(p *Policy, v int) { p.MaxAttempts = v }},
		{"max-hops", "1", 0, 3, func(p *Policy, v int) { p.MaxHops = v }},
		{"hedge-after-ms", "400", 0, 60_000, func(p *Policy, v int) { p.HedgeAfter = milliseconds(v) }},
		{"record-retention-s", "3600", 1, 86_400, func(p *Policy, v int) { p.RecordRetention = seconds(v) }},
		{"graceful-shutdown-s", "300", 1, 7_200, func(p *Policy, v int) { p.GracefulShutdown = seconds(v) }},
		{"idle-timeout-s", "30", 1, 600, func(p *Policy, v int) { p.IdleTimeout = seconds(v) }},
		{"load-freshness-ms", "3000", 1, 60_000, func(p *Policy, v int) { p.LoadFreshness = milliseconds(v) }},
		{"ramp-up-s", "30", 0, 3_600, func(p *Policy, v int) { p.RampUp = seconds(v) }},
		{"spill-margin-ms", "50", 0, 600_000, func(p *Policy, v int) { p.SpillMargin = milliseconds(v) }},
		{"retry-after-min-ms", "1000", 1, 600_000, func(p *Policy, v int) { p.RetryAfterMin = milliseconds(v) }},
		{"retry-after-max-ms", "30000", 1, 600_000, func(p *Policy, v int) { p.RetryAfterMax = milliseconds(v) }},
		{"order-handover-s", "20", 17, 600, func(p *Policy, v int) { p.OrderHandover = seconds(v) }},
	},
)

// classSettings returns the settings of one class, such as "quick-queue-length".
// A setting with an empty default is left out.
func classSettings(c Class, share, queue, timeoutS, priority string) []setting {
	all := []setting{
		{"share-percent", share, 0, 100, func(p *Policy, v int) { p.Classes[c].SharePercent = v }},
		{"queue-length", queue, 0, 100_000, func(p *Policy, v int) { p.Classes[c].QueueLength = v }},
		{"max-wait-ms", "400", 0, 600_000, func(p *Policy, v int) { p.Classes[c].MaxWait = milliseconds(v) }},
		{"timeout-s", timeoutS, 1, 7_200, func(p *Policy, v int) { p.Classes[c].Timeout = seconds(v) }},
		{"priority", priority, 0, 9, func(p *Policy, v int) { p.Classes[c].Priority = v }},
	}
	var rows []setting
	for _, s := range all {
		if s.defaultValue == "" {
			continue
		}
		s.name = c.String() + "-" + s.name
		rows = append(rows, s)
	}
	return rows
}

func milliseconds(v int) time.Duration {
	return time.Duration(v) * time.Millisecond
}

func seconds(v int) time.Duration {
	return time.Duration(v) * time.Second
}

// DefaultPolicy returns the policy of a sheet without rows.
func DefaultPolicy() Policy {
	var p Policy
	for _, s := range settings {
		value, err := strconv.Atoi(s.defaultValue)
		if err != nil {
			panic("the default of " + s.name + " is not a number")
		}
		s.set(&p, value)
	}
	return p
}

// findSetting returns the numeric setting with the given name, or nil.
func findSetting(name string) *setting {
	for i := range settings {
		if settings[i].name == name {
			return &settings[i]
		}
	}
	return nil
}

// similarSettings lists the settings that share a word with an unknown name, or
// all settings if none does.
func similarSettings(name string) string {
	var similar, all []string
	for _, s := range settings {
		all = append(all, s.name)
		for word := range strings.SplitSeq(name, "-") {
			if word != "" && slices.Contains(strings.Split(s.name, "-"), word) {
				similar = append(similar, s.name)
				break
			}
		}
	}
	if len(similar) > 0 {
		return strings.Join(similar, ", ")
	}
	return objectiveSetting + ", " + strings.Join(all, ", ")
}
