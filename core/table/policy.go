package table

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// Objective is what the operator weighs most.
type Objective uint8

// The objectives.
const (
	// Latency asks for the lowest tail latency.
	Latency Objective = iota
	// Cost asks for the lowest cost and share of requests sent to other regions.
	Cost
)

// String returns the word used in the policy sheet.
func (o Objective) String() string {
	if o == Cost {
		return "cost"
	}
	return "latency"
}

// ClassPolicy holds the settings that each class of requests has.
type ClassPolicy struct {
	// SharePercent is the part of the engine slots that the class gets when all
	// classes ask for more than there is, 0 to 100. ServiceCall has none, since
	// engines and plain services share no slots.
	SharePercent int
	// QueueLength is the number of requests that may wait in one instance.
	QueueLength int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// Timeout is the deadline of a request that brings none.
	Timeout time.Duration
	// Priority is what engines are told, 0 (first) to 9 (last).
	Priority int
}

// Policy holds the settings of the policy sheet. DefaultPolicy gives the values
// of a sheet without rows.
type Policy struct {
	Objective Objective
	// Classes is indexed by Class; the entry of AnyClass is not used.
	Classes [ClassCount]ClassPolicy
	// RetryBudgetPercent is the number of retries per 100 first attempts.
	RetryBudgetPercent int
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// MaxHops bounds how often a request may be forwarded between instances.
	MaxHops int
	// HedgeAfter is the wait before a second attempt of a repeatable request is
	// started beside the first; 0 means never.
	HedgeAfter time.Duration
	// RecordRetention is how long the record of a call that may not repeat is kept
	// at least.
	RecordRetention time.Duration
	// GracefulShutdown bounds how long a stopping instance waits for requests.
	GracefulShutdown time.Duration
	// IdleTimeout is the longest silence of an upstream in the middle of an answer.
	IdleTimeout time.Duration
	// LoadFreshness is the age up to which a load report is believed.
	LoadFreshness time.Duration
	// RampUp is how long a new or returned upstream takes to get its full part.
	RampUp time.Duration
	// SpillMargin is how much shorter the wait in another region has to be, on top
	// of the cost of the share, before a request is sent there.
	SpillMargin time.Duration
	// RetryAfterMin and RetryAfterMax bound the time that a refused caller is told
	// to stay away. RetryAfterMin is not above RetryAfterMax.
	RetryAfterMin, RetryAfterMax time.Duration
	// OrderHandover is the wait before a new orderer takes over an engine that does
	// not check orders.
	OrderHandover time.Duration
}

// setting is one row that the policy sheet may have.
type setting struct {
	name string
	// initial is the value without a row, in the form of the sheet.
	initial string
	// low and high bound a number, in the unit that the name ends with.
	low, high int
	set       func(p *Policy, value int)
}

// objectiveSetting is the one setting that is not a number.
const objectiveSetting = "objective"

// settings are the numeric rows of the policy sheet.
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

// classSettings returns the rows of one class, such as "quick-queue-length".
// Empty initial values leave a row out.
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
		if s.initial == "" {
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

// DefaultPolicy returns the values that hold without a row in the policy sheet.
func DefaultPolicy() Policy {
	var p Policy
	for _, s := range settings {
		value, err := strconv.Atoi(s.initial)
		if err != nil {
			panic("the default of " + s.name + " is not a number")
		}
		s.set(&p, value)
	}
	return p
}

// findSetting returns a numeric setting, and nil when there is none.
func findSetting(name string) *setting {
	for i := range settings {
		if settings[i].name == name {
			return &settings[i]
		}
	}
	return nil
}

// nearSettings lists the settings that share a word with a wrong name, or all.
func nearSettings(name string) string {
	var near, all []string
	for _, s := range settings {
		all = append(all, s.name)
		for word := range strings.SplitSeq(name, "-") {
			if word != "" && slices.Contains(strings.Split(s.name, "-"), word) {
				near = append(near, s.name)
				break
			}
		}
	}
	if len(near) > 0 {
		return strings.Join(near, ", ")
	}
	return objectiveSetting + ", " + strings.Join(all, ", ")
}
