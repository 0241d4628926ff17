package fleet

import (
	"context"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/io/admin"
	"arbutustrestle/io/cmds"
)

// pollInterval is the time between two looks at a state that is waited for.
const pollInterval = 50 * time.Millisecond

// PollUntil looks at a state again and again until it is as wanted, or the context ends.
// look returns nil once it is; the last of its errors is returned otherwise.
func PollUntil(ctx context.Context, look func() error) error {
	for {
		err := look()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(err, "waited in vain")
		case <-time.After(pollInterval):
		}
	}
}

// WaitTableActive waits until the published table is in force on all listed instances, and
// returns its revision.
func (f *Fleet) WaitTableActive(ctx context.Context) (ident.Revision, error) {
	var revision ident.Revision
	err := PollUntil(ctx, func() error {
		shown, missing, err := cmds.Unconfirmed(ctx, f.Platform.Address)
		if err == nil && len(missing) > 0 {
			err = errors.Errorf("%v", missing)
		}
		revision = shown
		return err
	})
	return revision, errors.Trace(err)
}

// WaitReady waits until each running entry is ready and sees all other running ones
// as ready and usable, and the other regions as fresh.
func (f *Fleet) WaitReady(ctx context.Context) error {
	return PollUntil(ctx, func() error {
		for _, e := range f.Entries {
			if e.Process == nil || e.Exited() {
				continue
			}
			status, err := cmds.FetchStatus(ctx, e.Admin)
			if err != nil {
				return errors.Trace(err)
			}
			if err := f.settled(status); err != nil {
				return errors.Annotate(err, e.Name)
			}
		}
		return nil
	})
}

func (f *Fleet) settled(s admin.Status) error {
	if s.Phase != member.Ready.String() {
		return errors.Errorf("is %s", s.Phase)
	}
	seen := map[ident.Instance]bool{}
	for _, m := range s.Members {
		seen[m.Instance] = m.Phase == member.Ready.String() && m.Usable
	}
	ready := map[ident.Region]int{}
	for _, r := range s.Regions {
		if r.Fresh {
			ready[r.Name] = r.ReadyCount
		}
	}
	running := map[ident.Region]int{}
	for _, e := range f.Entries {
		if e.Process == nil || e.Exited() {
			continue
		}
		running[e.Plan.Region]++
		if e.Plan.Region == s.Region && e.Plan.ID != s.Instance && !seen[e.Plan.ID] {
			return errors.Errorf("does not see %s as ready", e.Plan.ID)
		}
	}
	for region, count := range running {
		if region != s.Region && ready[region] != count {
			return errors.Errorf("sees %d ready entries in %s, not %d", ready[region], region, count)
		}
	}
	return nil
}
