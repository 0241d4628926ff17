package http1

import (
	"io"
	"strings"
	"testing"
)

// BenchmarkStrayFilter measures the bytes of a body that are looked through.
func BenchmarkStrayFilter(b *testing.B) {
	for name, text := range map[string]string{
		"text":         "a line of some text, longer than most\r\n",
		"status-lines": "HTTP/1.1 200 OK\r\n",
		"heads":        "HTTP/1.1 200 OK\r\nA: 1\r\n",
		"odd-fields":   "HTTP/1.1 200 OK\r\na b: 1\r\n",
		"one-head":     "A: 1\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			body := "HTTP/1.1 200 OK\r\n" + strings.Repeat(text, 1<<20/len(text))
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.Copy(io.Discard, &strayFilter{reader: strings.NewReader(body), codec: testCodec{}, requests: newCarried("q")})
			}
		})
	}
}
