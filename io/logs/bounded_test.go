package logs

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// An output that is not read blocks neither the writer nor Close: lines are dropped and
// counted.
func TestBlockedOutput(t *testing.T) {
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

// All lines are written in order before Close returns, if the output accepts them.
func TestWriteAllLines(t *testing.T) {
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
