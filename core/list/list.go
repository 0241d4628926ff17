// Package list parses the platform's lists of instances and of upstreams.
package list

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// Upstream is one replica of a model engine or a plain service on the platform's list.
type Upstream struct {
	ID      ident.Upstream
	Pool    string
	Zone    ident.Zone
	Address netip.AddrPort
	Leaving bool
}

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// ParseEntries parses the value list/entries. A list with one invalid row is rejected
// as a whole: with a part of the list, the other instances would seem to have left.
func ParseEntries(body []byte) ([]member.Entry, error) {
	var rows []struct {
		ID     string         `json:"id"`
		Zone   string         `json:"zone"`
		Region string         `json:"region"`
		Peer   netip.AddrPort `json:"peer"`
		Caller netip.AddrPort `json:"caller"`
		Admin  netip.AddrPort `json:"admin"`
		State  string         `json:"state"`
	}
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, errors.Annotate(err, "list of entries")
	}
	entries := make([]member.Entry, 0, len(rows))
	for i, r := range rows {
		if !ident.ValidName(r.ID) || !ident.ValidName(r.Zone) || !ident.ValidName(r.Region) || !r.Peer.IsValid() {
			return nil, errors.NotValidf("row %d of the list of entries", i)
		}
		leaving, err := parseState(r.State)
		if err != nil {
			return nil, errors.Annotatef(err, "row %d of the list of entries", i)
		}
		entries = append(entries, member.Entry{
			ID: ident.Instance(r.ID), Zone: ident.Zone(r.Zone), Region: ident.Region(r.Region),
			Peer: r.Peer, Caller: r.Caller, Admin: r.Admin, Leaving: leaving,
		})
	}
	return entries, nil
}

// ParseUpstreams parses a value list/upstreams-<region>; a list with one invalid row
// is rejected as a whole.
func ParseUpstreams(body []byte) ([]Upstream, error) {
	var rows []struct {
		ID      string         `json:"id"`
		Pool    string         `json:"pool"`
		Zone    string         `json:"zone"`
		Address netip.AddrPort `json:"address"`
		State   string         `json:"state"`
	}
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, errors.Annotate(err, "list of upstreams")
	}
	upstreams := make([]Upstream, 0, len(rows))
	for i, r := range rows {
		if !ident.ValidName(r.ID) || !ident.ValidName(r.Pool) || !ident.ValidName(r.Zone) || !r.Address.IsValid() {
			return nil, errors.NotValidf("row %d of the list of upstreams", i)
		}
		leaving, err := parseState(r.State)
		if err != nil {
			return nil, errors.Annotatef(err, "row %d of the list of upstreams", i)
		}
		upstreams = append(upstreams, Upstream{
			ID: ident.Upstream(r.ID), Pool: r.Pool, Zone: ident.Zone(r.Zone), Address: r.Address, Leaving: leaving,
		})
	}
	return upstreams, nil
}

func parseState(state string) (leaving bool, err error) {
	switch state {
	case stateLive:
		return false, nil
	case stateLeaving:
		return true, nil
	default:
		return false, errors.NotValidf("state %q", state)
	}
}
