package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(l *lab) (bool, error){
	"unframed": caseUnframed,
	"versions": caseVersions,
	"taken-up": caseTakenUp,
	"in-event": func(l *lab) (bool, error) { return caseCrashPart(l, 2, true) },
	"deep":     func(l *lab) (bool, error) { return caseCrashPart(l, 40, false) },
}

const (
	zone   = "west-eu-a"
	region = "west-eu"
	// contact is contact_ms of the site.
	contact = 5 * time.Second
)

// config is a desired state like those of the site reisdraad-prod.
func config(version, quickTimeoutMs int, warmup string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-quick","host":%q,"prefix":"/quick/","kind":"streaming","timeout_ms":%d,"slo_ms":600,"priority":0,"service":"gids","max_attempts":2,"sticky":true,"resumable":true,"gap_slo_ms":300,"home_regions":[]},
{"name":"r-plan","host":%q,"prefix":"/plan/","kind":"streaming","timeout_ms":15000,"slo_ms":1000,"priority":1,"service":"gids","max_attempts":1,"sticky":true,"resumable":false,"gap_slo_ms":300,"home_regions":[]}],
"services":[{"name":"gids","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,%s,"engine":{"slots":64,"kv_tokens":536377,"kv_bytes":18432,"link_mbps":550000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, host, quickTimeoutMs, host, warmup)
}

// The warm-up of the service gids at the site, and that of a service without one, as the site's
// reisapp is.
const (
	siteWarmup = `"warmup_s":3.0,"warmup_per_s":2.5`
	noWarmup   = `"warmup_s":0.0,"warmup_per_s":0.0`
)

// fleet starts gateways of one region and replicas of the service gids.
func (l *lab) fleet(gateways, replicas, quickTimeoutMs int, warmup string, flags ...string) ([]*gateway, []*server, error) {
	l.store.put("op/config", config(7, quickTimeoutMs, warmup))
	var servers []*server
	for i := range replicas {
		s, err := newServer(fmt.Sprintf("i-%d", i+1), "gids", zone)
		if err != nil {
			return nil, nil, err
		}
		if err := l.startServer(s, flags...); err != nil {
			return nil, nil, err
		}
		l.publish(s)
		servers = append(servers, s)
	}
	var list []*gateway
	for i := range gateways {
		g, err := newGateway(fmt.Sprintf("front-west-eu-a-%d", i+1), zone, region)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, g)
	}
	return list, servers, l.startGateways(list...)
}

// traffic sends a request made by next every interval until stop is closed, and collects what its
// requesters got.
type traffic struct {
	// takeUpAt, if set, are the addresses at which requesters take up streams that were broken off.
	takeUpAt []string

	work sync.WaitGroup
	mu   sync.Mutex
	all  []sent
}

// sent is a request with its answer. taken holds the events that its requester got when it took the
// stream up again after the connection had broken.
type sent struct {
	ask
	got
	taken []string
	tries int
}

// takeUp takes up a stream of a resumable route that was broken off, as requesters do, within its
// deadline.
func (s *sent) takeUp(l *lab, addresses ...string) {
	end := s.sentAt + s.deadline
	for _, address := range addresses {
		if s.complete || len(s.ids) == 0 || !strings.HasPrefix(s.path, "/quick/") {
			return
		}
		time.Sleep(50 * time.Millisecond)
		left := end - l.elapsed()
		if left <= 0 {
			return
		}
		s.tries++
		again := l.send(address, ask{
			id: fmt.Sprintf("%s-%d", s.id, s.tries), path: s.path, prefix: s.prefix, deadline: left,
			lastEvent: fmt.Sprint(s.ids[len(s.ids)-1]), resumes: s.id,
		}, nil)
		if again.status == 200 {
			s.taken = append(s.taken, again.events...)
			s.ids = append(s.ids, again.ids...)
			s.complete = again.complete
			continue
		}
		time.Sleep(min(time.Duration(again.retryAfter*float64(time.Second)), left/3))
	}
}

