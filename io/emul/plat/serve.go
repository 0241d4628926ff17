package plat

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
)

// serveValue answers reads, watches and writes of one value.
func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	if key == "" {
		key = directoryKey
	}
	if p.meetFault(w, r) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		p.read(w, r, key)
	case http.MethodPut, http.MethodDelete:
		p.write(w, r, key)
	default:
		w.Header().Set("Allow", "GET, PUT, DELETE")
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// read answers a get, or a watch when "after" is given.
func (p *Platform) read(w http.ResponseWriter, r *http.Request, key string) {
	if pause := p.count(key); pause > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(pause.Seconds()))))
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	if !query.Has("after") {
		p.mu.Lock()
		seen := p.visible(key)
		p.mu.Unlock()
		answer(w, seen)
		return
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	var wait time.Duration
	if query.Has("wait") {
		wait, err = time.ParseDuration(query.Get("wait"))
	}
	if err != nil || wait < 0 || wait > maxWait {
		http.Error(w, "wait is not a duration from 0s to "+maxWait.String(), http.StatusBadRequest)
		return
	}
	p.watch(w, r, key, ident.Revision(after), wait)
}

// watch answers once the revision is above after, else 304 at the end of the wait.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string, after ident.Revision, wait time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	p.addWatching(1)
	defer p.addWatching(-1)
	for {
		p.mu.Lock()
		seen, changed := p.visible(key), p.value(key).changed
		down := p.faults.Outage
		p.mu.Unlock()
		if down != "" {
			fault.ResetConn(w)
			return
		}
		if seen.revision > after {
			answer(w, seen)
			return
		}
		select {
		case <-changed:
		case <-emul.Stopping(ctx):
			fault.Close(w)
			return
		case <-ctx.Done():
			w.Header().Set("Revision", strconv.FormatUint(uint64(seen.revision), 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// answer writes a state.
func answer(w http.ResponseWriter, seen state) {
	w.Header().Set("Revision", strconv.FormatUint(uint64(seen.revision), 10))
	if seen.absent {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(seen.body)))
	_, _ = w.Write(seen.body)
}

// write publishes or removes a value, when If-Match, if given, names the newest
// revision. "If-Match: 0" matches a value that was never published.
func (p *Platform) write(w http.ResponseWriter, r *http.Request, key string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value is above 1 MiB or was cut off", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.newest(key)
	want := strings.Trim(r.Header.Get("If-Match"), `"`)
	if want != "" && want != strconv.FormatUint(uint64(newest.revision), 10) {
		w.Header().Set("Revision", strconv.FormatUint(uint64(newest.revision), 10))
		http.Error(w, "another revision is the newest", http.StatusPreconditionFailed)
		return
	}
	revision := p.add(key, state{body: body, absent: r.Method == http.MethodDelete})
	w.Header().Set("Revision", strconv.FormatUint(uint64(revision), 10))
	w.WriteHeader(http.StatusNoContent)
}

// count records a read and returns how long the reader has to wait when the rate
// is exceeded. The directory has its own service and no limit.
func (p *Platform) count(key string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads[keyKind(key)]++
	if key == directoryKey {
		return 0
	}
	rate := p.settings.ReadRate
	if p.faults.ReadRate > 0 {
		rate = p.faults.ReadRate
	}
	pause := p.limit.take(p.settings.Clock.Now(), float64(rate))
	if pause > 0 {
		p.refused++
	}
	return pause
}

func (p *Platform) addWatching(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watching += change
}

// Stats counts what readers have asked for.
type Stats struct {
	// Reads counts gets and watches by kind of key, such as "table/page", the
	// refused ones included.
	Reads map[string]int `json:"reads"`
	// Refused counts the reads above the rate.
	Refused int `json:"refused"`
	// Watching is the number of watches that wait now.
	Watching int `json:"watching"`
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Reads: maps.Clone(p.reads), Refused: p.refused, Watching: p.watching}
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	emul.WriteJSON(w, http.StatusOK, p.Stats())
}

// bucket is a token bucket that holds one second of its rate. Its zero value is
// full.
type bucket struct {
	tokens float64
	filled time.Time
}

// take takes one token, or returns the time until there is one.
func (b *bucket) take(now time.Time, rate float64) time.Duration {
	if b.filled.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return 0
}
