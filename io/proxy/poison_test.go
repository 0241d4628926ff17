package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/pool"
)

// crasher makes both upstreams of an instance end for a moment when a deadly request
// arrives.
type crasher struct {
	deadly func(r *http.Request) bool
	// headFirst makes an upstream send the head of its answer before it ends.
	headFirst bool

	mu      sync.Mutex
	crashes int
	// arrivals counts the deadly requests.
	arrivals int
}

// start takes over the upstreams of an instance.
func (cr *crasher) start(t *testing.T, inst *testInstance) {
	for _, u := range inst.upstreams {
		_ = u.listener.Close()
		l, err := net.Listen("tcp", u.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go cr.serve(t, u, l)
	}
}

func (cr *crasher) serve(t *testing.T, u *upstream, l net.Listener) {
	u.serve(t, l, func(c net.Conn, r *http.Request) {
		if !cr.deadly(r) {
			okClosingStream(c, r)
			return
		}
		if cr.headFirst {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 9\r\n\r\n", r.Header.Get("Id"))
		}
		cr.end(t, u, l)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

var okStream = chunked(false, "id: 1\ndata: a\n\n")

var okClosingStream = closing("id: 1\ndata: a\n\n")

// end closes the upstream's listener and listens again at its address soon after.
func (cr *crasher) end(t *testing.T, u *upstream, l net.Listener) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.arrivals++
	address := l.Addr().(*net.TCPAddr).AddrPort()
	if err := l.Close(); err != nil {
		// Another request has just ended it.
		return
	}
	cr.crashes++
	socket, err := bindAddress(address)
	if err != nil {
		t.Errorf("address of an upstream not kept: %v", err)
		return
	}
	time.AfterFunc(100*time.Millisecond, func() {
		l, err := listenOn(socket)
		if err != nil {
			t.Errorf("upstream not started again: %v", err)
			return
		}
		t.Cleanup(func() { _ = l.Close() })
		cr.serve(t, u, l)
	})
}

// bindAddress returns a socket that keeps an IPv4 address from other programs and refuses
// connections.
func bindAddress(address netip.AddrPort) (int, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, errors.Trace(err)
	}
	return socket, errors.Trace(syscall.Bind(socket, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}))
}

// listenOn makes a bound socket accept connections.
func listenOn(socket int) (net.Listener, error) {
	if err := syscall.Listen(socket, syscall.SOMAXCONN); err != nil {
		return nil, errors.Trace(err)
	}
	file := os.NewFile(uintptr(socket), "upstream")
	defer func() { _ = file.Close() }()
	return net.FileListener(file)
}

func (cr *crasher) counts() (arrivals, crashes int) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.arrivals, cr.crashes
}

// TestPartThatEndsUpstreams guards against requests with one part of a prompt ending the
// upstreams one after the other: after some endings they are refused with a time to come
// back, while requests that share their other parts are served.
func TestPartThatEndsUpstreams(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			inst := newTestInstance(t, okStream, okStream).ready(t)
			cr := &crasher{deadly: func(r *http.Request) bool { return strings.Contains(r.Header.Get("Parts"), "deadly") }}
			cr.start(t, inst)
			send := func(i int, parts string) *http.Response {
				response, _, err := inst.send(t, path, "", http.Header{"Id": {fmt.Sprint(i)}, "Parts": {parts}})
				if err != nil {
					return nil
				}
				return response
			}
			send(0, "first,own-0")
			for i := range 12 {
				send(100+i, fmt.Sprintf("first,deadly,own-%d", i))
				time.Sleep(700 * time.Millisecond)
			}
			arrivals, crashes := cr.counts()
			if crashes > 4 {
				t.Errorf("%d upstreams ended, %d requests arrived", crashes, arrivals)
			}
			response := send(200, "first,deadly,own-200")
			if response == nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
				t.Errorf("request with the part: %v", response)
			}
			if response := send(201, "first,own-201"); response == nil || response.StatusCode != http.StatusOK {
				t.Errorf("request that shares its first part: %v", response)
			}
		})
	}
}

// TestRequestThatEndsUpstreams guards against one request, sent again and again with new
// ids, ending the upstreams one after the other: after some endings it is refused with a
// time to come back, while requests that differ from it in their path or body are served.
func TestRequestThatEndsUpstreams(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/resume/"} {
		t.Run(path[1:len(path)-1], func(t *testing.T) { testRequestThatEndsUpstreams(t, path, false) })
		t.Run(path[1:len(path)-1]+"-after-head", func(t *testing.T) { testRequestThatEndsUpstreams(t, path, true) })
	}
}

func testRequestThatEndsUpstreams(t *testing.T, path string, headFirst bool) {
	t.Parallel()
	inst := newTestInstance(t, okStream, okStream).ready(t)
	deadly := path + "deadly"
	cr := &crasher{
		deadly:    func(r *http.Request) bool { return r.URL.Path == deadly && r.ContentLength == 4 },
		headFirst: headFirst,
	}
	cr.start(t, inst)
	header := func(i int) http.Header {
		return http.Header{"Id": {fmt.Sprint(i)}, "Parts": {"first,session"}}
	}
	status := func(i int, path, body string) int {
		response, _, err := inst.send(t, path, body, header(i))
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	if got := status(0, path+"sound", "body"); got != http.StatusOK {
		t.Fatalf("sound request before: %d", got)
	}
	for i := range 12 {
		status(100+i, deadly, "body")
		time.Sleep(700 * time.Millisecond)
	}
	arrivals, crashes := cr.counts()
	if crashes > 4 {
		t.Errorf("%d upstreams ended, the request arrived %d times", crashes, arrivals)
	}
	response, _, err := inst.send(t, deadly, "body", header(200))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("the request afterwards: %v, %v", response, err)
	}
	if got := status(201, path+"sound", "body"); got != http.StatusOK {
		t.Errorf("another path afterwards: %d", got)
	}
	if got := status(202, deadly, "other"); got != http.StatusOK {
		t.Errorf("another body afterwards: %d", got)
	}
}

// TestManyParts guards against a part of a prompt that is no evidence since very many others stand
// before it.
func TestManyParts(t *testing.T) {
	call := &Call{}
	for i := range 10_000 {
		call.Parts = append(call.Parts, pool.PromptPart{ID: fmt.Sprint(i)})
	}
	if keys := call.traits(); len(keys.Parts) != len(call.Parts)-1 {
		t.Errorf("%d parts are evidence", len(keys.Parts))
	}
	if keys := (&Call{}).traits(); len(keys.Parts) != 0 {
		t.Errorf("%d parts of no prompt", len(keys.Parts))
	}
}
