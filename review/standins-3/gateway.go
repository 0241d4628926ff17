package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is one process of the project, started with the command of deploy/system.toml.
type gateway struct {
	id, zone, region string
	front, ready     string
	peer, directory  string
	metrics          string
	settings         string
	cmd              *exec.Cmd
	exited           chan struct{}

	mu                sync.Mutex
	peakAnon, peakRSS int64
}

// memoryMB is memory_mb of the machines of the small site files, and maxFDs their max_fds.
const (
	memoryMB = 284
	maxFDs   = 4100
)

// extraBounds are further lines of the section bounds of the settings.
var extraBounds string

var (
	running   []*gateway
	runningMu sync.Mutex
)

// freePorts returns different free ports of an address.
func freePorts(ip string, count int) []int {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// place is where a gateway runs.
type place struct{ id, zone, region string }

// startGateways starts a gateway for each place, and returns once all are ready.
func startGateways(storeAddr string, places []place) []*gateway {
	var list []*gateway
	zones := map[string]string{}
	for i, p := range places {
		ip := fmt.Sprintf("127.0.%d.%d", 20+i/200, 10+i%200)
		g := &gateway{id: p.id, zone: p.zone, region: p.region}
		ports := freePorts(ip, 5)
		g.front = ip + ":" + strconv.Itoa(ports[0])
		g.ready = ip + ":" + strconv.Itoa(ports[1])
		g.peer = ip + ":" + strconv.Itoa(ports[2])
		g.directory = ip + ":" + strconv.Itoa(ports[3])
		g.metrics = ip + ":" + strconv.Itoa(ports[4])
		zones[p.zone] = p.region
		list = append(list, g)
	}
	var seeds, zoneList []string
	for _, g := range list[:min(3, len(list))] {
		seeds = append(seeds, g.peer)
	}
	for zone, region := range zones {
		zoneList = append(zoneList, zone+":"+region)
	}
	for _, g := range list {
		g.settings = filepath.Join(tempDir, g.id+".ini")
		text := fmt.Sprintf(`[instance]
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
zones = %s

[platform]
address = %s

[bounds]
retry-ratio = 0.2
retry-window = 10s
retry-free = 54
grace = 8s
directory-hold = 1s
%s
[limits]
memory = %d
descriptors = %d

[engines]
prompt-rate = 58
`, g.id, g.zone, g.region, g.front, g.ready, g.peer, g.directory, g.metrics, strings.Join(seeds, ","),
			strings.Join(zoneList, ","), storeAddr, extraBounds, memoryMB, maxFDs)
		check(os.WriteFile(g.settings, []byte(text), 0o600))
		g.start()
	}
	for _, g := range list {
		g.awaitReady()
	}
	return list
}

func (g *gateway) start() {
	log, err := os.OpenFile(filepath.Join(tempDir, g.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	g.cmd = exec.Command("target/arbutustrestle", "gateway", g.settings)
	g.cmd.Dir = root
	g.cmd.Env = append(os.Environ(), "ARBUTUSTRESTLE_BOOT="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	check(g.cmd.Start())
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(g.cmd, g.exited)
	go g.sample(g.cmd.Process.Pid, g.exited)
	runningMu.Lock()
	defer runningMu.Unlock()
	running = append(running, g)
}

// sample follows the memory of the process.
func (g *gateway) sample(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue
		}
		g.mu.Lock()
		for line := range strings.SplitSeq(string(data), "\n") {
			fields := strings.Fields(line)
			if len(fields) < 2 {
				continue
			}
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			switch fields[0] {
			case "RssAnon:":
				g.peakAnon = max(g.peakAnon, kb<<10)
			case "VmHWM:":
				g.peakRSS = max(g.peakRSS, kb<<10)
			}
		}
		g.mu.Unlock()
	}
}

func (g *gateway) peaks() (anon, rss int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakAnon, g.peakRSS
}

func (g *gateway) hasExited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

func (g *gateway) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + g.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("the case could not run: " + g.id + " is not ready")
}

func (g *gateway) signal(s syscall.Signal) {
	logEvent("operator", "%v to %s", s, g.id)
	_ = g.cmd.Process.Signal(s)
}

func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, g := range running {
		if !g.hasExited() {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
}
