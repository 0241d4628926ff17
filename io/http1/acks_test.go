package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/result"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nId: q\r\nSigned: 1\r\nContent-Length: 5\r\n\r\nwhole"

// vanish makes the system drop all packets to a connection that are longer than a number of bytes, as if
// the machine had vanished, or the path to it passed no long ones.
func vanish(t *testing.T, c *net.TCPConn, longer uint32) {
	t.Helper()
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_LEN},
		{Code: unix.BPF_JMP | unix.BPF_JGT | unix.BPF_K, K: longer, Jt: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 20},
		{Code: unix.BPF_RET | unix.BPF_K},
	}
	control(t, c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}

// comeBack ends what vanish began.
func comeBack(t *testing.T, c *net.TCPConn) {
	t.Helper()
	control(t, c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

func control(t *testing.T, c syscall.Conn, call func(fd int) error) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil || callErr != nil {
		t.Errorf("%v, %v", err, callErr)
	}
}

// sendBody sends a request with a body of a length, and returns when it has failed or its answer is whole.
func sendBody(ctx context.Context, client *Client, u *earlyUpstream, size int) (string, *result.Failure) {
	answer, failure := client.Send(ctx, &Attempt{
		RequestID: "q", Upstream: "u-1", Address: u.address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size),
	})
	if failure != nil {
		return "", failure
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", client.failure(ctx, &Attempt{}, result.Unknown, result.AnswerCut, err)
	}
	return string(text), nil
}

