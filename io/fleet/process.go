// Package fleet runs stand-ins and entry instances as separate processes on
// loopback, for the demo and for tests that kill, freeze and cut them off. It is a
// test tool: no process of the system starts another.
package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Process is one child process. Its methods are safe for concurrent use.
type Process struct {
	Name string

	command *exec.Cmd
	// exited is closed when the process has ended and err is set.
	exited chan struct{}
	err    error
	log    *tail
}

// startProcess starts a program with an addition to the environment. Its log goes
// to the process's tail, and what it prints to out.
func startProcess(name string, environment []string, out io.Writer, program string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, exited: make(chan struct{}), log: &tail{}}
	p.command = exec.Command(program, arguments...) // #nosec G204 -- the fleet's own programs
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = out
	p.command.Stderr = p.log
	// The child ends with this process, however this one ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Annotatef(err, "start %s", name)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the number of the process.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process, and nothing once it has ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze stops the process in its tracks until Thaw.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() {
	p.Signal(syscall.SIGCONT)
}

// Wait waits for the process to end and returns how it ended: nil for exit code 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return errors.Annotate(p.err, p.Name)
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "wait for %s", p.Name)
	}
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Log returns the end of what the process has logged.
func (p *Process) Log() string {
	return p.log.String()
}

// maxTail bounds the log that is kept of a process, in bytes.
const maxTail = 256 << 10

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	data []byte
}

// Write keeps the bytes.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if len(t.data) > 2*maxTail {
		t.data = append([]byte(nil), t.data[len(t.data)-maxTail:]...)
	}
	return len(p), nil
}

// String returns what is kept.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// startupTimeout bounds the start of a stand-in.
const startupTimeout = 20 * time.Second

// startStandin starts a stand-in and returns its address, which it prints.
func startStandin(name, program string, arguments ...string) (*Process, netip.AddrPort, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, netip.AddrPort{}, errors.Trace(err)
	}
	p, err := startProcess(name, nil, writer, program, arguments...)
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return nil, netip.AddrPort{}, errors.Trace(err)
	}
	address, err := readAddress(reader)
	if err != nil {
		p.Kill()
		return nil, netip.AddrPort{}, errors.Annotatef(err, "start %s: %s", name, p.Log())
	}
	return p, address, nil
}

func readAddress(reader *os.File) (netip.AddrPort, error) {
	_ = reader.SetReadDeadline(time.Now().Add(startupTimeout))
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	_ = reader.SetReadDeadline(time.Time{})
	var printed struct {
		Standins []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"standins"`
	}
	if err := json.Unmarshal(line, &printed); err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	if len(printed.Standins) != 1 {
		return netip.AddrPort{}, errors.NotValidf("line of a stand-in: %s", line)
	}
	return printed.Standins[0].Address, nil
}

// The ports of entries are below those that the system gives to connections, so that
// none is taken between the choice and the start of its process, or its restart.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is where the search for free ports goes on; each program starts elsewhere.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddresses returns loopback addresses with ports that were free just now, and
// that this program gives to nobody else.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	addresses := make([]netip.AddrPort, 0, count)
	for range lastPort - firstPort {
		if len(addresses) == count {
			return addresses, nil
		}
		nextPort.port++
		if nextPort.port >= lastPort {
			nextPort.port = firstPort
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(nextPort.port))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.New("no free port")
}
