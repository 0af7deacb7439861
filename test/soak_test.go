package test

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

// A soak runs a fleet of separate processes under faults drawn from a seed, several at once
// and in series, while clients go on over open connections, and checks what callers and
// workers see. CI plays one short seed; by hand: make soak SECONDS=60 SEED=7.

const (
	// soakSeconds is how long the short run's faults last, soakSeed its seed.
	soakSeconds = 30
	soakSeed    = 1
	// soakRest is the shortest time between two faults that take a disk of one class of
	// machines away: a process that lost its disk is a member again by then.
	soakRest = 9 * time.Second
	// mostCrossed is how many requests may cross the close of their connection at one
	// planned stop.
	mostCrossed = 3
	// allDark is how long all machines are away at once, thirdFrozen how long a third of them
	// stands still.
	allDark     = 600 * time.Millisecond
	thirdFrozen = 3 * time.Second
)

// soak is one run.
type soak struct {
	*hostedFleet
	t      *testing.T
	random *rand.Rand
	began  time.Time
	// released is the path of the released build, empty where it is not there.
	released, newest string

	mutex sync.Mutex
	// counts holds how often each promise was put to the test.
	counts     map[string]int
	faults     []string
	violations []string
	// lives counts the starts of each machine, killed is when it was last killed, crossed
	// how many requests crossed the close of a planned stop of that life.
	lives   map[string]int
	killed  map[string]time.Time
	crossed map[string]int
	// busy names the machines that a fault is at, wiped is when a class last lost a disk.
	busy  map[string]bool
	wiped map[string]time.Time
	// refused and once hold ids of requests that were promised not to run, and that may run
	// once at most.
	refused, once []string
	// acked is the newest acknowledged version; jobs holds accepted jobs.
	acked int
	jobs  map[string]*soakJob
}

// soakJob is an accepted job and what has been read of it.
type soakJob struct {
	items int
	read  []string
}

// TestSoak plays a seed.
func TestSoak(t *testing.T) {
	s := newSoak(t, envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed))
	seconds := envInt(t, "SEDGEMAST_SOAK_SECONDS", soakSeconds)
	s.play(time.Duration(seconds) * time.Second)
	s.finish()
	t.Logf("seed %d, %d faults; %s", envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed), len(s.faults), s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	for _, promise := range []string{"answers whole", "once at most", "not run is true", "routes in force", "jobs done", "positions last", "planned stops", "all at once", "a third stood still"} {
		if s.counts[promise] == 0 {
			t.Errorf("the promise %q was not put to the test", promise)
		}
	}
}

func envInt(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

func newSoak(t *testing.T, seed int) *soak {
	newest := buildHosted(t)
	s := &soak{
		hostedFleet: newHostedFleetOf(t, newest, 6),
		t:           t,
		random:      rand.New(rand.NewSource(int64(seed))),
		began:       time.Now(),
		newest:      newest,
		counts:      map[string]int{},
		lives:       map[string]int{},
		killed:      map[string]time.Time{},
		crossed:     map[string]int{},
		busy:        map[string]bool{},
		wiped:       map[string]time.Time{},
		jobs:        map[string]*soakJob{},
	}
	s.add("front", "edge", 23)
	s.released = findReleased(t)
	return s
}

// fronts returns the edges' names.
func (s *soak) fronts() []string { return []string{"front-21", "front-22", "front-23"} }

// play lets clients come and faults happen for a while.
func (s *soak) play(length time.Duration) {
	s.ready(s.t)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	seed := s.random.Int63()
	for number := range 8 {
		clients.Go(func() { s.client(number, rand.New(rand.NewSource(seed+int64(number))), stop) })
	}
	clients.Go(func() { s.operator(stop) })
	clients.Go(func() { s.batches(stop) })
	var faults sync.WaitGroup
	began, whole := time.Now(), []func(){s.killAll, s.freezeThird}
	for parts := len(whole) + 1; time.Since(began) < length; {
		if len(whole) > 0 && time.Since(began) > length*time.Duration(parts-len(whole))/time.Duration(parts) {
			// These are at all machines, so no other fault is at any.
			faults.Wait()
			whole[0]()
			whole = whole[1:]
		}
		if fault := s.draw(); fault != nil {
			faults.Go(fault)
		}
		time.Sleep(200*time.Millisecond + time.Duration(s.random.Int63n(int64(1500*time.Millisecond))))
	}
	faults.Wait()
	s.note("all is mended")
	close(stop)
	clients.Wait()
}

func (s *soak) note(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, arguments...))
}

func (s *soak) violate(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, arguments...))
}

func (s *soak) count(promise string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[promise]++
}

func (s *soak) summary() string {
	var rows []string
	for _, promise := range []string{"answers whole", "once at most", "not run is true", "routes in force", "jobs done", "positions last", "planned stops", "all at once", "a third stood still", "crossed", "cut", "refused"} {
		rows = append(rows, fmt.Sprintf("%s %d", promise, s.counts[promise]))
	}
	return strings.Join(rows, ", ")
}

