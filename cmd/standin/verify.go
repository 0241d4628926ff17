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

// keyEnds collects what the callers of keyed calls were told.
type keyEnds struct {
	mu sync.Mutex
	// told has each key with the outcome that its caller was told.
	told map[string]result.Outcome
}

func newKeyEnds() *keyEnds {
	return &keyEnds{told: map[string]result.Outcome{}}
}

// add takes the end of one request.
func (k *keyEnds) add(q *bench.Request, _ bench.Answer, f *result.Failure) {
	if q.IdempotencyKey == "" {
		return
	}
	outcome := result.Done
	if f != nil {
		outcome = f.Outcome
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told[q.IdempotencyKey] = outcome
}

// keyFault is a keyed call that ran another number of times than its caller may
// conclude from what it was told.
type keyFault struct {
	Key  string `json:"key"`
	Told string `json:"told"`
	Ran  int    `json:"ran"`
}

// runsByKey reads from the logs of the services how often each key ran.
func runsByKey(ctx context.Context, client *bench.Client, services []netip.AddrPort) (map[string]int, error) {
	ran := map[string]int{}
	for _, service := range services {
		var log struct {
			Runs []emul.Run `json:"runs"`
		}
		if err := client.GetJSON(ctx, service, "/v1/runs", &log); err != nil {
			return nil, errors.Annotatef(err, "log of %s", service)
		}
		for _, run := range log.Runs {
			if run.IdempotencyKey != "" && run.Started() {
				ran[run.IdempotencyKey]++
			}
		}
	}
	return ran, nil
}

// compare returns the faults in the order of their keys.
func (k *keyEnds) compare(ran map[string]int) []keyFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	faults := []keyFault{}
	for key, told := range k.told {
		if !agrees(told, ran[key]) {
			faults = append(faults, keyFault{key, told.String(), ran[key]})
		}
	}
	slices.SortFunc(faults, func(a, b keyFault) int { return strings.Compare(a.Key, b.Key) })
	return faults
}

// agrees reports whether a call may have run that many times, given the outcome
// that its caller was told.
func agrees(told result.Outcome, times int) bool {
	switch told {
	case result.Done:
		return times == 1
	case result.NotRun:
		return times == 0
	default:
		return times <= 1
	}
}
