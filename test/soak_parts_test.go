package test

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

const (
	// soakPartsSeconds is how long the default run with crashing parts injects faults.
	soakPartsSeconds = 25
	// calmPhase is how long the run goes on after all faults, the second half of it with most
	// connections at one edge. Its first part, calmTime, is not checked.
	calmPhase = calmTime + 6*time.Second
	// minServedPercent is the least share of sound requests that must be served in the calm phase, at
	// the first attempt.
	minServedPercent = 75
	// partExitDelay is the time from a worker's first event to its exit under a crashing part.
	partExitDelay = 15 * time.Millisecond
)

// soakParts is the state of a run in which one part of prompts makes workers exit.
type soakParts struct {
	// crashing is the crashing part. It changes during the run.
	crashing string
	// sends holds the sends of each crashing part to a worker. calmSends holds the requests whose edge,
	// coordinators and stores had no fault until they were answered.
	sends     map[string][]partSend
	calmSends map[string]bool
	// hotEdge gets all new connections while it is set.
	hotEdge string
	// calm counts the sound requests of the calm phase, hot those of its part at one edge; counting is
	// set while they are counted.
	calm, hot share
	counting  bool
}

// partSend is a request with a crashing part at a worker.
type partSend struct {
	id string
	at time.Time
}

// TestSoakParts runs the soak test with a part of prompts that makes workers exit, answers with a
// length, with chunks and with neither, workers that exit by themselves, and times in which one edge
// gets all new connections.
func TestSoakParts(t *testing.T) {
	seed := envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed)
	s := newSoak(t, seed)
	// An earlier build doesn't know parts.
	s.released = ""
	s.parts = &soakParts{crashing: crashingPart, sends: map[string][]partSend{}, calmSends: map[string]bool{}}
	for _, worker := range s.workers {
		random := rand.New(rand.NewSource(s.random.Int63()))
		worker.InjectFaults(func(request *emulator.HostedRequest) emulator.HostedFault { return s.partFault(random, request) })
	}
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakPartsSeconds)) * time.Second)
	s.checkEnd()
	s.checkPartSends()
	t.Logf("seed %d, %d faults, %d exits; sound requests served in the calm phase %s, at one edge %s; %s", seed, len(s.faults), s.exits(), s.parts.calm, s.parts.hot, s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("complete answers", "completed jobs", "stable positions", "planned stops", "all killed", "third frozen", "crashing parts")
}

// partFault returns the fault of a request at a worker. A worker calls it for one request at a time.
func (s *soak) partFault(random *rand.Rand, request *emulator.HostedRequest) emulator.HostedFault {
	fault := emulator.HostedFault{Framing: emulator.Framing(random.Intn(3))}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	part, _, _ := strings.Cut(strings.TrimPrefix(request.Header.Get("Prompt-Prefix"), commonPart+":100,"), ":")
	if !strings.HasPrefix(part, crashingPart) {
		return fault
	}
	s.parts.sends[part] = append(s.parts.sends[part], partSend{request.ID, time.Now()})
	fault.ExitAfter, fault.RestartAfter = partExitDelay, time.Second
	fault.ExitHeaders, fault.ExitEvents = random.Intn(3) == 0, random.Intn(2)
	return fault
}

// drawPartFault returns a random fault of the workers or of the connections: another crashing part, an
// exit of many workers, or one edge that gets all new connections. The caller holds the mutex.
func (s *soak) drawPartFault() func() {
	gap := time.Duration(s.random.Int63n(int64(time.Second)))
	edge := s.edges()[s.random.Intn(len(s.edges()))]
	switch s.random.Intn(4) {
	case 0:
		part := fmt.Sprintf("%s%d", crashingPart, len(s.faults))
		return func() {
			s.logFault("the crashing part is %s", part)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.parts.crashing = part
		}
	case 1, 2:
		var crashing []*emulator.HostedWorker
		for _, worker := range s.workers {
			if s.random.Intn(2) == 0 {
				crashing = append(crashing, worker)
			}
		}
		return func() { s.crashWorkers(crashing, gap) }
	}
	return func() {
		s.sendAllTo(edge)
		time.Sleep(gap + time.Second)
		s.sendAllTo("")
	}
}

// sendAllTo sends all new connections to one edge, or to all with an empty name.
func (s *soak) sendAllTo(edge string) {
	s.logFault("new connections go to %q", edge)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.parts.hotEdge = edge
}

// newEdge returns the edge of a new connection.
func (s *soak) newEdge(random *rand.Rand) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.parts.hotEdge != "" {
		return s.parts.hotEdge
	}
	return s.edges()[random.Intn(len(s.edges()))]
}

// startPartClients starts the clients of a run with crashing parts. Most of them keep a connection
// until its edge is gone, a third open a new one for each request.
func (s *soak) startPartClients(clients *sync.WaitGroup, seed int64, stop <-chan struct{}) {
	for number := range 12 * s.scale {
		clients.Go(func() { s.runPartClient(number, rand.New(rand.NewSource(seed+int64(number))), stop) })
	}
	clients.Go(func() { s.runCrashingClient(rand.New(rand.NewSource(seed-1)), stop) })
}

