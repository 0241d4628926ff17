package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/result"
)

// sound is the rest of the head and the body of an answer that keeps the grammar.
const sound = "Signed: 1\r\nId: q\r\nContent-Length: 5\r\n\r\nwhole"

// badAnswers are bytes that are no answer to the request q. In each, a lenient reader finds one.
var badAnswers = map[string]string{
	// Not read as the status of a final answer, what follows them counts as another head or none.
	"status 000":                           "HTTP/1.1 000 None\r\n" + sound,
	"status 000, then 200":                 "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status 099":                           "HTTP/1.1 099 Low\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status 001":                           "HTTP/1.1 001 Low\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status 101":                           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status 600":                           "HTTP/1.1 600 High\r\n" + sound,
	"status 999":                           "HTTP/1.1 999 High\r\n" + sound,
	"status +20":                           "HTTP/1.1 +20 Sign\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status -00":                           "HTTP/1.1 -00 Sign\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status +00":                           "HTTP/1.1 +00 Sign\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"status of two digits":                 "HTTP/1.1 20 OK\r\n" + sound,
	"status of four digits":                "HTTP/1.1 2000 OK\r\n" + sound,
	"status in hexadecimal":                "HTTP/1.1 2a0 OK\r\n" + sound,
	"no status":                            "HTTP/1.1 OK\r\n" + sound,
	"two blanks":                           "HTTP/1.1  200 OK\r\n" + sound,
	"tab before the status":                "HTTP/1.1\t200 OK\r\n" + sound,
	"tab after the status":                 "HTTP/1.1 200\tOK\r\n" + sound,
	"blank first":                          " HTTP/1.1 200 OK\r\n" + sound,
	"empty line first":                     "\r\nHTTP/1.1 200 OK\r\n" + sound,
	"control byte in reason":               "HTTP/1.1 200 O\x00K\r\n" + sound,
	"delete byte in reason":                "HTTP/1.1 200 O\x7fK\r\n" + sound,
	"bare CR in reason":                    "HTTP/1.1 200 O\rK\r\n" + sound,
	"version 0.0":                          "HTTP/0.0 200 OK\r\n" + sound,
	"version 0.9":                          "HTTP/0.9 200 OK\r\n" + sound,
	"version 2.0":                          "HTTP/2.0 200 OK\r\n" + sound,
	"version 3.0":                          "HTTP/3.0 200 OK\r\n" + sound,
	"version 1.10":                         "HTTP/1.10 200 OK\r\n" + sound,
	"version 1":                            "HTTP/1 200 OK\r\n" + sound,
	"version in lower case":                "http/1.1 200 OK\r\n" + sound,
	"another protocol":                     "ICY 200 OK\r\n" + sound,
	"an interim answer of another version": "HTTP/2.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,

	// An answer with two ids may belong to either request.
	"another id behind":                "HTTP/1.1 200 OK\r\nId: q\r\nId: p\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"another id before":                "HTTP/1.1 200 OK\r\nId: p\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"another id before, then its own":  "HTTP/1.1 200 OK\r\nId: p\r\nId: q\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"an empty id behind":               "HTTP/1.1 200 OK\r\n" + strings.Replace(sound, "Id: q", "Id: q\r\nId:", 1),
	"a refusal with another id behind": "HTTP/1.1 503 Full\r\nId: q\r\nId: p\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"421 with another id behind":       "HTTP/1.1 421 Misdirected\r\nId: q\r\nId: p\r\nContent-Length: 0\r\n\r\n",
	"a late answer with two ids":       "HTTP/1.1 200 OK\r\nId: 0\r\nId: 1\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\n" + sound,

	// A field whose name isn't one is lost, or passed on.
	"blank before the colon of the length":   "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length : 5\r\n\r\nwhole and more",
	"tab before the colon of the length":     "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length\t: 5\r\n\r\nwhole and more",
	"blank before the colon of the coding":   "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"control byte in the name of the length": "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length\x00: 5\r\n\r\nwhole and more",
	"blank in a name":                        "HTTP/1.1 200 OK\r\nOdd Name: 1\r\n" + sound,
	"blank at end of a name":                 "HTTP/1.1 200 OK\r\nOdd : 1\r\n" + sound,
	"control byte in a name":                 "HTTP/1.1 200 OK\r\nOd\x01d: 1\r\n" + sound,
	"delete byte in a name":                  "HTTP/1.1 200 OK\r\nOd\x7fd: 1\r\n" + sound,
	"obs-text in a name":                     "HTTP/1.1 200 OK\r\nOd\xe9d: 1\r\n" + sound,
	"separator in a name":                    "HTTP/1.1 200 OK\r\nOd(d: 1\r\n" + sound,
	"empty name":                             "HTTP/1.1 200 OK\r\n: 1\r\n" + sound,
	"no colon":                               "HTTP/1.1 200 OK\r\nOdd\r\n" + sound,
	"blank before a name":                    "HTTP/1.1 200 OK\r\n Odd: 1\r\n" + sound,
	"continued line":                         "HTTP/1.1 200 OK\r\nOdd: 1\r\n 2\r\n" + sound,
	"continued line by tab":                  "HTTP/1.1 200 OK\r\nOdd: 1\r\n\tContent-Length: 2\r\n" + sound,
	"line of one blank":                      "HTTP/1.1 200 OK\r\nOdd: 1\r\n \r\n" + sound,
	"control byte in a value":                "HTTP/1.1 200 OK\r\nOdd: a\x00b\r\n" + sound,
	"escape in a value":                      "HTTP/1.1 200 OK\r\nOdd: a\x1bb\r\n" + sound,
	"delete byte in a value":                 "HTTP/1.1 200 OK\r\nOdd: a\x7fb\r\n" + sound,
	"bare CR in a value":                     "HTTP/1.1 200 OK\r\nOdd: a\rContent-Length: 2\r\n" + sound,
	"CR before the line end":                 "HTTP/1.1 200 OK\r\nOdd: a\r\r\n" + sound,
	"CR before the empty line":               "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\n\r\r\nwhole",
	"odd name in an interim answer":          "HTTP/1.1 103 Early Hints\r\nOdd : 1\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,

	// A framing that isn't one gives the body another end than its sender meant.
	"signed length":                "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: +5\r\n\r\nwhole",
	"negative length":              "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: -5\r\n\r\nwhole",
	"empty length":                 "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length:\r\n\r\nwhole",
	"length with a blank":          "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 5 5\r\n\r\nwhole",
	"list of lengths":              "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 5, 5\r\n\r\nwhole",
	"length in hexadecimal":        "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 0x5\r\n\r\nwhole",
	"length over 63 bits":          "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 9223372036854775808\r\n\r\nwhole",
	"two lengths":                  "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
	"length and chunks":            "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"another coding":               "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
	"two codings":                  "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"chunks twice":                 "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"identity":                     "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: identity\r\n\r\nwhole",
	"empty coding":                 "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding:\r\n\r\nwhole",
	"coding with a Kelvin sign":    "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: chun\u212aed\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":           "HTTP/1.0 200 OK\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"204 with a length":            "HTTP/1.1 204 No Content\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"204 with chunks":              "HTTP/1.1 204 No Content\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"interim answer with a length": "HTTP/1.1 103 Early Hints\r\nContent-Length: 80\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
	"interim answer with chunks":   "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
}

