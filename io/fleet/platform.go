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

// Platform is the running stand-in of the platform. Its methods correspond to the
// operations of the platform's own tools.
type Platform struct {
	*Process
	Address netip.AddrPort
}

// Put publishes a value.
func (p *Platform) Put(ctx context.Context, path string, body []byte) error {
	return put(ctx, p.Address, path, body)
}

// put sends a PUT request to a stand-in.
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

// SetFault sets a fault of an upstream, in the JSON format of its /v1/faults page.
func (u *Upstream) SetFault(ctx context.Context, fault string) error {
	return put(ctx, u.Address, "/v1/faults", []byte(fault))
}

// SetLeaving makes an upstream report that it is leaving.
func (u *Upstream) SetLeaving(ctx context.Context) error {
	return put(ctx, u.Address, "/v1/leaving", []byte(`{"leaving":true}`))
}

// SetFault sets a fault of the platform, in the JSON format of its /v1/faults page.
func (p *Platform) SetFault(ctx context.Context, fault string) error {
	return put(ctx, p.Address, "/v1/faults", []byte(fault))
}

// PublishTable publishes the fleet's sheets as the next revision: the pages first, then
// the manifest that refers to them.
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

// SetCell changes one cell of the fleet's sheets, in the row whose first cell equals
// rowKey. It returns a NotFound error if the cell does not exist.
func (f *Fleet) SetCell(sheet table.SheetName, rowKey, column, value string) error {
	for _, s := range f.Sheets {
		index := slices.Index(s.Columns(), column)
		row := slices.IndexFunc(s.Rows, func(r table.Record) bool { return r.Cells[0] == rowKey })
		if s.Name == sheet && index >= 0 && row >= 0 {
			s.Rows[row].Cells[index] = value
			return nil
		}
	}
	return errors.NotFoundf("cell %s of row %s in sheet %s", column, rowKey, sheet)
}

// PublishUpstreams publishes one list of upstreams per region.
func (f *Fleet) PublishUpstreams(ctx context.Context) error {
	lists := map[ident.Region][]upstreamRow{}
	for _, e := range f.plan.Entries {
		lists[e.Region] = []upstreamRow{}
	}
	for _, u := range f.Upstreams {
		row := upstreamRow{u.Plan.ID, u.Plan.Pool, u.Plan.Zone, u.Address, listState(u.Leaving)}
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

// PublishEntries publishes the list of instances and the directory, without the given
// instances.
func (f *Fleet) PublishEntries(ctx context.Context, without ...ident.Instance) error {
	rows := []entryRow{}
	directory := []netip.AddrPort{}
	for _, e := range f.Entries {
		if slices.Contains(without, e.Plan.ID) {
			continue
		}
		rows = append(rows, entryRow{e.Plan.ID, e.Plan.Zone, e.Plan.Region, e.peerAddress(), e.Caller, e.Admin, listState(false)})
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

func listState(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "live"
}

// Runs returns an upstream's log of executed requests, in JSON.
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
