package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// Platform is the running stand-in of the platform. Its methods are what operators
// do with the platform's own tools.
type Platform struct {
	*Process
	Address netip.AddrPort
}

// Put publishes a value.
func (p *Platform) Put(ctx context.Context, path string, body []byte) error {
	return put(ctx, p.Address, path, body)
}

// put sends a body to a stand-in.
func put(ctx context.Context, address netip.AddrPort, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotatef(err, "put %s", path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("put %s: status %d", path, response.StatusCode)
	}
	return nil
}

// SetFault sets a fault of an upstream, in the JSON form of its page.
func (u *Upstream) SetFault(ctx context.Context, fault string) error {
	return put(ctx, u.Address, "/v1/faults", []byte(fault))
}

// SetLeaving makes an upstream say that it is leaving.
func (u *Upstream) SetLeaving(ctx context.Context) error {
	return put(ctx, u.Address, "/v1/leaving", []byte(`{"leaving":true}`))
}

// SetFault sets a fault of the platform, in the JSON form of its page.
func (p *Platform) SetFault(ctx context.Context, fault string) error {
	return put(ctx, p.Address, "/v1/faults", []byte(fault))
}

// PublishTable publishes the fleet's sheets as the revision after the last: the
// pages first, then the manifest that names them.
func (f *Fleet) PublishTable(ctx context.Context, note string) error {
	pages := table.Split(f.Sheets, table.PageBytes)
	for _, p := range pages {
		if err := f.publish(ctx, fetch.PageKey(p.Ref.Digest), p.Data); err != nil {
			return errors.Trace(err)
		}
	}
	manifest := table.NewManifest(f.Revision, "fleet", note, pages)
	f.Revision = manifest.Revision
	return f.publish(ctx, fetch.ManifestKey, manifest.Encode())
}

func (f *Fleet) publish(ctx context.Context, key fetch.Key, data []byte) error {
	return f.Platform.Put(ctx, "/v1/values/"+string(key), data)
}

// SetCell changes one cell of the fleet's sheets: in the row whose first cell is
// the given one. It returns a NotFound error for a cell that isn't there.
func (f *Fleet) SetCell(sheet table.SheetName, first, column, value string) error {
	for _, s := range f.Sheets {
		at := slices.Index(s.Columns(), column)
		row := slices.IndexFunc(s.Rows, func(r table.Record) bool { return r.Cells[0] == first })
		if s.Name == sheet && at >= 0 && row >= 0 {
			s.Rows[row].Cells[at] = value
			return nil
		}
	}
	return errors.NotFoundf("cell %s of row %s in sheet %s", column, first, sheet)
}

// PublishUpstreams publishes the lists of upstreams, one for each region.
func (f *Fleet) PublishUpstreams(ctx context.Context) error {
	lists := map[ident.Region][]upstreamRow{}
	for _, e := range f.plan.Entries {
		lists[e.Region] = []upstreamRow{}
	}
	for _, u := range f.Upstreams {
		row := upstreamRow{u.Plan.ID, u.Plan.Pool, u.Plan.Zone, u.Address, state(u.Leaving)}
		lists[u.Plan.Region] = append(lists[u.Plan.Region], row)
	}
	for region, rows := range lists {
		if err := f.publishJSON(ctx, fetch.UpstreamsKey(region), rows); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

type upstreamRow struct {
	ID      ident.Upstream `json:"id"`
	Pool    string         `json:"pool"`
	Zone    ident.Zone     `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   string         `json:"state"`
}

type entryRow struct {
	ID     ident.Instance `json:"id"`
	Zone   ident.Zone     `json:"zone"`
	Region ident.Region   `json:"region"`
	Peer   netip.AddrPort `json:"peer"`
	Caller netip.AddrPort `json:"caller"`
	Admin  netip.AddrPort `json:"admin"`
	State  string         `json:"state"`
}

// PublishEntries publishes the list of entries and the directory, without those of
// the given names.
func (f *Fleet) PublishEntries(ctx context.Context, without ...ident.Instance) error {
	rows := []entryRow{}
	directory := []netip.AddrPort{}
	for _, e := range f.Entries {
		if slices.Contains(without, e.Plan.ID) {
			continue
		}
		rows = append(rows, entryRow{e.Plan.ID, e.Plan.Zone, e.Plan.Region, e.peerAddress(), e.Caller, e.Admin, state(false)})
		directory = append(directory, e.Caller)
	}
	body, err := json.Marshal(directory)
	if err != nil {
		return errors.Trace(err)
	}
	if err := f.Platform.Put(ctx, "/v1/directory", body); err != nil {
		return errors.Trace(err)
	}
	return f.publishJSON(ctx, fetch.EntriesKey, rows)
}

func (f *Fleet) publishJSON(ctx context.Context, key fetch.Key, rows any) error {
	body, err := json.Marshal(rows)
	if err != nil {
		return errors.Trace(err)
	}
	return f.publish(ctx, key, body)
}

func state(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

// Runs returns the JSON log of what an upstream ran.
func (u *Upstream) Runs(ctx context.Context) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address.String()+"/v1/runs", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "runs of %s", u.Name)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return body, errors.Trace(err)
}
