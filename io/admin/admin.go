// Package admin implements the HTTP interface for operators: the status and the metrics of
// this instance, and the start of a drain. It changes no settings.
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

// Version is the version of the program.
const Version = "0.1.0"

// Handler holds the parts that the interface for operators works with. Its fields are set
// before the first use.
type Handler struct {
	Settings config.Entry
	Server   *entry.Server
	Loop     *loop.Loop
	Metrics  *metric.Set
	// Drain starts a graceful shutdown and returns at once.
	Drain func()
}

// Status is the reply to a status request.
type Status struct {
	Instance      ident.Instance `json:"instance"`
	Incarnation   string         `json:"incarnation"`
	Version       string         `json:"version"`
	Zone          ident.Zone     `json:"zone"`
	Region        ident.Region   `json:"region"`
	Phase         string         `json:"phase"`
	TableRevision ident.Revision `json:"table-revision"`
	TableDigest   string         `json:"table-digest"`
	// Candidate is a newer table revision whose pages are still being read.
	Candidate ident.Revision `json:"candidate,omitempty"`
	// Rejected is the table revision that was rejected last, and RejectionReason is the
	// reason.
	Rejected        ident.Revision `json:"refused,omitempty"`
	RejectionReason string         `json:"problem,omitempty"`
	// Conflict is the digest of another manifest with the active revision.
	Conflict          string         `json:"conflict,omitempty"`
	EntriesRevision   ident.Revision `json:"entries-list"`
	UpstreamsRevision ident.Revision `json:"upstreams-list"`
	Upstreams         int            `json:"upstreams"`
	// Reader is set when this instance watches the platform.
	Reader bool `json:"reader"`
	// PlatformDown is set when the newest reads of the platform failed.
	PlatformDown bool     `json:"platform-down"`
	InFlight     int64    `json:"in-flight"`
	Records      int      `json:"records"`
	Members      []Member `json:"members"`
	Regions      []Region `json:"regions"`
}

// Member is the state of another instance of the region as this instance sees it.
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

// Region is the state of another region as this instance sees it.
type Region struct {
	Name          ident.Region   `json:"region"`
	Fresh         bool           `json:"fresh"`
	ReadyCount    int            `json:"ready"`
	TableRevision ident.Revision `json:"table-revision"`
	// SpareSlots is what the region last offered for all models and plain services together.
	SpareSlots float64 `json:"spare-slots"`
}

// Router returns the handler of all paths, and registers the metrics of the instance.
func (h *Handler) Router() http.Handler {
	h.registerMetrics()
	r := mux.NewRouter()
	r.Path("/v1/status").Methods(http.MethodGet).HandlerFunc(h.status)
	r.Path("/v1/drain").Methods(http.MethodPost).HandlerFunc(h.drain)
	r.Path("/debug/vars").Methods(http.MethodGet).Handler(h.Metrics)
	return r
}

func (h *Handler) registerMetrics() {
	h.Metrics.Func("table-revision", func() any { return tableRevision(h.Loop.View()) })
	h.Metrics.Func("phase", func() any { return h.Loop.View().Phase.String() })
	h.Metrics.Func("records", h.recordUsage)
	h.Metrics.Func("gates", func() any { return h.Server.Gates.Loads() })
}

// recordUsage returns the number and size of the dedup records.
func (h *Handler) recordUsage() any {
	u := h.Server.Records.Usage()
	return struct {
		Held      int `json:"held"`
		Running   int `json:"running"`
		Bytes     int `json:"bytes"`
		TakenOver int `json:"taken-over"`
	}{u.Records, u.Running, u.Bytes, u.Imports}
}

func tableRevision(v *node.View) ident.Revision {
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
	// The table is read from the view because requests are decided on it.
	if v.Table != nil {
		s.TableRevision = v.Table.Version().Revision
		s.TableDigest = string(v.Table.Version().Digest)
	}
	err := h.Loop.Query(r.Context(), func(n *node.Node) { s.addFetchStatus(n) })
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, struct {
			Problem string `json:"problem"`
		}{"the control loop does not respond"})
		return
	}
	s.addMembers(v)
	writeJSON(w, http.StatusOK, s)
}

func (s *Status) addFetchStatus(n *node.Node) {
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
		s.RejectionReason = "its revision is not its base plus 1; publish again, from the active table"
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
		s.Regions = append(s.Regions, Region{
			Name:          r.Name,
			Fresh:         r.Fresh,
			ReadyCount:    r.ReadyCount,
			TableRevision: r.TableRevision,
			SpareSlots:    v.SpareSlots(r.Name),
		})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
