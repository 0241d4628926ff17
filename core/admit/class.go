package admit

import "time"

// Class says what a request needs from the capacity it shares with others.
type Class uint8

// The classes of requests.
const (
	// Quick is a short question that is of use only when it is answered now.
	Quick Class = iota
	// Plan is a streamed plan.
	Plan
	// Session is a long session, which must finish even when it is slow.
	Session
	// Service is a call of a plain service.
	Service

	classCount
)

var classNames = [classCount]string{"quick", "plan", "session", "service"}

// String returns the name of the class as the table writes it.
func (c Class) String() string {
	if c < classCount {
		return classNames[c]
	}
	return classNames[Plan]
}

// ParseClass reads what String writes; false for anything else.
func ParseClass(text string) (Class, bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return Plan, false
}

// Classes returns every class, in order.
func Classes() []Class {
	return []Class{Quick, Plan, Session, Service}
}

// Rule is how a class is treated.
type Rule struct {
	// Guarantee is the part of the slots, 0 to 1, that other classes can't keep from
	// this one for longer than until their next answers end.
	Guarantee float64
	// Beyond is the part of the slots by which the class may exceed them: the engines
	// take its requests before others that wait there.
	Beyond float64
	// Patience is the longest wait in the queue, and the longest that is worth
	// projecting at an upstream.
	Patience time.Duration
	// Priority is passed on to the engine: 0 to 9, the highest first.
	Priority int
}

var defaultRules = [classCount]Rule{
	Quick:   {Guarantee: 0.25, Beyond: 0.10, Patience: 500 * time.Millisecond, Priority: 9},
	Plan:    {Guarantee: 0.35, Patience: time.Second, Priority: 5},
	Session: {Guarantee: 0.35, Patience: time.Second, Priority: 3},
	Service: {Guarantee: 0.05, Beyond: 0.10, Patience: 500 * time.Millisecond, Priority: 7},
}

// DefaultRule returns the rule that a class has unless a Gate is given others.
func DefaultRule(c Class) Rule {
	if c < classCount {
		return defaultRules[c]
	}
	return defaultRules[Plan]
}
