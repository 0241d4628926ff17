package logs

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// An output that nobody reads holds nobody up: lines are dropped and counted, and
// closing doesn't wait for it.
func TestNobodyReads(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	b := NewAsyncWriter(writer)
	began := time.Now()
	for n := range 2 * queueLines {
		_, _ = fmt.Fprintf(b, "line %d\n", n)
	}
	b.Close()
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("took %s", took)
	}
	if b.DroppedLines() < queueLines-1 {
		t.Errorf("%d lines dropped", b.DroppedLines())
	}
}

// An output that is read gets every line, in order, before the end.
func TestAllLines(t *testing.T) {
	var out strings.Builder
	b := NewAsyncWriter(&out)
	want := ""
	for n := range 100 {
		line := fmt.Sprintf("line %d\n", n)
		want += line
		_, _ = b.Write([]byte(line))
	}
	b.Close()
	if out.String() != want || b.DroppedLines() != 0 || b.WrittenBytes() != int64(len(want)) {
		t.Errorf("%d of %d bytes, %d dropped", out.Len(), len(want), b.DroppedLines())
	}
}
