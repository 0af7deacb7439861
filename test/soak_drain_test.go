package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

const (
	// soakDrainSeconds is how long the default run with leaving workers injects faults.
	soakDrainSeconds = 25
	// coordinatorsLost is how long all coordinators are down at once: a leaving worker must not get
	// requests although nobody can tell that it leaves.
	coordinatorsLost = 2 * hostedDrainTime
	// maxPageDelay is the longest time that a page of the list takes. A list of ten workers has five.
	maxPageDelay = 300 * time.Millisecond
	// lingerTime is how long a leaving worker runs on after the drain time.
	lingerTime = 2 * time.Second
)

// soakDrain is the state of a run in which workers leave.
type soakDrain struct {
	// leaving holds the workers that are leaving.
	leaving map[*emulator.HostedWorker]bool
}

// TestSoakDrain runs the soak test with workers that leave while the list is slow and coordinators,
// edges and stores are lost, one at a time and all coordinators together.
func TestSoakDrain(t *testing.T) {
	seed := envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed)
	s := newSoak(t, seed)
	// An earlier build sends by a list of any age.
	s.released = ""
	s.drain = &soakDrain{leaving: map[*emulator.HostedWorker]bool{}}
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakDrainSeconds)) * time.Second)
	s.checkEnd()
	t.Logf("seed %d, %d faults, %d workers left; %s", seed, len(s.faults), s.counts["left workers"], s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("complete answers", "completed jobs", "stable positions", "planned stops", "all killed", "third frozen", "coordinators lost", "left workers")
}

// drawLeave returns a fault that makes a worker leave, nil if half of the workers are leaving. The caller
// holds the mutex.
func (s *soak) drawLeave() func() {
	worker := s.workers[s.random.Intn(len(s.workers))]
	pageDelay := time.Duration(s.random.Int63n(int64(maxPageDelay)))
	if s.drain.leaving[worker] || len(s.drain.leaving) >= len(s.workers)/2 {
		return nil
	}
	s.drain.leaving[worker] = true
	return func() { s.leave(worker, pageDelay) }
}

// leave makes a worker leave, and then restart as another one. Each page of the list takes pageDelay from
// now on. No request may arrive at the worker later than hostedDrainTime after it was listed as leaving.
func (s *soak) leave(worker *emulator.HostedWorker, pageDelay time.Duration) {
	s.logFault("worker %s leaves, a page takes %s", worker.ID, pageDelay)
	s.list.SetPageDelay(pageDelay)
	worker.Drain()
	until := time.Now().Add(hostedDrainTime)
	time.Sleep(hostedDrainTime + lingerTime)
	for _, request := range worker.Requests() {
		if request.ArrivedAt.After(until) {
			s.recordViolation("worker %s got request %s %s after it was listed as leaving", worker.ID, request.ID, request.ArrivedAt.Sub(until)+hostedDrainTime)
		}
	}
	worker.Restart(emulator.HostedVersion, 300*time.Millisecond)
	s.count("left workers")
	// A restart ends the draining, so the worker must not leave again before it is back. Where another
	// process has taken its port, it never is.
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if _, takes := worker.TakesRequests(); takes {
			s.mutex.Lock()
			delete(s.drain.leaving, worker)
			s.mutex.Unlock()
			return
		}
	}
}

// loseCoordinators kills all coordinators for coordinatorsLost while a worker leaves. The edges must go on
// serving.
func (s *soak) loseCoordinators() {
	// An edge that has just started needs a coordinator to learn the configuration.
	for _, name := range s.edges() {
		s.waitServing(s.t, s.address(s.machines[name], portCallers))
	}
	s.logFault("lose all coordinators for %s", coordinatorsLost)
	defer s.recordDisturbed(s.names()...)
	worker := s.workers[0]
	s.mutex.Lock()
	busy := s.drain.leaving[worker]
	s.drain.leaving[worker] = true
	s.mutex.Unlock()
	killed := s.killCoordinators()
	left := make(chan struct{})
	go func() {
		defer close(left)
		if !busy {
			s.leave(worker, 0)
		}
	}()
	time.Sleep(coordinatorsLost)
	served := 0
	const requests = 20
	for number := range requests {
		edge := s.edges()[number%len(s.edges())]
		status, _, _, err := s.call(http.MethodPost, s.address(s.machines[edge], portCallers), "/stream/a", map[string]string{"Request-Id": fmt.Sprintf("lost-%d", number), "Token-Count": "1,1"}, "p")
		if err == nil && status == http.StatusOK {
			served++
		}
	}
	if served < requests*9/10 {
		s.recordViolation("%d of %d requests were served without coordinators", served, requests)
	}
	s.startCoordinators(killed)
	<-left
	s.count("coordinators lost")
}

// startCoordinators starts coordinators again and waits until they answer.
func (s *soak) startCoordinators(machines []*hostedMachine) {
	for _, machine := range machines {
		s.start(machine, false)
	}
	for _, machine := range machines {
		eventually(s.t, machine.name+" up", func() bool {
			_, _, _, err := s.call(http.MethodGet, s.address(machine, portControl), "/-/config", nil, "")
			return err == nil
		})
	}
}
