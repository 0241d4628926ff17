package main

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul"
)

// keyedOutcomes collects the outcomes that were reported to the callers of keyed calls.
type keyedOutcomes struct {
	mu sync.Mutex
	// outcomes holds the outcome that was reported to the caller, by key.
	outcomes map[string]result.Outcome
}

func newKeyedOutcomes() *keyedOutcomes {
	return &keyedOutcomes{outcomes: map[string]result.Outcome{}}
}

// add records the outcome of one request. Requests without a key are ignored.
func (k *keyedOutcomes) add(q *bench.Request, _ bench.Answer, f *result.Failure) {
	if q.IdempotencyKey == "" {
		return
	}
	outcome := result.Done
	if f != nil {
		outcome = f.Outcome
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcomes[q.IdempotencyKey] = outcome
}

// keyMismatch is a keyed call whose number of runs contradicts the outcome that was
// reported to its caller.
type keyMismatch struct {
	Key     string `json:"key"`
	Outcome string `json:"told"`
	Runs    int    `json:"ran"`
}

// runsByKey returns the number of runs of each key according to the logs of the services.
func runsByKey(ctx context.Context, client *bench.Client, services []netip.AddrPort) (map[string]int, error) {
	runs := map[string]int{}
	for _, service := range services {
		var log struct {
			Runs []emul.Run `json:"runs"`
		}
		if err := client.GetJSON(ctx, service, "/v1/runs", &log); err != nil {
			return nil, errors.Annotatef(err, "log of %s", service)
		}
		for _, run := range log.Runs {
			if run.IdempotencyKey != "" && run.Started() {
				runs[run.IdempotencyKey]++
			}
		}
	}
	return runs, nil
}

// mismatches returns the mismatches sorted by key.
func (k *keyedOutcomes) mismatches(runs map[string]int) []keyMismatch {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := []keyMismatch{}
	for key, outcome := range k.outcomes {
		if !isConsistent(outcome, runs[key]) {
			list = append(list, keyMismatch{key, outcome.String(), runs[key]})
		}
	}
	slices.SortFunc(list, func(a, b keyMismatch) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// isConsistent reports whether a number of runs is possible, given the outcome that was
// reported to the caller: done means one run, not run means none, unknown at most one.
func isConsistent(outcome result.Outcome, runs int) bool {
	switch outcome {
	case result.Done:
		return runs == 1
	case result.NotRun:
		return runs == 0
	default:
		return runs <= 1
	}
}