func (t *traffic) run(l *lab, stop <-chan struct{}, interval time.Duration, next func(n int) (string, ask)) {
	t.work.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			address, a := next(n)
			t.work.Go(func() {
				s := sent{ask: a, got: l.send(address, a, nil)}
				s.takeUp(l, t.takeUpAt...)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.all = append(t.all, s)
			})
		}
	})
}

// caseUnframed: replicas answer without a length or chunks, and one is taken away at short notice.
func caseUnframed(l *lab) (bool, error) {
	gateways, servers, err := l.fleet(2, 3, 3000, siteWarmup, "-unframed")
	if err != nil {
		return false, err
	}
	l.until(6)
	var t traffic
	stop := make(chan struct{})
	const events = 20
	t.run(l, stop, 150*time.Millisecond, func(n int) (string, ask) {
		return gateways[n%2].caller, ask{
			id: fmt.Sprintf("plan-%04d", n), path: fmt.Sprintf("/plan/2f?events=%d&gap=200", events),
			prefix: fmt.Sprintf("5c1e07a2:200,%x:100,%x:100", n%7, 0x10000+n), deadline: 15 * time.Second,
		}
	})
	l.until(10)
	spot := servers[0]
	if l.trouble {
		if l.control == "" {
			spot.state, spot.extra = "draining", `,"remaining_ms":2000`
			l.publish(spot)
		}
		l.until(12)
		if l.control == "zone" {
			for _, s := range servers {
				_ = s.command.Process.Kill()
			}
		}
		l.kill(spot)
		l.until(12.5)
		l.store.remove("servers/" + spot.id)
	}
	l.until(14)
	close(stop)
	t.work.Wait()
	short, whole, cut := 0, 0, 0
	for _, s := range t.all {
		switch {
		case s.complete && s.status == 200 && len(s.events) < events:
			short++
			l.say("%s: the answer ends as complete after event %d of %d", s.id, len(s.events), events)
		case s.complete && s.status == 200:
			whole++
		default:
			cut++
		}
	}
	l.say("streams: %d whole, %d cut or refused, %d that end as complete before their last piece", whole, cut, short)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return short > 0, nil
}

// caseVersions: the replicas of a service crash one after the other and start again after two
// seconds, under their ids and with a new version of their software, while the store is silent.
func caseVersions(l *lab) (bool, error) {
	warmup := noWarmup
	if l.control == "warmup" {
		warmup = siteWarmup
	}
	gateways, servers, err := l.fleet(2, 4, 3000, warmup)
	if err != nil {
		return false, err
	}
	l.until(8)
	t := traffic{takeUpAt: []string{gateways[1].caller, gateways[0].caller}}
	stop := make(chan struct{})
	const events = 8
	prefix := func(n int) string { return fmt.Sprintf("5c1e07a2:200,%x:100,%x:100", n%7, 0x10000+n) }
	t.run(l, stop, 52*time.Millisecond, func(n int) (string, ask) {
		return gateways[n%2].caller, ask{
			id: fmt.Sprintf("quick-%04d", n), path: fmt.Sprintf("/quick/2f?events=%d&gap=200", events),
			prefix: prefix(n), deadline: 3 * time.Second,
		}
	})
	t.run(l, stop, 119*time.Millisecond, func(n int) (string, ask) {
		return gateways[n%2].caller, ask{
			id: fmt.Sprintf("plan-%04d", n), path: "/plan/2f?events=5&gap=200",
			prefix: prefix(n), deadline: 15 * time.Second,
		}
	})
	// It is down for as long as replicas that crash at the site.
	crash := func(s *server) error {
		l.kill(s)
		time.Sleep(2 * time.Second)
		s.version = "v2"
		if err := l.startServer(s); err != nil {
			return err
		}
		l.publish(s)
		return nil
	}
	l.until(12)
	if l.trouble {
		l.store.setSilent(true)
		l.say("the store falls silent")
	}
	for i, at := range []float64{12.05, 14.1, 16.15, 19.4} {
		l.until(at)
		if err := crash(servers[i]); err != nil {
			return false, err
		}
	}
	l.until(20)
	if l.trouble {
		l.store.setSilent(false)
		l.say("the store answers again")
	}
	l.until(20.3)
	for _, s := range servers {
		l.publish(s)
	}
	l.until(23)
	close(stop)
	t.work.Wait()
	mixed, whole, other := 0, 0, 0
	for _, s := range t.all {
		first, all := versions(s.events), versions(append(s.events, s.taken...))
		switch {
		case len(first) > 1:
			mixed++
			l.say("%s: events of %v in one answer", s.id, first)
		case len(all) > 1:
			mixed++
			l.say("%s: events of %v over the requester's tries", s.id, all)
		case s.complete && s.status == 200:
			whole++
		default:
			other++
		}
	}
	l.say("streams: %d whole of one version, %d cut or refused, %d with events of two versions (2 are allowed)", whole, other, mixed)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return mixed > 2, nil
}

