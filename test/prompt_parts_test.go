package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

const (
	// commonPart begins every prompt. crashingPart makes each worker exit that begins an answer on it.
	commonPart   = "a0a0"
	crashingPart = "dead"
	// contactTime is how long after the fifth exit requests with the crashing part may still be sent
	// to workers. maxLateSends limits those that are sent later.
	contactTime   = 3 * time.Second
	maxLateSends  = 3
	firstExits    = 5
	partRestart   = 1500 * time.Millisecond
	partInterval  = 100 * time.Millisecond
	soundInterval = 25 * time.Millisecond
)

// partFaults makes workers exit that run a request with the crashing part, and records when.
type partFaults struct {
	fault emulator.HostedFault
	mutex sync.Mutex
	sends []time.Time
}

// hasCrashingPart reports whether a request's prompt has the crashing part.
func hasCrashingPart(header http.Header) bool {
	return strings.Contains(header.Get("Prompt-Prefix"), crashingPart+":")
}

func (p *partFaults) faultFor(request *emulator.HostedRequest) emulator.HostedFault {
	if !hasCrashingPart(request.Header) {
		return emulator.HostedFault{}
	}
	p.mutex.Lock()
	p.sends = append(p.sends, time.Now())
	p.mutex.Unlock()
	return p.fault
}

// lateSends returns how many requests with the crashing part reached a worker after the given time.
func (p *partFaults) lateSends(after time.Time) (late, total int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, at := range p.sends {
		if at.After(after) {
			late++
		}
	}
	return late, len(p.sends)
}

// partRequest returns the headers of a request. Each request has a last part of its own.
func partRequest(id, part string) map[string]string {
	return map[string]string{"Request-Id": id, "Token-Count": "160,6", "Deadline-Ms": "4000",
		"Prompt-Prefix": fmt.Sprintf("%s:100,%s:50,%s:10", commonPart, part, id)}
}

// sendPart sends a request with a body of its own and reports whether it was answered whole.
func (f *hostedFleet) sendPart(edge, target, id, part string) (status int, complete bool) {
	status, _, text, err := f.call(http.MethodPost, edge, target, partRequest(id, part), "body of "+id)
	return status, err == nil && status == http.StatusOK && text == events(id, 1, 6)
}

// partDocument returns a job whose items have prompts of three parts: a common one, the given one, and one
// of their own.
func partDocument(id string, items, tokens int, part func(number int) string) string {
	document := jobDocument(id, items, tokens)
	for number := range items {
		headers := fmt.Sprintf(`"headers":{"Prompt-Prefix":"%s:100,%s:50,%s-%d:10",`, commonPart, part(number), id, number)
		document = strings.Replace(document, `"headers":{"Token-Count"`, headers+`"Token-Count"`, 1)
	}
	return document
}

// crashingInHalf is the part of a job's items of which every second one has the crashing part.
func crashingInHalf(number int) string {
	if number%2 == 0 {
		return crashingPart
	}
	return "b0"
}

// soundCounts counts sound requests: all of them, and those that were answered whole.
type soundCounts struct{ sent, complete atomic.Int64 }

func (s *soundCounts) share() float64 {
	return float64(s.complete.Load()) / float64(max(s.sent.Load(), 1))
}

// partTraffic sends requests to the edges in turn: requests with the crashing part, no two alike, and
// sound ones that share all their other parts.
type partTraffic struct {
	fleet   *hostedFleet
	name    string
	edges   []string
	callers sync.WaitGroup
	stop    chan struct{}
	// early counts the sound requests sent until settled is set, late those sent after it.
	early, late soundCounts
	settled     atomic.Bool
}

func startPartTraffic(f *hostedFleet, name string, edges []string, withCrashing bool) *partTraffic {
	p := &partTraffic{fleet: f, name: name, edges: edges, stop: make(chan struct{})}
	if withCrashing {
		p.every(partInterval, func(number int, edge string) {
			f.sendPart(edge, "/stream/a", p.name+fmt.Sprintf("-c-%d", number), crashingPart)
		})
	}
	p.every(soundInterval, func(number int, edge string) {
		count := &p.early
		if p.settled.Load() {
			count = &p.late
		}
		count.sent.Add(1)
		if _, complete := f.sendPart(edge, "/stream/a", p.name+fmt.Sprintf("-s-%d", number), fmt.Sprintf("b%d", number%4)); complete {
			count.complete.Add(1)
		}
	})
	return p
}

