package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// socketsOf stands in for the process of an upstream: it holds the listener and all connections.
// Each answer ends with its connection, when the test says so.
type socketsOf struct {
	t       *testing.T
	address netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	// answers holds the connections on which an answer is under way, others those on which no
	// request has come.
	answers, others []net.Conn
}

func startSockets(t *testing.T) *socketsOf {
	s := &socketsOf{t: t}
	s.listen("127.0.0.1:0")
	t.Cleanup(s.end)
	return s
}

// listen begins to accept connections, also at an address that was just given up.
func (s *socketsOf) listen(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.others = append(s.others, c)
			s.mu.Unlock()
			go s.answer(c)
		}
	}()
}

func (s *socketsOf) answer(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.mu.Lock()
	for i, other := range s.others {
		if other == c {
			s.others = append(s.others[:i], s.others[i+1:]...)
			break
		}
	}
	s.answers = append(s.answers, c)
	s.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\npart")
}

// takeAnswer returns the connection of the n-th answer.
func (s *socketsOf) takeAnswer(n int) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[n]
}

func (s *socketsOf) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// closeOthers closes the connections on which no request has come.
func (s *socketsOf) closeOthers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.others {
		_ = c.Close()
	}
	s.others = nil
}

// end closes all sockets, connections first, as the kernel does for a process that is killed.
func (s *socketsOf) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range append(s.answers, s.others...) {
		_ = c.Close()
	}
	s.answers, s.others = nil, nil
	_ = s.listener.Close()
}

// TestEndWithConnection guards against answers that look whole although the process of their
// upstream was killed, and against whole ones that look cut off, whatever new connections to the
// upstream tell.
func TestEndWithConnection(t *testing.T) {
	const moment = 300 * time.Millisecond
	for _, c := range []struct {
		name string
		// late is set if the end of the first answer is read some time after it has come.
		late  bool
		end   func(s *socketsOf, begin func(id string) *Answer)
		whole bool
	}{
		{"the upstream lives", false, func(s *socketsOf, _ func(string) *Answer) { _ = s.takeAnswer(0).Close() }, true},
		{"killed", false, func(s *socketsOf, _ func(string) *Answer) { s.end() }, false},
		{"killed, the listener closes late", false, func(s *socketsOf, _ func(string) *Answer) {
			for _, c := range []net.Conn{s.takeAnswer(0), s.takeAnswer(1)} {
				_ = c.Close()
			}
			s.closeOthers()
			time.Sleep(processEndTime / 2)
			s.end()
		}, false},
		{"killed, the port is taken again at once", false, func(s *socketsOf, _ func(string) *Answer) {
			address := s.address.String()
			s.end()
			s.listen(address)
		}, false},
		{"killed and started again, the end is read late", true, func(s *socketsOf, _ func(string) *Answer) {
			address := s.address.String()
			s.end()
			s.listen(address)
			time.Sleep(2 * moment)
		}, false},
		{"killed and started again, another answer there goes on, the end is read late", true, func(s *socketsOf, begin func(string) *Answer) {
			address := s.address.String()
			s.end()
			s.listen(address)
			time.Sleep(moment)
			next := begin("q-3")
			go func() { _, _ = io.Copy(io.Discard, next.Body) }()
			for range 3 {
				time.Sleep(moment)
				_, _ = io.WriteString(s.takeAnswer(0), "more")
			}
		}, false},
		// Past processEndTime, the end of the process is taken for another matter.
		{"its other connections end later than processEndTime", false, func(s *socketsOf, _ func(string) *Answer) {
			_ = s.takeAnswer(0).Close()
			time.Sleep(2 * processEndTime)
			s.end()
		}, true},
		{"takes no new connections, keeps those it has", false, func(s *socketsOf, _ func(string) *Answer) {
			s.closeListener()
			_ = s.takeAnswer(0).Close()
		}, true},
		{"takes no new connections for longer than a sentinel's age, keeps those it has", false, func(s *socketsOf, _ func(string) *Answer) {
			s.closeListener()
			time.Sleep(sentinelAge + moment)
			_ = s.takeAnswer(0).Close()
		}, true},
		{"closes idle connections", false, func(s *socketsOf, _ func(string) *Answer) {
			s.closeOthers()
			time.Sleep(moment)
			_ = s.takeAnswer(0).Close()
		}, true},
		{"takes no new connections, closes idle ones, sends more of another answer", false, func(s *socketsOf, _ func(string) *Answer) {
			s.closeListener()
			s.closeOthers()
			time.Sleep(moment)
			_ = s.takeAnswer(0).Close()
			for range 10 {
				_, _ = io.WriteString(s.takeAnswer(1), "more")
				time.Sleep(processEndTime / 8)
			}
		}, true},
		{"takes no new connections, closes idle ones, killed", false, func(s *socketsOf, _ func(string) *Answer) {
			s.closeListener()
			s.closeOthers()
			time.Sleep(moment)
			s.end()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSockets(t)
			client := newClient()
			begin := func(id string) *Answer {
				answer, failure := client.Send(t.Context(), &Attempt{RequestID: id, Upstream: "u-1", Address: s.address, Method: http.MethodGet, Target: "/", Host: "h"})
				if failure != nil {
					t.Fatal(failure)
				}
				t.Cleanup(func() { _ = answer.Body.Close() })
				if _, err := io.ReadFull(answer.Body, make([]byte, 4)); err != nil {
					t.Fatal(err)
				}
				return answer
			}
			first, second := begin("q-1"), begin("q-2")
			go func() { _, _ = io.Copy(io.Discard, second.Body) }()
			waitForSentinel(t, s, client)
			ended := make(chan struct{})
			if c.late {
				c.end(s, begin)
				close(ended)
			} else {
				go func() {
					c.end(s, begin)
					close(ended)
				}()
			}
			_, err := io.ReadAll(first.Body)
			<-ended
			if (err == nil) != c.whole {
				t.Errorf("error %v", err)
			}
			if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%v isn't a cut", err)
			}
		})
	}
}

// waitForSentinel waits until a connection without a request has come, and the client holds it.
func waitForSentinel(t *testing.T, s *socketsOf, client *Client) {
	t.Helper()
	for range 100 {
		s.mu.Lock()
		n := len(s.others)
		s.mu.Unlock()
		if n > 0 && client.holdsSentinel() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no connection without a request")
}

// holdsSentinel reports whether a sentinel's connection is known to be open.
func (c *Client) holdsSentinel() bool {
	c.sentinels.mu.Lock()
	defer c.sentinels.mu.Unlock()
	for _, held := range c.sentinels.byUpstream {
		held.mu.Lock()
		open := held.conn != nil
		held.mu.Unlock()
		if open {
			return true
		}
	}
	return false
}

// TestSentinelsEnd guards against connections that are kept to upstreams without need.
func TestSentinelsEnd(t *testing.T) {
	s := startSockets(t)
	client := newClient()
	answer, failure := client.Send(t.Context(), &Attempt{RequestID: "q", Upstream: "u-1", Address: s.address, Method: http.MethodGet, Target: "/", Host: "h"})
	if failure != nil {
		t.Fatal(failure)
	}
	waitForSentinel(t, s, client)
	_ = answer.Body.Close()
	time.Sleep(sentinelAge + 500*time.Millisecond)
	client.sentinels.mu.Lock()
	defer client.sentinels.mu.Unlock()
	if n := len(client.sentinels.byUpstream); n > 0 {
		t.Errorf("%d sentinels are held", n)
	}
}
