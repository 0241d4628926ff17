// Package admin serves operators: what is in force on this instance, its counters,
// and its drain. It changes no settings.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/node"
	"arbutustrestle/io/config"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/loop"
	"arbutustrestle/io/metric"
)

// Version is that of the program.
const Version = "0.1.0"

// Handler serves the operators' interface. Its fields are set before the first use.
type Handler struct {
	Settings config.Entry
	Server   *entry.Server
	Loop     *loop.Loop
	Metrics  *metric.Set
	// Drain begins a graceful shutdown and returns at once.
	Drain func()
}

// Status is what an instance says of itself.
type Status struct {
	Instance      ident.Instance `json:"instance"`
	Incarnation   string         `json:"incarnation"`
	Version       string         `json:"version"`
	Zone          ident.Zone     `json:"zone"`
	Region        ident.Region   `json:"region"`
	Phase         string         `json:"phase"`
	TableRevision ident.Revision `json:"table-revision"`
	TableDigest   string         `json:"table-digest"`
	// Candidate is a newer revision whose pages are still being read.
	Candidate ident.Revision `json:"candidate,omitempty"`
	// Rejected is the revision refused last; Problem says why.
	Rejected        ident.Revision `json:"refused,omitempty"`
	RejectionReason string         `json:"problem,omitempty"`
	// Conflict is the digest of another manifest with the revision in force.
	Conflict          string         `json:"conflict,omitempty"`
	EntriesRevision   ident.Revision `json:"entries-list"`
	UpstreamsRevision ident.Revision `json:"upstreams-list"`
	Upstreams         int            `json:"upstreams"`
	Reader            bool           `json:"reader"`
	PlatformDown      bool           `json:"platform-down"`
	InFlight          int64          `json:"in-flight"`
	Records           int            `json:"records"`
	Members           []Member       `json:"members"`
	Regions           []Region       `json:"regions"`
}

// Member is another entry of the region as this one sees it.
type Member struct {
	Instance      ident.Instance `json:"instance"`
	Incarnation   string         `json:"incarnation"`
	Admin         string         `json:"admin"`
	Status        string         `json:"status"`
	Phase         string         `json:"phase"`
	Usable        bool           `json:"usable"`
	Leaving       bool           `json:"leaving"`
	TableRevision ident.Revision `json:"table-revision"`
}

// Region is another region as this instance sees it.
type Region struct {
	Name          ident.Region   `json:"region"`
	Fresh         bool           `json:"fresh"`
	ReadyCount    int            `json:"ready"`
	TableRevision ident.Revision `json:"table-revision"`
}

// Router returns the operators' interface.
func (h *Handler) Router() http.Handler {
	h.publishMetrics()
	r := mux.NewRouter()
	r.Path("/v1/status").Methods(http.MethodGet).HandlerFunc(h.status)
	r.Path("/v1/drain").Methods(http.MethodPost).HandlerFunc(h.drain)
	r.Path("/debug/vars").Methods(http.MethodGet).Handler(h.Metrics)
	return r
}

func (h *Handler) publishMetrics() {
	h.Metrics.Func("table-revision", func() any { return revisionOf(h.Loop.View()) })
	h.Metrics.Func("phase", func() any { return h.Loop.View().Phase.String() })
	h.Metrics.Func("records", h.records)
	h.Metrics.Func("gates", func() any { return h.Server.Gates.Loads() })
}

// records shows how full the records of keyed calls are.
func (h *Handler) records() any {
	u := h.Server.Records.Usage()
	return struct {
		Held      int `json:"held"`
		Running   int `json:"running"`
		Bytes     int `json:"bytes"`
		TakenOver int `json:"taken-over"`
	}{u.Records, u.Running, u.Bytes, u.Imports}
}

func revisionOf(v *node.View) ident.Revision {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version().Revision
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.Drain()
	writeJSON(w, http.StatusAccepted, struct {
		Instance ident.Instance `json:"instance"`
		Draining bool           `json:"draining"`
	}{h.Settings.ID, true})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	v := h.Loop.View()
	s := Status{
		Instance:    h.Settings.ID,
		Incarnation: v.Self.String(),
		Version:     Version,
		Zone:        h.Settings.Zone,
		Region:      h.Settings.Region,
		Phase:       v.Phase.String(),
		Upstreams:   v.UpstreamCount(),
		InFlight:    h.Metrics.InFlight.Value(),
		Records:     h.Server.Records.Usage().Records,
	}
	// The table of the view is what requests are decided on.
	if v.Table != nil {
		s.TableRevision = v.Table.Version().Revision
		s.TableDigest = string(v.Table.Version().Digest)
	}
	err := h.Loop.Query(r.Context(), func(n *node.Node) { s.addFeed(n) })
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, struct {
			Problem string `json:"problem"`
		}{"the control state does not answer"})
		return
	}
	s.addMembers(v)
	writeJSON(w, http.StatusOK, s)
}

func (s *Status) addFeed(n *node.Node) {
	f := n.FetchStatus()
	s.Candidate = f.Candidate.Revision
	s.Rejected = f.Rejected.Revision
	s.Conflict = string(f.Conflict.Digest)
	s.Reader = f.Reader
	s.PlatformDown = f.PlatformDown
	s.EntriesRevision = f.Revisions.Entries
	s.UpstreamsRevision = f.Revisions.Upstreams
	switch {
	case f.RejectionError != nil:
		s.RejectionReason = f.RejectionError.Error()
	case f.Rejected.Revision != 0:
		s.RejectionReason = "its revision is not its base plus 1; publish again, from the table in force"
	}
}

func (s *Status) addMembers(v *node.View) {
	for _, m := range v.Members.Members() {
		if m.Entry.ID == s.Instance {
			continue
		}
		s.Members = append(s.Members, Member{
			Instance:      m.Entry.ID,
			Incarnation:   m.Incarnation().String(),
			Admin:         m.Entry.Admin.String(),
			Status:        m.Status.String(),
			Phase:         m.Phase.String(),
			Usable:        m.Usable,
			Leaving:       m.Leaving,
			TableRevision: m.Revisions.Table,
		})
	}
	for _, r := range v.Members.Regions() {
		s.Regions = append(s.Regions, Region{Name: r.Name, Fresh: r.Fresh, ReadyCount: r.ReadyCount, TableRevision: r.TableRevision})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
