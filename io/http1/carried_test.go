package http1

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// TestCarriedMemory guards against idle connections that hold the ids of requests, which callers choose and which
// may be as long as their heads.
func TestCarriedMemory(t *testing.T) {
	const (
		requests = 60
		idBytes  = 32 << 10
	)
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	var c carried
	for n := range requests {
		id := fmt.Sprint(n, strings.Repeat("i", idBytes))
		c.add(id, http.MethodHead)
		c.addRefused(id)
	}
	if held := int64(heap()) - int64(before); held > requests*idBytes/4 {
		t.Errorf("%d bytes held", held)
	}
	runtime.KeepAlive(&c)
}
