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

// pollInterval is the interval between checks of an awaited condition.
const pollInterval = 50 * time.Millisecond

// PollUntil calls check repeatedly until it returns nil or the context ends. In the
// latter case it returns the last error of check.
func PollUntil(ctx context.Context, check func() error) error {
	for {
		err := check()
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

// WaitTableActive waits until the published table is active on all listed instances, and
// returns its revision.
func (f *Fleet) WaitTableActive(ctx context.Context) (ident.Revision, error) {
	var revision ident.Revision
	err := PollUntil(ctx, func() error {
		published, missing, err := cmds.Unconfirmed(ctx, f.Platform.Address)
		if err == nil && len(missing) > 0 {
			err = errors.Errorf("%v", missing)
		}
		revision = published
		return err
	})
	return revision, errors.Trace(err)
}

// WaitReady waits until each running instance is ready, lists all other running instances
// of its region as ready and usable, and has up-to-date counts of the ready instances in
// the other regions.
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
			if err := f.checkReady(status); err != nil {
				return errors.Annotate(err, e.Name)
			}
		}
		return nil
	})
}

func (f *Fleet) checkReady(s admin.Status) error {
	if s.Phase != member.Ready.String() {
		return errors.Errorf("phase is %s", s.Phase)
	}
	usable := map[ident.Instance]bool{}
	for _, m := range s.Members {
		usable[m.Instance] = m.Phase == member.Ready.String() && m.Usable
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
		if e.Plan.Region == s.Region && e.Plan.ID != s.Instance && !usable[e.Plan.ID] {
			return errors.Errorf("does not list %s as ready and usable", e.Plan.ID)
		}
	}
	for region, count := range running {
		if region != s.Region && ready[region] != count {
			return errors.Errorf("lists %d ready instances in %s, want %d", ready[region], region, count)
		}
	}
	return nil
}