// every sends a request at each interval until the traffic stops.
func (p *partTraffic) every(interval time.Duration, send func(number int, edge string)) {
	p.callers.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-p.stop:
				return
			case <-ticker.C:
				p.callers.Go(func() { send(number, p.edges[number%len(p.edges)]) })
			}
		}
	})
}

func (p *partTraffic) end() {
	close(p.stop)
	p.callers.Wait()
}

// newPartFleet starts a fleet whose workers exit under the crashing part.
func newPartFleet(t *testing.T) (*hostedFleet, []string, *partFaults) {
	t.Helper()
	f := newHostedFleet(t, 12)
	edges := f.configure(t)
	faults := &partFaults{fault: emulator.HostedFault{ExitAfter: 15 * time.Millisecond, RestartAfter: partRestart}}
	f.injectFaults(faults.faultFor)
	return f, edges, faults
}

// TestPromptPartThatMakesWorkersExit guards against worker exits for as long as requests come that
// have one part of their prompts in common.
func TestPromptPartThatMakesWorkersExit(t *testing.T) {
	f, edges, faults := newPartFleet(t)
	traffic := startPartTraffic(f, "all", edges, true)
	eventually(t, "five exits", func() bool { return f.exits() >= firstExits })
	fifth := time.Now()
	time.Sleep(2 * contactTime)
	traffic.settled.Store(true)
	time.Sleep(2 * time.Second)
	traffic.end()
	late, total := faults.lateSends(fifth.Add(contactTime))
	t.Logf("%d exits; %d sends of the part, %d of them late; sound requests served: %.3f, then %.3f of %d", f.exits(), total, late, traffic.early.share(), traffic.late.share(), traffic.late.sent.Load())
	if late > maxLateSends {
		t.Errorf("%d requests with the part were sent to workers more than %s after the fifth exit, want at most %d", late, contactTime, maxLateSends)
	}
	if traffic.late.share() < 0.9 {
		t.Errorf("%.3f of the sound requests were served, want at least 0.9", traffic.late.share())
	}

	// What is known of the part must survive a kill of all edges and coordinators.
	for name, machine := range f.machines {
		if !strings.HasPrefix(name, "store") {
			f.kill(machine)
		}
	}
	for name, machine := range f.machines {
		if !strings.HasPrefix(name, "store") {
			f.start(machine, false)
		}
	}
	edges = f.configure(t)
	_, before := faults.lateSends(fifth)
	for number := range 12 {
		f.sendPart(edges[number%len(edges)], "/stream/a", fmt.Sprintf("r-%d", number), crashingPart)
	}
	if _, after := faults.lateSends(fifth); after-before > 1 {
		t.Errorf("%d requests with the part were sent to workers after a restart, want at most 1, in a trial", after-before)
	}
}

// TestItemsWithPromptPartThatMakesWorkersExit guards against worker exits under the items of a job that
// have one part of their prompts in common.
func TestItemsWithPromptPartThatMakesWorkersExit(t *testing.T) {
	const items, crashing, tokens = 24, 12, 20
	f, edges, faults := newPartFleet(t)
	f.submitJob(t, edges[0], "/batch/", "j1", partDocument("j1", items, tokens, crashingInHalf))
	eventually(t, "the results of the sound items", func() bool {
		page, _ := f.readResults(edges[1], "j1", 0)
		return page != nil && len(page.Results) == items-crashing
	})
	eventually(t, "three exits", func() bool { return f.exits() >= 3 })
	settled := time.Now()
	time.Sleep(2 * contactTime)
	late, total := faults.lateSends(settled.Add(contactTime))
	t.Logf("%d exits; %d sends of the part, %d of them late", f.exits(), total, late)
	if late > maxLateSends || total > 2*crashing {
		t.Errorf("%d sends of the part, %d of them late, want at most %d and %d", total, late, 2*crashing, maxLateSends)
	}
	f.checkStates(t, edges[0], "j1", "completed")
}