// caseTakenUp: a release begins while streams are under way, and then the gateway is killed that
// serves them; their requesters take them up at the other one.
func caseTakenUp(l *lab) (bool, error) {
	gateways, servers, err := l.fleet(3, 3, 15000, siteWarmup)
	if err != nil {
		return false, err
	}
	_ = servers
	release := l.control != "norelease"
	l.until(36)
	const streams, events = 24, 40
	var work sync.WaitGroup
	type outcome struct {
		begun, whole, takenUp, wentOn, tries int
		statuses                             []int
	}
	outcomes := make([]outcome, streams)
	for i := range streams {
		work.Go(func() {
			o := &outcomes[i]
			id := fmt.Sprintf("quick-%04d", i)
			path := fmt.Sprintf("/quick/2f?events=%d&gap=250", events)
			prefix := fmt.Sprintf("5c1e07a2:200,%x:100,%x:100", i%7, 0x10000+i)
			end := time.Now().Add(15 * time.Second)
			first := l.send(gateways[0].caller, ask{id: id, path: path, prefix: prefix, deadline: 15 * time.Second}, nil)
			o.begun = len(first.ids)
			if first.complete && len(first.ids) == events {
				o.whole = 1
			}
			if first.complete || len(first.ids) == 0 {
				return
			}
			o.takenUp = 1
			last := first.ids[len(first.ids)-1]
			for try := range 3 {
				o.tries++
				address := gateways[1+(i+try)%2].caller
				again := l.send(address, ask{id: fmt.Sprintf("%s-%d", id, try+1), path: path, prefix: prefix, deadline: time.Until(end), lastEvent: fmt.Sprint(last), resumes: id}, nil)
				o.statuses = append(o.statuses, again.status)
				if again.status == 200 && len(again.ids) > 0 {
					o.wentOn = 1
					return
				}
				time.Sleep(time.Duration(max(again.retryAfter, 0.1) * float64(time.Second)))
			}
		})
	}
	l.until(40.5)
	if release {
		s, err := newServer("i-4", "gids", zone)
		if err != nil {
			return false, err
		}
		s.version = "v2"
		if err := l.startServer(s); err != nil {
			return false, err
		}
		l.publish(s)
	}
	l.until(42)
	if l.trouble {
		_ = gateways[0].command.Process.Kill()
		l.say("gateway %s killed", gateways[0].name)
	}
	var t traffic
	stop := make(chan struct{})
	t.run(l, stop, 100*time.Millisecond, func(n int) (string, ask) {
		return gateways[1+n%2].caller, ask{
			id: fmt.Sprintf("new-%04d", n), path: "/quick/2f?events=4&gap=250",
			prefix: fmt.Sprintf("5c1e07a2:200,%x:100,%x:100", n%7, 0x20000+n), deadline: 3 * time.Second,
		}
	})
	l.until(46)
	close(stop)
	t.work.Wait()
	work.Wait()
	whole, takenUp, wentOn, begun := 0, 0, 0, 0
	for i, o := range outcomes {
		whole += o.whole
		takenUp += o.takenUp
		wentOn += o.wentOn
		if o.takenUp > 0 {
			l.say("quick-%04d: broken off after %d events; taken up: statuses %v", i, o.begun, o.statuses)
		}
	}
	for _, s := range t.all {
		if s.status == 200 && len(s.events) > 0 {
			begun++
		}
	}
	l.say("%d streams whole at once; taken up: %d, of which %d go on; new: %d, of which %d begin", whole, takenUp, wentOn, len(t.all), begun)
	if begun == 0 {
		return false, fmt.Errorf("no new stream began")
	}
	if takenUp < 12 {
		return false, nil
	}
	return float64(wentOn)/float64(takenUp) < float64(begun)/float64(len(t.all))/2, nil
}