// TestVanishedUpstream guards against a request that waits until its deadline for an upstream whose
// machine has vanished, whatever was under way between the two.
func TestVanishedUpstream(t *testing.T) {
	t.Parallel()
	const all, long = 0, 500
	readSome := func(t *testing.T, body io.Reader) {
		if _, err := io.CopyN(io.Discard, body, 1<<20); err != nil {
			t.Error(err)
		}
	}
	for _, c := range []struct {
		name   string
		body   int
		longer uint32
		before func(t *testing.T, body io.Reader)
		after  func(c *net.TCPConn, body io.Reader)
	}{
		{"runs_short_request", 100, all, func(*testing.T, io.Reader) {}, nil},
		{"reads", longBodyBytes, all, readSome, nil},
		{"does_not_read", longBodyBytes, all, func(*testing.T, io.Reader) { time.Sleep(time.Second) }, nil},
		{"has_not_read_for_long", longBodyBytes, all, func(*testing.T, io.Reader) { time.Sleep(userTimeout + 3*time.Second) }, nil},
		{"has_not_read_for_long/200_KiB", 200 << 10, all, func(*testing.T, io.Reader) { time.Sleep(userTimeout + 3*time.Second) }, nil},
		{"reads_again", longBodyBytes, all, func(t *testing.T, body io.Reader) {
			time.Sleep(userTimeout + 3*time.Second)
			readSome(t, body)
		}, nil},
		{"gets_no_long_packets", longBodyBytes, long, readSome, func(c *net.TCPConn, body io.Reader) {
			go func() { _, _ = io.Copy(io.Discard, body) }()
			for err := error(nil); err == nil; {
				time.Sleep(300 * time.Millisecond)
				_, err = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			vanished, over := make(chan time.Time, 1), make(chan struct{})
			u := startEarlyUpstream(t, "", func(conn *net.TCPConn, body io.Reader) {
				c.before(t, body)
				vanish(t, conn, c.longer)
				vanished <- time.Now()
				if c.after != nil {
					c.after(conn, body)
				}
				<-over
			})
			defer close(over)
			client := NewClient(testCodec{}, clock.System{}, time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
			defer cancel()
			_, failure := sendBody(ctx, client, u, c.body)
			if failure == nil || failure.Reason != result.AnswerCut || failure.Outcome != result.Unknown || !errors.Is(failure.Cause, syscall.ETIMEDOUT) {
				t.Errorf("%v", failure)
			}
			after := time.Since(<-vanished)
			if after < unansweredTime || after > userTimeout+3*time.Second {
				t.Errorf("noticed after %s", after)
			}
			t.Logf("noticed after %s", after.Round(10*time.Millisecond))
		})
	}
}

// TestUpstreamStandsStill guards against the loss of a connection to an upstream whose machine stands
// still for a second while its window is closed.
func TestUpstreamStandsStill(t *testing.T) {
	t.Parallel()
	u := startEarlyUpstream(t, "", func(c *net.TCPConn, body io.Reader) {
		for range 3 {
			time.Sleep(userTimeout / 2)
			vanish(t, c, 0)
			time.Sleep(1200 * time.Millisecond)
			comeBack(t, c)
		}
		_, _ = io.Copy(io.Discard, body)
		_, _ = io.WriteString(c, wholeAnswer)
	})
	client := NewClient(testCodec{}, clock.System{}, time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if text, failure := sendBody(ctx, client, u, longBodyBytes); failure != nil || text != "whole" {
		t.Errorf("%q, %v", text, failure)
	}
}

// TestLongBodyReadSlowly guards against the loss of a connection to an upstream that reads a long body in
// small steps: the system's user timeout counts from the first closed window, also if it has opened since.
func TestLongBodyReadSlowly(t *testing.T) {
	t.Parallel()
	const size, step = 512 << 10, 64 << 10
	for _, buffer := range []int{32 << 10, 64 << 10, 128 << 10} {
		t.Run(fmt.Sprintf("buffer_%d", buffer), func(t *testing.T) {
			t.Parallel()
			u := startEarlyUpstream(t, "", func(c *net.TCPConn, body io.Reader) {
				_ = c.SetReadBuffer(buffer)
				for n := int64(1); n > 0; {
					time.Sleep(1500 * time.Millisecond)
					n, _ = io.CopyN(io.Discard, body, step)
				}
				_, _ = io.WriteString(c, wholeAnswer)
			})
			client := NewClient(testCodec{}, clock.System{}, time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			began := time.Now()
			if text, failure := sendBody(ctx, client, u, size); failure != nil || text != "whole" {
				t.Errorf("after %s: %q, %v", time.Since(began), text, failure)
			}
		})
	}
}

// TestUpstreamNeverReads guards against a request that isn't answered at its deadline because its upstream
// reads nothing, and against its connection that the system holds after that.
func TestUpstreamNeverReads(t *testing.T) {
	t.Parallel()
	const timeout = userTimeout + 2*time.Second
	for _, size := range []int{200 << 10, longBodyBytes} {
		t.Run(fmt.Sprintf("%d_bytes", size), func(t *testing.T) {
			t.Parallel()
			port, over := make(chan string, 1), make(chan struct{})
			u := startEarlyUpstream(t, "", func(c *net.TCPConn, _ io.Reader) {
				port <- fmt.Sprintf(":%04X", c.RemoteAddr().(*net.TCPAddr).Port)
				<-over
			})
			defer close(over)
			client := NewClient(testCodec{}, clock.System{}, time.Second)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, failure := sendBody(ctx, client, u, size)
			if failure == nil || failure.Reason != result.DeadlinePassed {
				t.Errorf("%v", failure)
			}
			if took := time.Since(began); took < timeout || took > timeout+500*time.Millisecond {
				t.Errorf("took %s", took)
			}
			local, remote := <-port, fmt.Sprintf(":%04X", u.address.Port())
			for held := heldConn(t, local, remote); held != ""; held = heldConn(t, local, remote) {
				time.Sleep(100 * time.Millisecond)
				if time.Since(began) > timeout+userTimeout+2*time.Second {
					t.Fatalf("the system holds the connection: %s", held)
				}
			}
			t.Logf("the connection was gone %s after the deadline", (time.Since(began) - timeout).Round(100*time.Millisecond))
		})
	}
}

// heldConn returns the line of the system's list that has the connection between two ports, which are given
// as in the list; empty if there is none.
func heldConn(t *testing.T, local, remote string) string {
	t.Helper()
	list, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(list)) {
		if fields := strings.Fields(line); len(fields) > 2 && strings.HasSuffix(fields[1], local) && strings.HasSuffix(fields[2], remote) {
			return line
		}
	}
	return ""
}

// TestOptionsOfKeptConnection guards against a connection that is kept without the bounds of an idle one
// after its upstream has read a request late.
func TestOptionsOfKeptConnection(t *testing.T) {
	t.Parallel()
	over := make(chan struct{})
	defer close(over)
	u := startEarlyUpstream(t, "", func(c *net.TCPConn, body io.Reader) {
		time.Sleep(acksInterval + 500*time.Millisecond)
		_, _ = io.Copy(io.Discard, body)
		// The client has learned by then that all of it was written.
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, wholeAnswer)
		<-over
	})
	client := NewClient(testCodec{}, clock.System{}, time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	fresh, err := dial(ctx, connKey{"u-1", u.address}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fresh.Close() }()
	if text, failure := sendBody(ctx, client, u, longBodyBytes); failure != nil || text != "whole" {
		t.Fatalf("%q, %v", text, failure)
	}
	kept := client.conns.take(connKey{"u-1", u.address}, "r")
	if kept == nil {
		t.Fatal("the connection isn't kept")
	}
	defer func() { _ = kept.Close() }()
	for _, name := range []int{unix.TCP_USER_TIMEOUT, tcpRTOMaxMS} {
		values := [2]int{}
		for i, c := range []*conn{fresh, kept} {
			control(t, c.Conn.(*net.TCPConn), func(fd int) error {
				var err error
				values[i], err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, name)
				if name == tcpRTOMaxMS && errors.Is(err, unix.ENOPROTOOPT) {
					return nil
				}
				return err
			})
		}
		if values[0] != values[1] {
			t.Errorf("option %d is %d, and %d on a new connection", name, values[1], values[0])
		}
	}
}

// TestUnreadRequestIsNotKept guards against a connection that is used again while the upstream has yet to
// read the request before.
func TestUnreadRequestIsNotKept(t *testing.T) {
	t.Parallel()
	over := make(chan struct{})
	defer close(over)
	u := startEarlyUpstream(t, wholeAnswer, func(*net.TCPConn, io.Reader) { <-over })
	client := NewClient(testCodec{}, clock.System{}, time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if text, failure := sendBody(ctx, client, u, 200<<10); failure != nil || text != "whole" {
		t.Fatalf("%q, %v", text, failure)
	}
	if kept := client.conns.take(connKey{"u-1", u.address}, "r"); kept != nil {
		t.Error("the connection is kept")
	}
}

// TestAckState guards against verdicts that follow from one look, or from the time since the last
// acknowledgement alone.
func TestAckState(t *testing.T) {
	type look = unix.TCPInfo
	repeat := func(n int, l look) []look {
		looks := make([]look, n)
		for i := range looks {
			looks[i] = l
		}
		return looks
	}
	// silent are looks at a connection on which an acknowledgement came last before a time that grows.
	silent := func(n int, from uint32, l look) []look {
		looks := repeat(n, l)
		for i := range looks {
			looks[i].Last_ack_recv = from + uint32(i)*1000
		}
		return looks
	}
	for _, c := range []struct {
		name  string
		looks []look
		// vanishes is the number of the look that tells it; zero if none does.
		vanishes int
	}{
		{"acknowledges", repeat(100, look{Unacked: 10, Last_ack_recv: 3, Snd_wnd: 1 << 16}), 0},
		{"window_closed", repeat(100, look{Notsent_bytes: 1000, Last_ack_recv: 800}), 0},
		{"window_closed_rare_probes", silent(60, 0, look{Notsent_bytes: 1000}), 0},
		{"probe_just_sent", append(silent(30, 0, look{Notsent_bytes: 1000}), look{Probes: 1, Notsent_bytes: 1000, Last_ack_recv: 30000},
			look{Notsent_bytes: 1000, Last_ack_recv: 900}), 0},
		{"probe_unanswered", append(silent(30, 0, look{Notsent_bytes: 1000}), silent(10, 30000, look{Probes: 1, Notsent_bytes: 1000})...), 33},
		{"nothing_acknowledged", silent(20, 1000, look{Unacked: 10, Snd_wnd: 1 << 16, Retransmits: 3}), 6},
		{"first_look_after_long_silence", silent(20, 1<<20, look{Unacked: 10, Snd_wnd: 1 << 16}), 6},
		{"probes_unanswered", silent(20, 500, look{Probes: 2, Notsent_bytes: 1000}), 7},
		{"acknowledges_other_than_data", repeat(20, look{Unacked: 10, Snd_wnd: 1 << 16, Retransmits: 2, Last_ack_recv: 100}), 7},
		{"sends_again_to_a_closed_window", repeat(20, look{Unacked: 10, Retransmits: 2, Last_ack_recv: 100}), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s, told := ackState{began: now}, 0
			for i, l := range c.looks {
				now = now.Add(acksInterval)
				vanished := false
				if s, vanished = s.next(now, &l); vanished {
					told = i + 1
					break
				}
			}
			if told != c.vanishes {
				t.Errorf("look %d, want %d", told, c.vanishes)
			}
		})
	}
}
