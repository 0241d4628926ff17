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

// serveValue serves reads, watches and writes of one value.
func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	if key == "" {
		key = directoryKey
	}
	if p.injectFault(w, r) {
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

// read serves a get, or a watch if the query has "after".
func (p *Platform) read(w http.ResponseWriter, r *http.Request, key string) {
	if pause := p.countRead(key); pause > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(pause.Seconds()))))
		http.Error(w, "read rate exceeded", http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	if !query.Has("after") {
		p.mu.Lock()
		visible := p.visible(key)
		p.mu.Unlock()
		writeValue(w, visible)
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

// watch responds as soon as the revision is above after, or with 304 at the end of
// the wait.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, key string, after ident.Revision, wait time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	p.addWatching(1)
	defer p.addWatching(-1)
	for {
		p.mu.Lock()
		visible, changed := p.visible(key), p.value(key).changed
		down := p.faults.Outage
		p.mu.Unlock()
		if down != "" {
			fault.ResetConn(w)
			return
		}
		if visible.revision > after {
			writeValue(w, visible)
			return
		}
		select {
		case <-changed:
		case <-emul.Stopping(ctx):
			fault.Close(w)
			return
		case <-ctx.Done():
			w.Header().Set("Revision", strconv.FormatUint(uint64(visible.revision), 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// writeValue writes one revision of a value, or 404 if it is absent.
func writeValue(w http.ResponseWriter, visible valueRevision) {
	w.Header().Set("Revision", strconv.FormatUint(uint64(visible.revision), 10))
	if visible.absent {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(visible.body)))
	_, _ = w.Write(visible.body)
}

// write publishes or deletes a value. If the request has an If-Match header, it
// must name the newest revision. "If-Match: 0" matches a value that was never published.
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
	revision := p.appendRevision(key, valueRevision{body: body, absent: r.Method == http.MethodDelete})
	w.Header().Set("Revision", strconv.FormatUint(uint64(revision), 10))
	w.WriteHeader(http.StatusNoContent)
}

// countRead counts a read and returns the time that the reader has to wait, which is
// above 0 if the rate is exceeded. The directory has a service of its own and no limit.
func (p *Platform) countRead(key string) time.Duration {
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
	pause := p.readLimit.takeOrWait(p.settings.Clock.Now(), float64(rate))
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

// Stats holds the counts of reads and watches.
type Stats struct {
	// Reads counts gets and watches by kind of key, such as "table/page", including
	// the refused ones.
	Reads map[string]int `json:"reads"`
	// Refused counts the reads that exceeded the rate.
	Refused int `json:"refused"`
	// Watching is the number of watches that are waiting.
	Watching int `json:"watching"`
}

// Stats returns the present counts.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Reads: maps.Clone(p.reads), Refused: p.refused, Watching: p.watching}
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	emul.WriteJSON(w, http.StatusOK, p.Stats())
}

// tokenBucket is a token bucket with a capacity of one second of its rate. Its zero
// value is full.
type tokenBucket struct {
	tokens float64
	filled time.Time
}

// takeOrWait takes one token and returns 0, or returns the time until a token is
// available.
func (b *tokenBucket) takeOrWait(now time.Time, rate float64) time.Duration {
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
