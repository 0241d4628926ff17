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
	// platform may be the zero address.
	platform netip.AddrPort

	mu sync.Mutex
	// entries are asked in turn.
	entries []netip.AddrPort
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
	advice, last := p.askAll(ctx, workspace)
	if last != nil && p.platform.IsValid() {
		if last = p.readDirectory(ctx); last == nil {
			advice, last = p.askAll(ctx, workspace)
		}
	}
	if last == nil {
		p.mu.Lock()
		p.known[workspace] = advice
		p.mu.Unlock()
		return advice, nil
	}
	var failed *result.Failure
	if errors.As(last, &failed) {
		failed.Outcome = result.NotRun // the request itself was not sent
		return Advice{}, failed
	}
	return Advice{}, &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.ConnectFailed, Cause: last}
}

// askAll asks the entries in turn until one answers, and returns the error of the
// last one.
func (p *places) askAll(ctx context.Context, workspace ident.Workspace) (Advice, error) {
	p.mu.Lock()
	count := len(p.entries)
	p.mu.Unlock()
	err := errors.NotFoundf("entry to ask")
	var advice Advice
	for i := 0; i < count && err != nil; i++ {
		advice, err = p.ask(ctx, workspace)
	}
	return advice, err
}

// readDirectory replaces the entries by those in the platform's directory.
func (p *places) readDirectory(ctx context.Context) error {
	entries, err := p.client.Directory(ctx, p.platform)
	if err != nil {
		return errors.Annotate(err, "directory")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
	return nil
}

// ask asks the next entry.
func (p *places) ask(ctx context.Context, workspace ident.Workspace) (Advice, error) {
	first, err := p.nextEntry()
	if err != nil {
		return Advice{}, err
	}
	advice, err := p.client.FetchAdvice(ctx, first, workspace)
	if err != nil {
		return advice, errors.Trace(err)
	}
	if len(advice.Entries) == 0 {
		return advice, errors.NotFoundf("entry for workspace %s", workspace)
	}
	if advice.Entries[0].Address == first {
		return advice, nil
	}
	advice, err = p.client.FetchAdvice(ctx, advice.Entries[0].Address, workspace)
	if err == nil && len(advice.Entries) == 0 {
		err = errors.NotFoundf("entry for workspace %s", workspace)
	}
	return advice, errors.Trace(err)
}

func (p *places) nextEntry() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) == 0 {
		return netip.AddrPort{}, errors.NotFoundf("entry to ask")
	}
	p.turn++
	return p.entries[p.turn%len(p.entries)], nil
}

// other returns the address of an entry that the workspace may use, going round
// by the number, or the zero address when none is known.
func (p *places) other(workspace ident.Workspace, number int) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := p.known[workspace].Entries
	if len(entries) == 0 {
		return netip.AddrPort{}
	}
	return entries[number%len(entries)].Address
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
