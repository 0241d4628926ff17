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
	log    *logTail
}

// startProcess starts a program with additional environment variables. Standard error,
// the log, goes to the process's logTail, and standard output to out.
func startProcess(name string, environment []string, out io.Writer, program string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, exited: make(chan struct{}), log: &logTail{}}
	p.command = exec.Command(program, arguments...) // #nosec G204 -- the fleet's own programs
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = out
	p.command.Stderr = p.log
	// The kernel kills the child when this process ends, for whatever reason.
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

// PID returns the process id.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() {
	p.Signal(syscall.SIGCONT)
}

// Wait waits for the process to end and returns its error: nil for exit code 0.
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

// Log returns the end of the process's log.
func (p *Process) Log() string {
	return p.log.String()
}

// logTailBytes is the number of bytes to which the log of a process is truncated when it
// is twice as long.
const logTailBytes = 256 << 10

// logTail is a writer that keeps only the last bytes written to it.
type logTail struct {
	mu   sync.Mutex
	data []byte
}

// Write appends the bytes and discards old ones.
func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if len(t.data) > 2*logTailBytes {
		t.data = append([]byte(nil), t.data[len(t.data)-logTailBytes:]...)
	}
	return len(p), nil
}

// String returns the bytes kept.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// startupTimeout bounds the startup of a stand-in.
const startupTimeout = 20 * time.Second

// startStandin starts a stand-in and returns the address that it prints.
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

// The ports of instances are below the ephemeral ports of the operating system, so that
// no outgoing connection takes one between its selection and the start or restart of the
// instance.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort is the position of the search for free ports. It starts at a random port, so
// that programs that run at the same time search different ports.
var nextPort = struct {
	sync.Mutex
	port int
}{port: firstPort + rand.IntN(lastPort-firstPort)}

// freeAddresses returns loopback addresses whose ports were free when checked. Within
// this program no address is returned twice before the search wraps around.
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
