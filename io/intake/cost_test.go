package intake

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// headShapes are heads of about the same size whose parsed form differs in size.
func headShapes(size int) map[string]string {
	fill := func(line func(i int) string) string {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
		for i := 0; b.Len() < size; i++ {
			b.WriteString(line(i))
		}
		b.WriteString("\r\n")
		return b.String()
	}
	return map[string]string{
		"short distinct": fill(func(i int) string { return fmt.Sprintf("%x:\n", i) }),
		"equal names":    fill(func(int) string { return "a:\n" }),
		"equal values":   fill(func(int) string { return "a:b\n" }),
		"lower-case":     fill(func(i int) string { return fmt.Sprintf("h%x: v\r\n", i) }),
		"usual lines":    fill(func(i int) string { return fmt.Sprintf("X-Name-%x: some value of a line\r\n", i) }),
		"long lines":     fill(func(i int) string { return fmt.Sprintf("X-%x: %s\r\n", i, strings.Repeat("v", 4000)) }),
		"continued":      "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n" + strings.Repeat(" c\r\n", size/4) + "\r\n",
		"trailer names":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: " + list(size) + "\r\n\r\n",
		"one line":       "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("v", size) + "\r\n\r\n",
	}
}

// list returns a list of about a number of bytes, with as many elements as have names of their own.
func list(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "%s,", strconv.FormatInt(int64(i), 36))
	}
	return strings.TrimSuffix(b.String(), ",")
}

// TestHeadCost guards against heads that hold more memory, once they are parsed and cloned for an attempt,
// than they are charged.
func TestHeadCost(t *testing.T) {
	for _, size := range []int{4 << 10, 32 << 10, 256 << 10} {
		for name, head := range headShapes(size) {
			var scan headScan
			scan.add([]byte(head))
			held := heldBytes(t, head)
			t.Logf("%-15s %7d bytes, %6d lines: %9d bytes held, %9d charged", name, len(head), scan.lines, held, scan.cost())
			if held > scan.cost() {
				t.Errorf("%s: %d bytes held, %d charged", name, held, scan.cost())
			}
		}
	}
}

// heldBytes returns the memory of a parsed head and the two clones that the proxy makes.
func heldBytes(t *testing.T, head string) int64 {
	t.Helper()
	const copies = 4
	var held []any
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range copies {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			t.Fatal(err)
		}
		forwarded := r.Header.Clone()
		held = append(held, r, forwarded, forwarded.Clone())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / copies
}
