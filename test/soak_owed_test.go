package test

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// soakOwedSeconds is how long the default run with owed items injects faults.
	soakOwedSeconds = 25
	// lotInterval is the time between two jobs on the newest route, lotItems and lotTokens are their
	// size. A route is there for routeVersions versions, so the items of slow jobs see it end.
	lotInterval   = 250 * time.Millisecond
	lotItems      = 4
	lotTokens     = 150
	routeVersions = 30
	// blindOutage is how long the coordinators are down after stores or edges missed a change.
	blindOutage = 3 * time.Second
	// streamTimeout and lotTimeout are how long clients wait.
	streamTimeout = 10 * time.Second
	lotTimeout    = 3 * time.Second
	// Within a burst, a half of the workers exits again and again.
	shortBurst = 3 * time.Second
)

// soakOwed is the state of a run in which items must not be lost, nor held back.
type soakOwed struct {
	// sent is the newest version that was sent to a coordinator, lots are the accepted jobs.
	sent int
	lots map[string]*lot
	// bursting is set while workers exit.
	bursting bool
}

// lot is a job that was accepted on the route that a version added.
type lot struct {
	version int
	states  map[string]string
}

// TestSoakOwed runs the soak test with routes that come and go while stores, edges and coordinators are
// lost one after the other, and with bursts of worker exits. An item may be abandoned only after the end
// of its route, and all items are done soon after the last fault.
func TestSoakOwed(t *testing.T) {
	seed := envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed)
	s := newSoak(t, seed)
	// Stores of an earlier build abandon items by a configuration of any age.
	s.released = ""
	s.owed = &soakOwed{lots: map[string]*lot{}}
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakOwedSeconds)) * time.Second)
	s.checkLots()
	s.checkEnd()
	t.Logf("seed %d, %d faults; %d lots: %d items completed, %d abandoned; %d bursts; %s", seed, len(s.faults), len(s.owed.lots), s.counts["completed items"], s.counts["abandoned items"], s.counts["bursts"], s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("complete answers", "completed jobs", "stable positions", "completed items", "bursts", "blind stores", "blind edges", "all killed", "third frozen")
}

// lotRoutes returns the batch routes that the last versions added.
func lotRoutes(version int) string {
	var routes strings.Builder
	for added := max(21, version-routeVersions); added <= version; added++ {
		routes.WriteString("," + batchRoute(fmt.Sprintf("lot-%d", added), 1_000_000))
	}
	return routes.String()
}

// routesOf returns the routes that the operator adds in a version.
func (s *soak) routesOf(version int) string {
	if s.owed == nil {
		return soakRoutes(version)
	}
	s.mutex.Lock()
	s.owed.sent = version
	s.mutex.Unlock()
	return soakRoutes(version) + lotRoutes(version)
}

// startOwedClients starts clients that send streams and jobs over open connections.
func (s *soak) startOwedClients(clients *sync.WaitGroup, seed int64, stop <-chan struct{}) {
	for number := range 4 * s.scale {
		clients.Go(func() { s.runStreams(number, rand.New(rand.NewSource(seed+int64(number))), stop) })
	}
	clients.Go(func() { s.runLots(rand.New(rand.NewSource(seed-1)), stop) })
}

// runStreams sends streams to one edge after the other. An answer that looks complete must be whole.
func (s *soak) runStreams(number int, random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		edge, id, tokens := s.edges()[random.Intn(3*s.scale)], fmt.Sprintf("o-%d-%d", number, sent), 1+random.Intn(20)
		headers := map[string]string{"Request-Id": id, "Token-Count": fmt.Sprintf("1,%d", tokens)}
		status, _, body, err := s.callOver(client, streamTimeout, http.MethodPost, s.address(s.machines[edge], portCallers), "/stream/a", headers, "p")
		switch {
		case err != nil:
			s.count("cut")
		case status != http.StatusOK:
			s.count("refused")
		case body != expectedAnswer(id, tokens):
			s.recordViolation("%s from %s looks complete: %q", id, edge, body)
		default:
			s.count("complete answers")
		}
	}
}

// runLots submits jobs on the newest route that a coordinator has acknowledged, and reads them.
func (s *soak) runLots(random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(lotInterval):
		}
		s.mutex.Lock()
		version := s.ackedVersion
		s.mutex.Unlock()
		id := fmt.Sprintf("lot-%d", number)
		for _, edge := range random.Perm(3 * s.scale) {
			if version > 0 && s.submitLot(client, s.edges()[edge], id, version) {
				break
			}
		}
		s.readLot(fmt.Sprintf("lot-%d", random.Intn(number+1)), s.edges()[random.Intn(3*s.scale)])
	}
}