// draw returns a fault of a machine that none is at, or nil: of coordinators and stores one
// at a time, of edges all but one.
func (s *soak) draw() func() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	classes := []string{"core", "store", "front", "workers"}
	class := classes[s.random.Intn(len(classes))]
	if class == "workers" {
		return s.refuseAtWorkers
	}
	var idle []string
	busy := 0
	for _, name := range s.names() {
		switch {
		case !strings.HasPrefix(name, class):
		case s.busy[name]:
			busy++
		default:
			idle = append(idle, name)
		}
	}
	most := map[string]int{"core": 1, "store": 1, "front": 2}[class]
	kind := s.random.Intn(5)
	name := idle[s.random.Intn(len(idle))]
	pause := time.Duration(s.random.Int63n(int64(2 * time.Second)))
	wipe := kind == 3 && class != "front" && time.Since(s.wiped[class]) > soakRest
	if busy >= most || time.Since(s.wiped[class]) < soakRest {
		return nil
	}
	if wipe {
		s.wiped[class] = time.Now()
	}
	s.busy[name] = true
	machine := s.machines[name]
	return func() {
		switch {
		case kind == 0:
			s.freeze(machine, pause)
		case kind == 1 || wipe:
			s.crash(machine, pause, wipe)
		default:
			s.restart(machine, kind == 4)
		}
		s.mutex.Lock()
		s.busy[name] = false
		s.mutex.Unlock()
	}
}

// names returns the machines' names in an order that a seed repeats.
func (s *soak) names() []string {
	return append([]string{"core-1", "core-2", "core-3", "store-11", "store-12", "store-13"}, s.fronts()...)
}

// refuseAtWorkers lets all workers refuse for a while: what is answered as not run meanwhile
// must not run.
func (s *soak) refuseAtWorkers() {
	s.note("workers refuse")
	s.behaveAll(func(*emulator.HostedRequest) emulator.HostedFault { return emulator.HostedFault{NotRun: true} })
	time.Sleep(300 * time.Millisecond)
	s.behaveAll(nil)
}

func (s *soak) freeze(machine *hostedMachine, pause time.Duration) {
	s.note("freeze %s for %s", machine.name, pause)
	_ = machine.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	_ = machine.command.Process.Signal(syscall.SIGCONT)
}

// crash kills a machine; with wipe it loses its disk.
func (s *soak) crash(machine *hostedMachine, pause time.Duration, wipe bool) {
	s.note("kill %s for %s, disk lost: %t", machine.name, pause, wipe)
	s.mutex.Lock()
	s.killed[machine.name] = time.Now()
	s.lives[machine.name]++
	s.mutex.Unlock()
	s.kill(machine)
	time.Sleep(pause)
	if wipe {
		if err := os.RemoveAll(filepath.Join(machine.folder, "data")); err != nil {
			s.violate("the data of %s can't be taken away: %v", machine.name, err)
		}
	}
	s.start(machine, false)
}

// killAll kills all machines at once and starts them together, on their disks and builds.
// Each edge must serve again.
func (s *soak) killAll() {
	pause := allDark
	s.note("kill all for %s", pause)
	s.mutex.Lock()
	for _, name := range s.names() {
		s.killed[name] = time.Now()
		s.lives[name]++
	}
	s.mutex.Unlock()
	for _, name := range s.names() {
		_ = s.machines[name].command.Process.Kill()
	}
	for _, name := range s.names() {
		<-s.machines[name].exited
	}
	time.Sleep(pause)
	for _, name := range s.names() {
		s.start(s.machines[name], false)
	}
	for _, name := range s.fronts() {
		s.awaitServing(s.t, s.address(s.machines[name], portFront))
	}
	s.note("all serve again")
	s.count("all at once")
}

// freezeThird stops a third of each class of machines at the same time.
func (s *soak) freezeThird() {
	s.note("freeze a third for %s", thirdFrozen)
	third := []string{"core-1", "store-11", "front-21"}
	for _, name := range third {
		_ = s.machines[name].command.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(thirdFrozen)
	for _, name := range third {
		_ = s.machines[name].command.Process.Signal(syscall.SIGCONT)
	}
	s.awaitServing(s.t, s.address(s.machines["front-21"], portFront))
	s.count("a third stood still")
}

// restart stops a machine as planned and starts it again, on the other build if that is
// wanted and there.
func (s *soak) restart(machine *hostedMachine, rebuild bool) {
	binary := machine.binary
	if rebuild && s.released != "" {
		if binary = s.released; machine.binary == s.released {
			binary = s.newest
		}
	}
	s.note("stop %s, back on another build: %t", machine.name, binary != machine.binary)
	s.mutex.Lock()
	s.lives[machine.name]++
	life := fmt.Sprintf("%s/%d", machine.name, s.lives[machine.name])
	s.mutex.Unlock()
	_ = machine.command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-machine.exited:
		if err != nil {
			s.violate("%s ended with %v", machine.name, err)
		}
	case <-time.After(hostedWait):
		s.violate("%s did not end", machine.name)
		s.kill(machine)
	}
	s.mutex.Lock()
	s.counts["planned stops"]++
	if crossed := s.crossed[life]; crossed > mostCrossed {
		s.violations = append(s.violations, fmt.Sprintf("%d requests had no answer at a planned stop of %s", crossed, machine.name))
	}
	s.mutex.Unlock()
	machine.binary = binary
	s.start(machine, false)
}

// finish checks what must hold once all is mended.
func (s *soak) finish() {
	for _, name := range s.fronts() {
		eventually(s.t, name+" ready", func() bool {
			status, _, _, err := s.call(http.MethodGet, s.address(s.machines[name], portReady), "/-/ready", nil, "")
			return err == nil && status == http.StatusOK
		})
	}
	s.finishJobs()
	s.finishConfiguration()
	runs := map[string]int{}
	for _, worker := range s.workers {
		for _, seen := range worker.Requests() {
			runs[seen.ID]++
		}
	}
	for _, id := range s.refused {
		s.count("not run is true")
		if runs[id] > 0 {
			s.violate("%s was refused as not run, and ran", id)
		}
	}
	for _, id := range s.once {
		s.count("once at most")
		if runs[id] > 1 {
			s.violate("%s ran %d times", id, runs[id])
		}
	}
}
