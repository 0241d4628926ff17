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
func (c *entryCache) find(ctx context.Context, workspace ident.Workspace) (Advice, *result.Failure) {
	c.mu.Lock()
	advice, found := c.advice[workspace]
	c.mu.Unlock()
	if found {
		return advice, nil
	}
	advice, lastErr := c.askAll(ctx, workspace)
	if lastErr != nil && c.platform.IsValid() {
		if lastErr = c.readDirectory(ctx); lastErr == nil {
			advice, lastErr = c.askAll(ctx, workspace)
		}
	}
	if lastErr == nil {
		c.mu.Lock()
		c.advice[workspace] = advice
		c.mu.Unlock()
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
func (c *entryCache) askAll(ctx context.Context, workspace ident.Workspace) (Advice, error) {
	c.mu.Lock()
	count := len(c.entries)
	c.mu.Unlock()
	err := errors.NotFoundf("entry to ask")
	var advice Advice
	for i := 0; i < count && err != nil; i++ {
		advice, err = c.ask(ctx, workspace)
	}
	return advice, err
}

// readDirectory replaces the list of instances by the platform's directory.
func (c *entryCache) readDirectory(ctx context.Context) error {
	entries, err := c.client.Directory(ctx, c.platform)
	if err != nil {
		return errors.Annotate(err, "directory")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = entries
	return nil
}

// ask requests advice from the next instance, and again from the best instance of that
// advice if it is another one.
func (c *entryCache) ask(ctx context.Context, workspace ident.Workspace) (Advice, error) {
	first, err := c.nextEntry()
	if err != nil {
		return Advice{}, err
	}
	advice, err := c.client.FetchAdvice(ctx, first, workspace)
	if err != nil {
		return advice, errors.Trace(err)
	}
	if len(advice.Entries) == 0 {
		return advice, errors.NotFoundf("entry for workspace %s", workspace)
	}
	if advice.Entries[0].Address == first {
		return advice, nil
	}
	advice, err = c.client.FetchAdvice(ctx, advice.Entries[0].Address, workspace)
	if err == nil && len(advice.Entries) == 0 {
		err = errors.NotFoundf("entry for workspace %s", workspace)
	}
	return advice, errors.Trace(err)
}

func (c *entryCache) nextEntry() (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 {
		return netip.AddrPort{}, errors.NotFoundf("entry to ask")
	}
	c.lastIndex++
	return c.entries[c.lastIndex%len(c.entries)], nil
}

// alternative returns the address of an instance that the workspace may use, selected
// round-robin by number, or the zero address if there is no cached advice.
func (c *entryCache) alternative(workspace ident.Workspace, number int) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.advice[workspace].Entries
	if len(entries) == 0 {
		return netip.AddrPort{}
	}
	return entries[number%len(entries)].Address
}

// invalidate removes the advice for a workspace if the reason shows that it is outdated.
func (c *entryCache) invalidate(workspace ident.Workspace, reason result.Reason) {
	switch reason {
	case result.ConnectFailed, result.Draining, result.NotReady, result.PlaceForbidden,
		result.KeyExpired, result.KeyRequired, result.OwnerGone, result.OwnerUnreachable:
		c.mu.Lock()
		delete(c.advice, workspace)
		c.mu.Unlock()
	}
}