// submitLot submits a job and reports whether it was accepted.
func (s *soak) submitLot(client *http.Client, edge, id string, version int) bool {
	path := fmt.Sprintf("/lot-%d/", version)
	document := partDocument(id, lotItems, lotTokens, func(number int) string { return fmt.Sprintf("part-%d", number%3) })
	status, _, _, err := s.callOver(client, lotTimeout, http.MethodPost, s.address(s.machines[edge], portCallers), path+"a", map[string]string{"Request-Id": id}, strings.ReplaceAll(document, "/batch/", path))
	if err != nil || status != http.StatusAccepted {
		return false
	}
	s.mutex.Lock()
	s.owed.lots[id] = &lot{version: version, states: map[string]string{}}
	s.mutex.Unlock()
	return true
}

// readLot reads a job's results, checks their states, and reports whether all are there.
func (s *soak) readLot(id, edge string) bool {
	s.mutex.Lock()
	read := s.owed.lots[id]
	s.mutex.Unlock()
	if read == nil {
		return false
	}
	page := s.readPage(id, edge)
	if page == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, row := range page.Results {
		if before := read.states[row.ID]; before == row.State {
			continue
		} else if before != "" {
			s.violations = append(s.violations, fmt.Sprintf("%s was %s and is %s", row.ID, before, row.State))
		}
		read.states[row.ID] = row.State
		s.counts[row.State+" items"]++
		switch {
		case row.State == "abandoned" && s.owed.sent <= read.version+routeVersions:
			s.violations = append(s.violations, fmt.Sprintf("%8.3f %s is abandoned, but its route is there from version %d to %d, and %d is the newest", time.Since(s.startedAt).Seconds(), row.ID, read.version, read.version+routeVersions, s.owed.sent))
		case row.State == "completed" && !isItemText(row.ID, row.Message, lotTokens):
			s.violations = append(s.violations, fmt.Sprintf("%s is completed with %d bytes", row.ID, len(row.Message)))
		}
	}
	return len(page.Results) == lotItems
}

// checkLots checks that all items are done, or abandoned, soon after the last fault.
func (s *soak) checkLots() {
	calm := time.Now()
	s.mutex.Lock()
	var ids []string
	for id := range s.owed.lots {
		ids = append(ids, id)
	}
	s.mutex.Unlock()
	var late []string
	var readers sync.WaitGroup
	for _, id := range ids {
		readers.Go(func() {
			for deadline := time.Now().Add(hostedTimeout); !s.readLot(id, s.edges()[0]); time.Sleep(100 * time.Millisecond) {
				if time.Now().After(deadline) {
					s.recordViolation("%s has not all its results after %s", id, hostedTimeout)
					return
				}
			}
			if time.Since(calm) > calmBound {
				s.mutex.Lock()
				late = append(late, id)
				s.mutex.Unlock()
			}
		})
	}
	readers.Wait()
	if len(late) > 0 {
		s.recordViolation("the last item was done %s after the last fault, want at most %s", time.Since(calm).Round(time.Millisecond), calmBound)
		s.t.Logf("faults were over at %s; late: %v\n%s", calm.UTC().Format(time.RFC3339Nano), late, strings.Join(s.linesOf("store-", "job="+late[0]+" "), "\n"))
	}
}

// linesOf returns the lines with the text in the logs of the machines whose names begin with prefix.
func (s *soak) linesOf(prefix, text string) (lines []string) {
	for _, name := range s.names() {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		log, err := os.ReadFile(filepath.Join(s.machines[name].folder, "log"))
		if err != nil {
			s.t.Error(err)
		}
		for _, line := range strings.Split(string(log), "\n") {
			if strings.Contains(line, text) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

// drawBurst returns a burst of worker exits, nil while there is one. The caller holds the mutex.
func (s *soak) drawBurst() func() {
	if s.owed.bursting {
		return nil
	}
	s.owed.bursting = true
	random := rand.New(rand.NewSource(s.random.Int63()))
	return func() {
		s.logFault("a half of the workers exits for %s, again and again", shortBurst)
		s.crashHalves(shortBurst, random.Perm)
		s.count("bursts")
		s.mutex.Lock()
		s.owed.bursting = false
		s.mutex.Unlock()
	}
}

// blind lets the machines of a class stand still while the configuration changes. Then all coordinators
// are lost, so that what the others know cannot be learned.
func (s *soak) blind(class, promise string) {
	s.logFault("stop all machines of class %s during a change, then lose the coordinators for %s", class, blindOutage)
	defer s.recordDisturbed(s.names()...)
	s.mutex.Lock()
	for _, name := range s.names() {
		s.killed[name] = time.Now()
	}
	s.mutex.Unlock()
	s.stop(s.t, class)
	time.Sleep(2 * pollHoldTime)
	killed := s.killCoordinators()
	s.resume(s.t, class)
	time.Sleep(blindOutage)
	s.startCoordinators(killed)
	for _, name := range s.edges() {
		s.waitServing(s.t, s.address(s.machines[name], portCallers))
	}
	s.logFault("all serve again")
	s.count(promise)
}
