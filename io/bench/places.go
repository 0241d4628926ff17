package bench

import (
	"context"
	"net/netip"
	"sync"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// places remembers which entry each workspace was told to use.
type places struct {
	client *Client
	// entries are asked in turn.
	entries []netip.AddrPort

	mu sync.Mutex
	// known holds advice with at least one entry.
	known map[ident.Workspace]Advice
	turn  int
}

// find returns the advice for a workspace, asked for when there is none. The
// advised entry is asked in its turn, since the prefix of keys is its own.
func (p *places) find(ctx context.Context, workspace ident.Workspace) (Advice, *result.Failure) {
	p.mu.Lock()
	advice, found := p.known[workspace]
	p.mu.Unlock()
	if found {
		return advice, nil
	}
	var last error
	for range p.entries {
		advice, last = p.ask(ctx, workspace)
		if last == nil {
			p.mu.Lock()
			p.known[workspace] = advice
			p.mu.Unlock()
			return advice, nil
		}
	}
	var failed *result.Failure
	if errors.As(last, &failed) {
		return Advice{}, failed
	}
	return Advice{}, &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.ConnectFailed, Cause: last}
}

func (p *places) ask(ctx context.Context, workspace ident.Workspace) (Advice, error) {
	p.mu.Lock()
	first := p.entries[p.turn%len(p.entries)]
	p.turn++
	p.mu.Unlock()
	advice, err := p.client.Ask(ctx, first, workspace)
	if err != nil {
		return advice, errors.Trace(err)
	}
	if len(advice.Entries) == 0 {
		return advice, errors.NotFoundf("entry for workspace %s", workspace)
	}
	if advice.Entries[0].Address == first {
		return advice, nil
	}
	advice, err = p.client.Ask(ctx, advice.Entries[0].Address, workspace)
	if err == nil && len(advice.Entries) == 0 {
		err = errors.NotFoundf("entry for workspace %s", workspace)
	}
	return advice, errors.Trace(err)
}

// learn forgets the advice for a workspace when the reason says that it no longer
// holds.
func (p *places) learn(workspace ident.Workspace, reason result.Reason) {
	switch reason {
	case result.ConnectFailed, result.Draining, result.NotReady, result.PlaceForbidden,
		result.KeyExpired, result.KeyRequired, result.OwnerGone, result.OwnerUnreachable:
		p.mu.Lock()
		delete(p.known, workspace)
		p.mu.Unlock()
	}
}
