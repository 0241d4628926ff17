// Package plat is a stand-in for the platform, for tests: published values with
// revisions that can be read and watched, at a limited rate, and the directory for
// callers.
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
	// DefaultReadRate is in reads per second over all readers.
	DefaultReadRate = 2000
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1 << 20
	// maxHistory is the number of revisions kept of each value, for reads while
	// Faults.FrozenAt is set.
	maxHistory = 32
	// maxWait is the maximum duration of a watch.
	maxWait = 60 * time.Second
	// directoryKey is the key of the value that /v1/directory serves.
	directoryKey = "directory"
)

// Settings holds the read rate, the first revision and the clock of a platform.
type Settings struct {
	// ReadRate is in reads per second over all readers; 0 means DefaultReadRate.
	ReadRate int
	// FirstRevision is one less than the first revision of each value. A platform that
	// replaces an earlier one starts above the revisions of the earlier one.
	FirstRevision ident.Revision
	// Clock defaults to the system clock.
	Clock clock.Clock
}

// valueRevision is one revision of a value. Its body is immutable.
type valueRevision struct {
	revision ident.Revision
	since    time.Time
	body     []byte
	// absent is set if the value was deleted or never published.
	absent bool
}

// value is the history of a published value.
type value struct {
	// revisions is in ascending order and holds at most maxHistory elements.
	revisions []valueRevision
	// changed is closed and replaced on each change of the value or of the faults.
	changed chan struct{}
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	settings Settings

	mu        sync.Mutex
	values    map[string]*value
	faults    Faults
	readLimit tokenBucket
	// reads counts the reads by kind of key, including the refused ones.
	reads   map[string]int
	refused int
	// watching is the number of watches that are waiting.
	watching int
}

// New returns a platform that has no values.
func New(settings Settings) *Platform {
	if settings.ReadRate <= 0 {
		settings.ReadRate = DefaultReadRate
	}
	if settings.Clock == nil {
		settings.Clock = clock.System{}
	}
	return &Platform{settings: settings, values: map[string]*value{}, reads: map[string]int{}}
}

// Handler serves the platform's protocol and the control paths of the stand-in.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/faults", p.serveFaults)
	router.HandleFunc("/v1/stats", p.serveStats).Methods(http.MethodGet)
	router.HandleFunc("/v1/directory", p.serveValue)
	router.HandleFunc("/v1/values/{key:.+}", p.serveValue)
	return router
}

// Put publishes a value and returns its new revision.
func (p *Platform) Put(key string, body []byte) ident.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendRevision(key, valueRevision{body: slices.Clone(body)})
}

// Delete removes a value and returns its new revision. A deletion increments the
// revision too.
func (p *Platform) Delete(key string) ident.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendRevision(key, valueRevision{absent: true})
}

// Get returns the newest body and revision of a value, regardless of the faults. It
// returns false if the value is absent.
func (p *Platform) Get(key string) ([]byte, ident.Revision, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.newest(key)
	return slices.Clone(newest.body), newest.revision, !newest.absent
}

// appendRevision adds a revision of a value and notifies its watches. The lock is
// held.
func (p *Platform) appendRevision(key string, next valueRevision) ident.Revision {
	v := p.value(key)
	next.revision = max(p.newest(key).revision, p.settings.FirstRevision) + 1
	next.since = p.settings.Clock.Now()
	v.revisions = append(v.revisions, next)
	if len(v.revisions) > maxHistory {
		v.revisions = slices.Delete(v.revisions, 0, 1)
	}
	v.notify()
	return next.revision
}

// newest returns the newest revision of the key, or revision 0 if it was never
// published. The lock is held.
func (p *Platform) newest(key string) valueRevision {
	v := p.values[key]
	if v == nil || len(v.revisions) == 0 {
		return valueRevision{absent: true}
	}
	return v.revisions[len(v.revisions)-1]
}

// visible returns the revision that readers see under the active faults. The lock is
// held.
func (p *Platform) visible(key string) valueRevision {
	if p.faults.FrozenAt.IsZero() {
		return p.newest(key)
	}
	visible := valueRevision{absent: true}
	for _, s := range p.value(key).revisions {
		if !s.since.After(p.faults.FrozenAt) {
			visible = s
		}
	}
	return visible
}

// value returns the value of the key, and creates it if it is new. The lock is held.
func (p *Platform) value(key string) *value {
	v := p.values[key]
	if v == nil {
		v = &value{changed: make(chan struct{})}
		p.values[key] = v
	}
	return v
}

// notify makes the watches of the value check it again. The lock is held.
func (v *value) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// keyKind returns the kind of key under which a read is counted: the first two parts
// of the key without region or digest, such as "table/page" or "list/upstreams".
func keyKind(key string) string {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) == 1 {
		return key
	}
	name, _, _ := strings.Cut(parts[1], "-")
	return parts[0] + "/" + name
}
