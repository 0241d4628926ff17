package syntax

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// TestHeldBytes guards against an estimate of what a head takes that is below what it takes, parsed and
// as net/http copies it when it is passed on: the map of the writer and its clone.
func TestHeldBytes(t *testing.T) {
	const heads, headBytes = 40, 60 << 10
	lines := map[string]func(n int) string{
		"names":       func(n int) string { return fmt.Sprintf("%x:1\r\n", n) },
		"empty names": func(n int) string { return fmt.Sprintf("%x:\r\n", n) },
		"equal":       func(int) string { return "A:1\r\n" },
		"long":        func(n int) string { return fmt.Sprintf("X-%d: %s\r\n", n, strings.Repeat("v", 300)) },
		"lower case":  func(n int) string { return fmt.Sprintf("x-%x: %d\r\n", n, n) },
	}
	for name, line := range lines {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			text.WriteString("HTTP/1.1 200 OK\r\n")
			for n := 0; text.Len() < headBytes; n++ {
				text.WriteString(line(n))
			}
			text.WriteString("\r\n")
			var kept []http.Header
			counted := 0
			before := heap()
			for range heads {
				h, err := ReadHeldHead(bufio.NewReader(strings.NewReader(text.String())), http.MethodGet, 2*headBytes, func(bytes int) error {
					counted += bytes
					return nil
				})
				if err != nil {
					t.Fatal(err)
				}
				written := http.Header{}
				for field, values := range h.Header {
					written[field] = values
				}
				kept = append(kept, h.Header, written, written.Clone())
			}
			taken := (int(heap()) - int(before)) / heads
			counted /= heads
			estimate := HeldBytes(kept[0])
			t.Logf("%d bytes taken, %d counted while read, %d estimated", taken, counted, estimate)
			if taken > counted || taken > estimate {
				t.Errorf("%d bytes taken, %d counted while read, %d estimated", taken, counted, estimate)
			}
			runtime.KeepAlive(kept)
		})
	}
}

// heap returns the bytes that are in use.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
