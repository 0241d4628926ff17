package bench

import (
	"context"
	"net/netip"
	"sync"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// entryCache caches the advice for each workspace.
type entryCache struct {
	client *Client
	// platform is optional.
	platform netip.AddrPort

	mu sync.Mutex
	// entries are asked round-robin.
	entries []netip.AddrPort
	// advice is keyed by workspace; each value lists at least one instance.
	advice    map[ident.Workspace]Advice
	lastIndex int
}

// find returns the cached advice for a workspace, or requests it. The advised instance is
// asked as well, since each instance issues its own key prefix.
func (p *entryCache) find(ctx context.Context, workspace ident.Workspace) (Advice, *result.Failure) {
	p.mu.Lock()
	advice, found := p.advice[workspace]
	p.mu.Unlock()
	if found {
		return advice, nil
	}
	advice, lastErr := p.askAll(ctx, workspace)
	if lastErr != nil && p.platform.IsValid() {
		if lastErr = p.readDirectory(ctx); lastErr == nil {
			advice, lastErr = p.askAll(ctx, workspace)
		}
	}
	if lastErr == nil {
		p.mu.Lock()
		p.advice[workspace] = advice
		p.mu.Unlock()
		return advice, nil
	}
	var failed *result.Failure
	if errors.As(lastErr, &failed) {
		failed.Outcome = result.NotRun // the request itself was not sent
		return Advice{}, failed
	}
	return Advice{}, &result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.ConnectFailed, Cause: lastErr}
}

// askAll asks the instances round-robin until one responds, and returns the last error if
// none does.
func (p *entryCache) askAll(ctx context.Context, workspace ident.Workspace) (Advice, error) {
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

// readDirectory replaces the list of instances by the platform's directory.
func (p *entryCache) readDirectory(ctx context.Context) error {
	entries, err := p.client.Directory(ctx, p.platform)
	if err != nil {
		return errors.Annotate(err, "directory")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
	return nil
}

// ask requests advice from the next instance, and again from the best instance of that
// advice if it is another one.
func (p *entryCache) ask(ctx context.Context, workspace ident.Workspace) (Advice, error) {
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

func (p *entryCache) nextEntry() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.entries) == 0 {
		return netip.AddrPort{}, errors.NotFoundf("entry to ask")
	}
	p.lastIndex++
	return p.entries[p.lastIndex%len(p.entries)], nil
}

// alternative returns the address of an instance that the workspace may use, selected
// round-robin by number, or the zero address if there is no cached advice.
func (p *entryCache) alternative(workspace ident.Workspace, number int) netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := p.advice[workspace].Entries
	if len(entries) == 0 {
		return netip.AddrPort{}
	}
	return entries[number%len(entries)].Address
}

// invalidate removes the advice for a workspace if the reason shows that it is outdated.
func (p *entryCache) invalidate(workspace ident.Workspace, reason result.Reason) {
	switch reason {
	case result.ConnectFailed, result.Draining, result.NotReady, result.PlaceForbidden,
		result.KeyExpired, result.KeyRequired, result.OwnerGone, result.OwnerUnreachable:
		p.mu.Lock()
		delete(p.advice, workspace)
		p.mu.Unlock()
	}
}
