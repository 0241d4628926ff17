// Package engine models the capacity and speed of a model engine, as far as the projected
// times of a request depend on them. An engine runs up to a number of requests at once, in
// steps: each step makes one token for every running request. Prompts are read in chunks
// between the steps, so that all running requests wait for them. Running requests hold
// memory for their prompts and for what was generated.
//
// core/pool does not use the model yet; see docs/design/engine-model.md.
package engine

import (
	"math"
	"time"
)

// ChunkTokens is the number of prompt tokens that an engine reads between two steps.
const ChunkTokens = 2000

// Capacity holds what the engines of a service publish. A zero field is unknown.
type Capacity struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Memory is the number of tokens that running requests and cached prompts hold.
	Memory int
	// EventTokens is the number of tokens in an event.
	EventTokens int
}

// Known reports whether anything is published that the model needs.
func (c Capacity) Known() bool {
	return c.Slots > 0 || c.Memory > 0 || c.EventTokens > 0
}

// Load is the known load of an engine as of a moment.
type Load struct {
	// Ahead is the number of prompt tokens that are read before the request's own, and
	// Behind the number that are read after it.
	Ahead  float64
	Behind float64
	// Arriving is the part of its time, 0 to below 1, for which the engine will read
	// prompts that have yet to arrive.
	Arriving float64
	// Running is the number of requests sent there that have not ended, and Held the
	// tokens that they hold or will hold.
	Running float64
	Held    float64
	// HoldTime is how long a request runs.
	HoldTime time.Duration
}

// Need is what one request takes.
type Need struct {
	// Uncached is the length of the part of the prompt that has to be read, Prompt that of
	// all of it.
	Uncached int
	Prompt   int
	// Output is the expected number of generated tokens; zero if unknown.
	Output int
}

// Times are the projected times of a request, in milliseconds.
type Times struct {
	// Wait is the time until the engine begins with the request, and First the time to its
	// first event.
	Wait  float64
	First float64
	// End is the time to the last event, and Gap the one between two events; zero if the
	// number of tokens isn't known.
	End float64
	Gap float64
}

// Delay adds to all times of a request.
func (t *Times) Delay(ms float64) {
	t.Wait += ms
	t.First += ms
	t.End += ms
}

// maxArriving bounds the part of the time that goes to prompts yet to arrive, so that the
// projection, which divides by the rest of the time, stays finite.
const maxArriving = 0.9

// paceHorizon is the time, in milliseconds, for which the recent pace of running streams predicts
// their further pace.
const paceHorizon = 2000

// Project returns the projected times of a request.
func Project(e Estimate, c Capacity, l Load, n Need) Times {
	wait := max(slotWait(c, l), memoryWait(c, l, n)) + ReadTime(e, l.Ahead)
	t := Times{Wait: wait, First: wait + ReadTime(e, float64(n.Uncached))}
	if c.EventTokens == 0 {
		t.First += e.Step
		return t
	}
	first := float64(c.EventTokens)
	perToken := tokenTime(e, l, first)
	t.First += first * perToken
	if n.Output == 0 {
		return t
	}
	rest := max(0, float64(n.Output)-first)
	perToken = tokenTime(e, l, max(rest, first))
	t.End = t.First + rest*perToken
	t.Gap = perToken * float64(c.EventTokens)
	return t
}

// ReadTime returns the time to read a prompt, in milliseconds, with the steps between its
// chunks.
func ReadTime(e Estimate, tokens float64) float64 {
	return tokens/e.Rate + tokens/ChunkTokens*e.Step
}

// tokenTime returns the mean time of each of a number of tokens. With P ms of prompts left to
// read and u ms more arriving in each, T tokens take (T s + P) / (1 - u), but no more than one
// chunk for each token.
func tokenTime(e Estimate, l Load, tokens float64) float64 {
	behind := l.Behind / e.Rate
	chunk := ChunkTokens / e.Rate
	model := min((e.Step+behind/tokens)/(1-min(l.Arriving, maxArriving)), e.Step+chunk)
	if e.PaceWeight == 0 {
		return model
	}
	near := e.PaceWeight * min(1, paceHorizon/(tokens*e.Pace))
	return model + near*(min(e.Pace, 5*(e.Step+chunk))-model)
}

// slotWait returns the wait for a slot: with 8 requests on 6 slots that each hold for 60 ms, a
// slot becomes free every 10 ms, and the next request waits for 3 of them.
func slotWait(c Capacity, l Load) float64 {
	ahead := l.Running + 1 - float64(c.Slots)
	if c.Slots == 0 || ahead <= 0 {
		return 0
	}
	return ahead / float64(c.Slots) * millis(l.HoldTime)
}

// memoryWait returns the wait until running requests have left enough memory.
func memoryWait(c Capacity, l Load, n Need) float64 {
	missing := l.Held + float64(n.Prompt+n.Output) - float64(c.Memory)
	if c.Memory == 0 || missing <= 0 || l.Held <= 0 {
		return 0
	}
	return missing / math.Max(l.Held, 1) * millis(l.HoldTime)
}