func (s *soak) runPartClient(number int, random *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: number%3 == 0, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 20 * time.Second}
	edge := s.newEdge(random)
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int63n(int64(100 * time.Millisecond)))):
		}
		if transport.DisableKeepAlives {
			edge = s.newEdge(random)
		}
		id := fmt.Sprintf("p-%d-%d", number, sent)
		if !s.sendSound(client, edge, id, 1+random.Intn(30), fmt.Sprintf("b%d", random.Intn(6))) {
			transport.CloseIdleConnections()
			edge = s.newEdge(random)
		}
	}
}

// sendSound sends a request without a crashing part, counts its outcome in the calm phase and reports
// whether the edge served it.
func (s *soak) sendSound(client *http.Client, edge, id string, events int, part string) bool {
	s.mutex.Lock()
	counting, hot := s.parts.counting, s.parts.hotEdge != ""
	s.mutex.Unlock()
	served := s.sendOnce(client, edge, id, events, part)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case !counting || !s.parts.counting:
	case hot:
		s.parts.hot.add(served)
	default:
		s.parts.calm.add(served)
	}
	return served
}

// sendOnce sends a request without a crashing part and reports whether it was answered whole. An answer
// that looks complete must be.
func (s *soak) sendOnce(client *http.Client, edge, id string, events int, part string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[edge], portCallers)+"/stream/a", strings.NewReader("body of "+id))
	if err != nil {
		s.recordViolation("%v", err)
		return false
	}
	request.GetBody = nil
	request.Host = hostedHost
	for name, value := range partRequest(id, part) {
		request.Header.Set(name, value)
	}
	request.Header.Set("Token-Count", fmt.Sprintf("160,%d", events))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		s.mutex.Lock()
		s.rejected = append(s.rejected, id)
		s.counts["refused"]++
		s.mutex.Unlock()
		return false
	case err != nil || response.StatusCode != http.StatusOK:
		return false
	}
	s.count("complete answers")
	if want := expectedAnswer(id, events); string(body) != want {
		s.recordViolation("%s got %q, want %q", id, body, want)
	}
	return true
}

// runCrashingClient sends requests with the crashing part, no two alike, each a second time at another
// edge.
func (s *soak) runCrashingClient(random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: 20 * time.Second}
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int63n(int64(200 * time.Millisecond)))):
		}
		for try := range 2 {
			s.sendCrashing(client, s.newEdge(random), fmt.Sprintf("x-%d", sent), fmt.Sprintf("x-%d.%d", sent, try))
		}
	}
}

func (s *soak) sendCrashing(client *http.Client, edge, body, id string) {
	s.mutex.Lock()
	part := s.parts.crashing
	s.mutex.Unlock()
	calm := s.isCalm(edge)
	defer func() {
		if calm && s.isCalm(edge) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.parts.calmSends[id] = true
		}
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[edge], portCallers)+"/stream/a", strings.NewReader(body))
	if err != nil {
		s.recordViolation("%v", err)
		return
	}
	request.Host = hostedHost
	for name, value := range partRequest(id, part) {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		s.recordViolation("%s with the crashing part %s looks complete: %q", id, part, text)
	}
}

// checkCalmParts goes on without faults and checks that sound requests are served, also while one edge
// gets all new connections.
func (s *soak) checkCalmParts() {
	time.Sleep(calmTime)
	s.mutex.Lock()
	s.parts.counting = true
	s.mutex.Unlock()
	time.Sleep((calmPhase - calmTime) / 2)
	s.sendAllTo(s.edges()[0])
	time.Sleep((calmPhase - calmTime) / 2)
	s.mutex.Lock()
	s.parts.counting = false
	calm, hot := s.parts.calm, s.parts.hot
	s.mutex.Unlock()
	s.sendAllTo("")
	for name, counted := range map[string]share{"in the calm phase": calm, "while one edge gets all new connections": hot} {
		if counted.streams == 0 || counted.served*100 < counted.streams*minServedPercent {
			s.recordViolation("%s of the sound requests are served %s, want at least %d in 100", counted, name, minServedPercent)
		}
	}
}

// checkPartSends checks for each crashing part that edges without a fault sent hardly any request with
// it to workers once five had exited.
func (s *soak) checkPartSends() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for part, sends := range s.parts.sends {
		if len(sends) < firstExits {
			continue
		}
		s.counts["crashing parts"]++
		late := 0
		for _, send := range sends[firstExits:] {
			if send.at.After(sends[firstExits-1].at.Add(contactTime)) && s.parts.calmSends[send.id] {
				late++
			}
		}
		if late > maxLateSends {
			s.violations = append(s.violations, fmt.Sprintf("%d requests with the part %s were sent to workers by calm edges more than %s after the fifth exit, of %d in all", late, part, contactTime, len(sends)))
		}
	}
}