// TestNoAnswer guards against bytes that break the grammar of a head (RFC 9110, RFC 9112) and reach
// the caller as an answer, and against another request on their connection.
func TestNoAnswer(t *testing.T) {
	for name, text := range badAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
				if id == "next" {
					writeText(c, "HTTP/1.1 200 OK\nId: next\nContent-Length: 0\n\n")
					return true
				}
				_, _ = io.WriteString(c, text)
				_ = c.CloseWrite()
				return true
			})
			client := newClient()
			body, failure, err := send(t, client, attempt(u, "q"))
			switch {
			case failure == nil && err == nil:
				t.Errorf("counts as an answer: %q", body)
			case failure == nil:
				t.Errorf("its head counts as one; %q, error %v", body, err)
			case failure.Outcome != result.Unknown || failure.Reason != result.AnswerMismatch:
				t.Errorf("%v", failure)
			case len(failure.Cause.Error()) > maxErrorBytes:
				t.Errorf("cause of %d bytes", len(failure.Cause.Error()))
			}
			if _, failure, err := send(t, client, attempt(u, "next")); failure != nil || err != nil || u.seen() != "0/q 1/next" {
				t.Errorf("arrivals %q, failure %v, error %v", u.seen(), failure, err)
			}
		})
	}
}

// TestAnswerForms guards against refusing an answer that RFC 9110 and RFC 9112 allow.
func TestAnswerForms(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\n"
	type form struct {
		text, method, body string
		// header is a value that the answer must have, of the field X.
		header string
		// next is the connection of the next request.
		next int
	}
	forms := map[string]form{
		"no reason":                      {text: "HTTP/1.1 200 \r\n" + sound, body: "whole"},
		"no reason and no blank":         {text: "HTTP/1.1 200\r\n" + sound, body: "whole"},
		"reason with obs-text and tab":   {text: "HTTP/1.1 200 O\xe9\tK  \r\n" + sound, body: "whole"},
		"status of no name":              {text: "HTTP/1.1 299 \r\n" + sound, body: "whole"},
		"status 599":                     {text: "HTTP/1.1 599 \r\n" + sound, body: "whole"},
		"LF alone":                       {text: strings.ReplaceAll("HTTP/1.1 200 OK\r\nX: 1\r\n"+sound, "\r", ""), body: "whole", header: "1"},
		"odd case":                       {text: "HTTP/1.1 200 OK\r\niD: q\r\nsIGNED: 1\r\ncONTENT-lENGTH: 5\r\nx: 1\r\n\r\nwhole", body: "whole", header: "1"},
		"odd characters of a name":       {text: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09: 1\r\n" + sound, body: "whole"},
		"empty value":                    {text: "HTTP/1.1 200 OK\r\nX:\r\nY: \r\n" + sound, body: "whole"},
		"no blank before a value":        {text: "HTTP/1.1 200 OK\r\nX:1\r\n" + sound, body: "whole", header: "1"},
		"blanks around a value":          {text: "HTTP/1.1 200 OK\r\nX: \t1\t \r\n" + sound, body: "whole", header: "1"},
		"tab and obs-text in a value":    {text: "HTTP/1.1 200 OK\r\nX: a\tb\xff\r\n" + sound, body: "whole", header: "a\tb\xff"},
		"colon in a value":               {text: "HTTP/1.1 200 OK\r\nX: a : b\r\n" + sound, body: "whole", header: "a : b"},
		"200 fields":                     {text: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", 200) + sound, body: "whole", header: "1"},
		"head of 60 KiB":                 {text: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("v", 60<<10) + "\r\n" + sound, body: "whole", header: strings.Repeat("v", 60<<10)},
		"HTTP/1.0":                       {text: "HTTP/1.0 200 OK\r\n" + sound, body: "whole", next: 1},
		"HTTP/1.0 that stays open":       {text: "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n" + sound, body: "whole"},
		"HTTP/1.2":                       {text: "HTTP/1.2 200 OK\r\n" + sound, body: "whole"},
		"connection that closes":         {text: "HTTP/1.1 200 OK\r\nConnection: x, Close\r\n" + sound, body: "whole", next: 1},
		"interim answers":                {text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + sound, body: "whole"},
		"interim answer of length 0":     {text: "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + sound, body: "whole"},
		"interim answer of HTTP/1.0":     {text: "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + sound, body: "whole"},
		"204":                            {text: "HTTP/1.1 204 No Content\r\nId: q\r\nSigned: 1\r\n\r\n"},
		"204 of length 0":                {text: "HTTP/1.1 204 No Content\r\nId: q\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n"},
		"304 with a length":              {text: "HTTP/1.1 304 Not Modified\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\n\r\n"},
		"304 with chunks":                {text: "HTTP/1.1 304 Not Modified\r\nId: q\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"HEAD with a length":             {text: head + "Content-Length: 5\r\n\r\n", method: http.MethodHead},
		"HEAD with chunks":               {text: head + "Transfer-Encoding: chunked\r\n\r\n", method: http.MethodHead},
		"HEAD without a length":          {text: head + "\r\n", method: http.MethodHead},
		"equal lengths":                  {text: head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", body: "whole"},
		"length with zeros":              {text: head + "Content-Length: 0005\r\n\r\nwhole", body: "whole"},
		"length 0":                       {text: head + "Content-Length: 0\r\n\r\n"},
		"coding in odd case":             {text: head + "Transfer-Encoding: CHUNKED\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", body: "whole"},
		"chunk extensions":               {text: head + "Transfer-Encoding: chunked\r\n\r\n5;a=b;c=\"d\"\r\nwhole\r\n000;e\r\n\r\n", body: "whole"},
		"trailers":                       {text: head + "Trailer: Y\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\nY: 1\r\nZ:\r\nContent-Length: 3\r\n\r\n", body: "whole"},
		"trailers with LF alone":         {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nY: 1\n\n", body: "whole"},
		"chunks without a body":          {text: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		"late answer to another request": {text: "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\n" + sound, body: "whole", next: 1},
		"late answer in chunks":          {text: "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n" + sound, body: "whole", next: 1},
		"late answer with its id twice":  {text: "HTTP/1.1 200 OK\r\nId: 0\r\nId: 0\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\n" + sound, body: "whole", next: 1},
		"its id twice":                   {text: "HTTP/1.1 200 OK\r\nId: q\r\n" + sound, body: "whole"},
		"its id twice in odd case":       {text: "HTTP/1.1 200 OK\r\niD:  q \r\n" + sound, body: "whole"},
		"refusal":                        {text: "HTTP/1.1 404 Not Found\r\n" + sound, body: "whole"},
	}
	for name, c := range forms {
		for _, pieces := range []bool{false, true} {
			if pieces && len(c.text) > 1<<10 {
				continue
			}
			t.Run(fmt.Sprintf("%s, in pieces %v", name, pieces), func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
					if id == "next" {
						writeText(conn, "HTTP/1.1 200 OK\nId: next\nContent-Length: 0\n\n")
						return true
					}
					writePieces(conn, c.text, pieces)
					return true
				})
				client := newClient()
				a := attempt(u, "q")
				if c.method != "" {
					a.Method, a.Body = c.method, nil
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				answer, failure := client.Send(ctx, a)
				if failure != nil {
					t.Fatal(failure)
				}
				body, err := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				if string(body) != c.body || err != nil || answer.Header.Get("X") != c.header {
					t.Errorf("%q, X %q, error %v", body, answer.Header.Get("X"), err)
				}
				want := fmt.Sprintf("0/q %d/next", c.next)
				if _, failure, err := send(t, client, attempt(u, "next")); failure != nil || err != nil || u.seen() != want {
					t.Errorf("arrivals %q, want %q, failure %v, error %v", u.seen(), want, failure, err)
				}
			})
		}
	}
}

// writePieces writes a text at once, or byte by byte.
func writePieces(c *net.TCPConn, text string, pieces bool) {
	if !pieces {
		_, _ = io.WriteString(c, text)
		return
	}
	for i := range len(text) {
		_, _ = io.WriteString(c, text[i:i+1])
		time.Sleep(50 * time.Microsecond)
	}
}

// TestNoTrailer guards against an answer in chunks that counts as whole although what follows its last
// chunk is no trailer, or is cut off, and against another request on its connection.
func TestNoTrailer(t *testing.T) {
	for name, c := range map[string]struct {
		trailer string
		cut     bool
	}{
		"blank in a name":         {"Odd Name: 1\r\n\r\n", false},
		"blank before the colon":  {"Content-Length : 1\r\n\r\n", false},
		"control byte in a name":  {"Od\x01d: 1\r\n\r\n", false},
		"control byte in a value": {"Odd: a\x00\r\n\r\n", false},
		"no colon":                {"Odd\r\n\r\n", false},
		"empty name":              {": 1\r\n\r\n", false},
		"continued line":          {"Odd: 1\r\n 2\r\n\r\n", false},
		"bare CR":                 {"Odd: 1\r2\r\n\r\n", false},
		"another answer":          {"HTTP/1.1 200 OK\r\nId: next\r\nContent-Length: 0\r\n\r\n", false},
		"too long":                {"Odd: " + strings.Repeat("v", 16<<10) + "\r\n\r\n", false},
		"too many":                {strings.Repeat("Odd: 1\r\n", 2<<10) + "\r\n", false},
		"no empty line":           {"Odd: 1\r\n", true},
		"cut in a line":           {"Odd: 1", true},
		"nothing":                 {"", true},
		"CR only":                 {"\r", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
				if id == "next" {
					writeText(conn, "HTTP/1.1 200 OK\nId: next\nContent-Length: 0\n\n")
					return true
				}
				writeText(conn, "HTTP/1.1 200 OK\nId: q\nSigned: 1\nTransfer-Encoding: chunked\n\n5\nwhole\n0\n")
				_, _ = io.WriteString(conn, c.trailer)
				if c.cut {
					_ = conn.CloseWrite()
				}
				return true
			})
			client := newClient()
			body, failure, err := send(t, client, attempt(u, "q"))
			if failure != nil || err == nil {
				t.Errorf("%q, failure %v, error %v", body, failure, err)
			}
			if _, failure, err := send(t, client, attempt(u, "next")); failure != nil || err != nil || u.seen() != "0/q 1/next" {
				t.Errorf("arrivals %q, failure %v, error %v", u.seen(), failure, err)
			}
		})
	}
}

// TestNoChunks guards against an answer whose chunks break their grammar and that counts as whole, and
// against another request on its connection.
func TestNoChunks(t *testing.T) {
	for name, chunks := range map[string]string{
		"sign":                    "+5\r\nwhole\r\n0\r\n\r\n",
		"negative":                "-5\r\nwhole\r\n0\r\n\r\n",
		"prefix":                  "0x5\r\nwhole\r\n0\r\n\r\n",
		"blank first":             " 5\r\nwhole\r\n0\r\n\r\n",
		"no size":                 "\r\nwhole\r\n0\r\n\r\n",
		"extension without size":  ";a=b\r\nwhole\r\n0\r\n\r\n",
		"over 64 bits":            "10000000000000005\r\nwhole\r\n0\r\n\r\n",
		"LF alone":                "5\nwhole\r\n0\r\n\r\n",
		"CR in an extension":      "5;a\rb\r\nwhole\r\n0\r\n\r\n",
		"no line end after it":    "5\r\nwhole0\r\n\r\n",
		"LF alone after it":       "5\r\nwhole\n0\r\n\r\n",
		"longer than its size":    "4\r\nwhole\r\n0\r\n\r\n",
		"LF after the last chunk": "5\r\nwhole\r\n0\n\r\n",
		"no last chunk":           "5\r\nwhole\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
				if id == "next" {
					writeText(conn, "HTTP/1.1 200 OK\nId: next\nContent-Length: 0\n\n")
					return true
				}
				writeText(conn, "HTTP/1.1 200 OK\nId: q\nSigned: 1\nTransfer-Encoding: chunked\n\n")
				_, _ = io.WriteString(conn, chunks)
				_ = conn.CloseWrite()
				return true
			})
			client := newClient()
			body, failure, err := send(t, client, attempt(u, "q"))
			if failure != nil || err == nil {
				t.Errorf("%q, failure %v, error %v", body, failure, err)
			}
			if _, failure, err := send(t, client, attempt(u, "next")); failure != nil || err != nil || u.seen() != "0/q 1/next" {
				t.Errorf("arrivals %q, failure %v, error %v", u.seen(), failure, err)
			}
		})
	}
}
