package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds what a case has started, and its record.
type lab struct {
	root, dir string
	trouble   bool
	control   string
	start     time.Time
	store     *store
	seeds     string

	mu       sync.Mutex
	record   *bufio.Writer
	runs     []replicaRun
	children []*exec.Cmd
}

// replicaRun is what a replica has told, and when.
type replicaRun struct {
	at time.Duration
	replicaLine
}

func runCase(name string, args []string, play func(l *lab) (bool, error)) int {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", control: os.Getenv("CONTROL"), start: time.Now()}
	f.StringVar(&l.root, "root", "", "the repository")
	recordFile := f.String("record", "record.txt", "")
	if f.Parse(args) != nil {
		return exitFailed
	}
	file, err := os.Create(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	l.record = bufio.NewWriter(file)
	defer l.record.Flush()
	if l.dir, err = os.MkdirTemp("", "caselab-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept:", l.dir)
	}
	defer l.endAll()
	l.note("case %s, trouble %v, control %q", name, l.trouble, l.control)
	if l.store, err = startStore(); err == nil {
		var broken bool
		if broken, err = play(l); err == nil {
			if broken {
				l.verdict("BROKEN")
				return exitBroken
			}
			l.verdict("held")
			return exitHeld
		}
	}
	l.verdict("the case couldn't run: " + strings.ReplaceAll(err.Error(), l.root, "."))
	return exitFailed
}

func (l *lab) verdict(text string) {
	l.note("verdict: %s", text)
	fmt.Println("verdict:", text)
}

func (l *lab) elapsed() time.Duration { return time.Since(l.start) }

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", l.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to the standard output.
func (l *lab) say(format string, args ...any) {
	l.note(format, args...)
	fmt.Printf("%8.3f  %s\n", l.elapsed().Seconds(), fmt.Sprintf(format, args...))
}

// until waits until a time of the case.
func (l *lab) until(seconds float64) {
	time.Sleep(time.Duration(seconds*float64(time.Second)) - l.elapsed())
}

func (l *lab) endAll() {
	for _, c := range l.children {
		_ = c.Process.Kill()
	}
	for _, c := range l.children {
		_ = c.Wait()
	}
}

// loopback is the address of this run, so that several runs don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(200), rand.IntN(250))

// given holds the addresses that freeAddress has returned.
var given = map[string]bool{}

// freeAddress returns an address with a port that is free and that it hasn't returned before.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !given[address] {
			given[address] = true
			return address, nil
		}
	}
}

// gateway is one process of the project.
type gateway struct {
	name, zone, region                       string
	caller, ready, peer, directory, metrics_ string
	command                                  *exec.Cmd
}

// newGateway chooses the addresses of a gateway.
func newGateway(name, zone, region string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, region: region}
	for _, address := range []*string{&g.caller, &g.ready, &g.peer, &g.directory, &g.metrics_} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// settings are those that deploy/entry.ini gives for a machine of the site reisdraad-prod.
const settings = `[instance]
id = %s
zone = %s
region = %s
caller-address = %s
ready-address = %s
peer-address = %s
directory-address = %s
metrics-address = %s
seeds = %s

[places]
zones = west-eu-a:west-eu,north-eu-b:north-eu,south-eu-c:south-eu

[platform]
address = %s

[bounds]
retry-ratio = 0.2
retry-window = 10s
retry-free = 54
grace = 8s
directory-hold = 1s

[limits]
memory = 284
descriptors = 4100

[engines]
prompt-rate = 58
`

// startGateways starts gateways and waits until they are ready.
func (l *lab) startGateways(list ...*gateway) error {
	var seeds []string
	for _, g := range list[:min(len(list), 3)] {
		seeds = append(seeds, g.peer)
	}
	l.seeds = strings.Join(seeds, ",")
	for _, g := range list {
		if err := l.startGateway(g); err != nil {
			return err
		}
	}
	for _, g := range list {
		if err := l.awaitReady(g); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) startGateway(g *gateway) error {
	file := filepath.Join(l.dir, g.name+".ini")
	text := fmt.Sprintf(settings, g.name, g.zone, g.region, g.caller, g.ready, g.peer, g.directory, g.metrics_, l.seeds, l.store.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(l.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	g.command = exec.Command(filepath.Join(l.root, "target", "arbutustrestle"), "gateway", file)
	g.command.Dir = l.root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSTRESTLE_BOOT=" + file}
	g.command.Stdout, g.command.Stderr = output, output
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	l.children = append(l.children, g.command)
	l.note("gateway %s started", g.name)
	return nil
}

func (l *lab) awaitReady(g *gateway) error {
	for range 200 {
		response, err := http.Get("http://" + g.ready + "/ready")
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				l.note("gateway %s is ready", g.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	output, _ := os.ReadFile(filepath.Join(l.dir, g.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	return fmt.Errorf("gateway %s did not become ready; its last line: %s", g.name, lines[len(lines)-1])
}

// server is a replica as the lab knows it.
type server struct {
	id, service, address, zone, version string
	state                               string
	extra                               string
	sequence                            int
	born                                time.Time
	command                             *exec.Cmd
	orders                              io.WriteCloser
	ended                               chan struct{}
}

func newServer(id, service, zone string) (*server, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &server{id: id, service: service, zone: zone, version: "v1", state: "ready", address: address}, nil
}

// startServer starts a replica and waits until it listens.
func (l *lab) startServer(s *server, flags ...string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(program, append([]string{"replica", "-id", s.id, "-address", s.address, "-version", s.version}, flags...)...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if s.orders, err = c.StdinPipe(); err != nil {
		return err
	}
	s.born = time.Now()
	s.sequence = 0
	if err := c.Start(); err != nil {
		return err
	}
	s.command = c
	s.ended = make(chan struct{})
	listens := make(chan struct{})
	go l.readServer(s.ended, out, listens)
	l.children = append(l.children, c)
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		return fmt.Errorf("replica %s does not listen", s.id)
	}
	l.say("replica %s %s started", s.id, s.version)
	return nil
}

func (l *lab) readServer(ended chan struct{}, out io.Reader, listens chan struct{}) {
	defer close(ended)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line replicaLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.What == "listens" {
			close(listens)
			continue
		}
		l.mu.Lock()
		l.runs = append(l.runs, replicaRun{l.elapsed(), line})
		l.mu.Unlock()
		l.note("replica %s %s %s %s after=%q", line.Replica, line.Version, line.What, line.Request, line.After)
	}
}

// kill ends a replica with SIGKILL.
func (l *lab) kill(s *server) {
	_ = s.command.Process.Kill()
	<-s.ended
	l.say("replica %s %s killed", s.id, s.version)
}

// hasEnded reports whether the replica has ended by itself.
func (s *server) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// publish writes the entry of a replica, as the replica itself does.
func (l *lab) publish(s *server) {
	s.sequence++
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":%q,"warmup_left_ms":0,"born":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d%s}`,
		s.service, s.address, s.zone, s.version, s.state, s.born.UnixMilli(), s.sequence, s.extra)
	if l.store.put("servers/"+s.id, value) {
		l.say("entry of %s: %s %s", s.id, s.version, s.state)
	}
}

// allRuns returns what replicas have told so far.
func (l *lab) allRuns() []replicaRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]replicaRun(nil), l.runs...)
}