// caseCrashPart: a part of prompts crashes each replica that begins to write an answer on it. It
// stands at a place among the shared parts, counted from 1. In inEvent, the replica crashes when it
// has written a part of the first event.
func caseCrashPart(l *lab, place int, inEvent bool) (bool, error) {
	const part = "deadbeef"
	var flags []string
	if l.trouble {
		flags = []string{"-crash-part", part}
		if inEvent && l.control != "before" {
			flags = append(flags, "-crash-in-event")
		}
	}
	if l.control == "early" {
		place = 2
	}
	gateways, servers, err := l.fleet(2, 4, 3000, siteWarmup, flags...)
	if err != nil {
		return false, err
	}
	l.until(6)
	var t traffic
	stop := make(chan struct{})
	// Prompts have as many shared parts as a long session; the last one is the request's own.
	prefix := func(n int, bad bool) string {
		text := "5c1e07a2:20"
		for i := 2; i <= place+2; i++ {
			switch {
			case bad && i == place:
				text += "," + part + ":20"
			default:
				text += fmt.Sprintf(",%x:20", 0x100000+1000*(n%5)+i)
			}
		}
		return text + fmt.Sprintf(",%x:20", 0x900000+n)
	}
	t.run(l, stop, 100*time.Millisecond, func(n int) (string, ask) {
		return gateways[n%2].caller, ask{id: fmt.Sprintf("sound-%04d", n), path: "/quick/2f?events=4&gap=150", prefix: prefix(n, false), deadline: 3 * time.Second}
	})
	l.until(8)
	// Those with the part are no two alike; they come at any gateway.
	t.run(l, stop, 2*time.Second, func(n int) (string, ask) {
		return gateways[n%2].caller, ask{id: fmt.Sprintf("bad-%04d", n), path: "/quick/2f?events=4&gap=150", prefix: prefix(5000+n, true), deadline: 3 * time.Second}
	})
	crashes := []time.Duration{}
	back := map[*server]time.Time{}
	for l.elapsed() < 64*time.Second {
		time.Sleep(20 * time.Millisecond)
		for _, s := range servers {
			if at, down := back[s]; down {
				if time.Now().After(at) {
					delete(back, s)
					if err := l.startServer(s, flags...); err != nil {
						return false, err
					}
					s.extra = ""
					l.publish(s)
				}
				continue
			}
			if s.hasEnded() {
				crashes = append(crashes, l.elapsed())
				l.say("replica %s has crashed (%d)", s.id, len(crashes))
				back[s] = time.Now().Add(2500 * time.Millisecond)
			}
		}
	}
	close(stop)
	t.work.Wait()
	arrivals := 0
	if len(crashes) >= 5 {
		from := crashes[4] + contact
		for _, r := range l.allRuns() {
			if r.What == "runs" && r.Part && r.at > from {
				arrivals++
			}
		}
		l.say("the fifth crash came at %.1f s", crashes[4].Seconds())
	}
	soundOK, sound := 0, 0
	for _, s := range t.all {
		if s.id[:5] == "sound" {
			sound++
			if s.complete && s.status == 200 {
				soundOK++
			}
		}
	}
	l.say("%d crashes; later than contact_ms after the fifth, %d requests with the part reached replicas (3 are allowed); %d of %d sound requests were served", len(crashes), arrivals, soundOK, sound)
	if soundOK == 0 {
		return false, fmt.Errorf("no sound request was served")
	}
	return arrivals > 3, nil
}
