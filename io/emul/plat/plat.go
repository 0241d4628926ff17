// Package plat is a stand-in for the platform: published values with revisions
// that can be read and watched, at a limited rate, and the directory for callers.
package plat

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
)

const (
	// DefaultReadRate is the number of reads a second over all readers.
	DefaultReadRate = 2000
	// maxValueBytes bounds a value.
	maxValueBytes = 1 << 20
	// maxHistory bounds the revisions of a value that an as-of read can reach.
	maxHistory = 32
	// maxWait bounds a watch.
	maxWait = 60 * time.Second
	// directoryKey is the value that /v1/directory serves.
	directoryKey = "directory"
)

// Settings of a platform.
type Settings struct {
	// ReadRate is in reads a second over all readers; 0 means DefaultRate.
	ReadRate int
	// FirstRevision is the revision before that of a value's first state. A platform
	// that takes the place of an earlier one starts above that one's revisions.
	FirstRevision ident.Revision
	// Clock is the machine's when nil.
	Clock clock.Clock
}

// state is one revision of a value. Its body is never changed.
type state struct {
	revision ident.Revision
	since    time.Time
	body     []byte
	// absent is set by a deletion.
	absent bool
}

// value is one published value.
type value struct {
	// states are in the order of their revisions, at most maxHistory.
	states []state
	// changed is closed and replaced when the value or the faults change.
	changed chan struct{}
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	settings Settings

	mu     sync.Mutex
	values map[string]*value
	faults Faults
	limit  bucket
	// reads counts by the kind of key, also the reads that were refused.
	reads   map[string]int
	refused int
	// watching is the number of watches that wait now.
	watching int
}

// New returns a platform without values.
func New(settings Settings) *Platform {
	if settings.ReadRate <= 0 {
		settings.ReadRate = DefaultReadRate
	}
	if settings.Clock == nil {
		settings.Clock = clock.System{}
	}
	return &Platform{settings: settings, values: map[string]*value{}, reads: map[string]int{}}
}

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/faults", p.serveFaults)
	router.HandleFunc("/v1/stats", p.serveStats).Methods(http.MethodGet)
	router.HandleFunc("/v1/directory", p.serveValue)
	router.HandleFunc("/v1/values/{key:.+}", p.serveValue)
	return router
}

// Put publishes a state of a value and returns its revision.
func (p *Platform) Put(key string, body []byte) ident.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.add(key, state{body: slices.Clone(body)})
}

// Delete removes a value; its revision grows all the same.
func (p *Platform) Delete(key string) ident.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.add(key, state{absent: true})
}

// Get returns the newest state of a value, whatever the faults, and false when
// there is none.
func (p *Platform) Get(key string) ([]byte, ident.Revision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.newest(key)
	return slices.Clone(newest.body), newest.revision, !newest.absent
}

// add appends a state. The lock is held.
func (p *Platform) add(key string, next state) ident.Revision {
	v := p.value(key)
	next.revision = max(p.newest(key).revision, p.settings.FirstRevision) + 1
	next.since = p.settings.Clock.Now()
	v.states = append(v.states, next)
	if len(v.states) > maxHistory {
		v.states = slices.Delete(v.states, 0, 1)
	}
	v.wake()
	return next.revision
}

// newest returns the newest state of the key, at revision 0 when it was never
// published. The lock is held.
func (p *Platform) newest(key string) state {
	v := p.values[key]
	if v == nil || len(v.states) == 0 {
		return state{absent: true}
	}
	return v.states[len(v.states)-1]
}

// visible returns the state that a reader sees under the faults. The lock is held.
func (p *Platform) visible(key string) state {
	if p.faults.FrozenAt.IsZero() {
		return p.newest(key)
	}
	visible := state{absent: true}
	for _, s := range p.value(key).states {
		if !s.since.After(p.faults.FrozenAt) {
			visible = s
		}
	}
	return visible
}

// value returns the value of the key, made when it is new. The lock is held.
func (p *Platform) value(key string) *value {
	v := p.values[key]
	if v == nil {
		v = &value{changed: make(chan struct{})}
		p.values[key] = v
	}
	return v
}

// wake makes the watches of the value look again. The lock is held.
func (v *value) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// keyKind returns the name under which reads of the key are counted: its first
// two parts without a region or digest, such as "table/page" or "list/upstreams".
func keyKind(key string) string {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) == 1 {
		return key
	}
	name, _, _ := strings.Cut(parts[1], "-")
	return parts[0] + "/" + name
}
