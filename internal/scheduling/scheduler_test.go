package scheduling

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/wire"
)

var start = time.Unix(1_000_000, 0)

func spec(id string, slots int) WorkerSpec {
	return WorkerSpec{ID: id, Slots: slots, KVTokens: slots * 100, Models: map[string]bool{"m": true}, Epoch: 1}
}

func attempt(id string, class wire.Class) *Attempt {
	return &Attempt{ID: id, Class: class, Rank: 5, Model: "m", PromptTokens: 40, MaxTokens: 60, Deadline: start.Add(time.Hour)}
}

func formatActions(actions []Action) string {
	names := map[ActionKind]string{Start: "start", Preempt: "preempt", Abandon: "abandon", Reject: "refuse"}
	text := ""
	for _, action := range actions {
		text += names[action.Kind] + " " + action.AttemptID + ";"
	}
	return text
}

// seededRandom adapts a math/rand source to routing.Random.
type seededRandom struct{ source *rand.Rand }

func (r seededRandom) IntN(n int) int { return r.source.Intn(n) }

func testRandom() seededRandom { return seededRandom{rand.New(rand.NewSource(1))} }

func TestOnlinePreemptsBatchInTheSameStep(t *testing.T) {
	s := New(Config{MaxQueue: 4}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 2)})
	s.Step(start, AttemptArrived{attempt("b1", wire.Batch)})
	s.Step(start, AttemptArrived{attempt("b2", wire.Batch)})
	s.Step(start, AttemptProgress{AttemptID: "b1", Tokens: 30})
	if got := formatActions(s.Step(start, AttemptArrived{attempt("o1", wire.Online)})); got != "preempt b2;start o1;" {
		t.Errorf("actions %q; want the batch attempt with the fewest tokens preempted", got)
	}
	s.Step(start, AttemptArrived{attempt("o2", wire.Online)})
	if got := formatActions(s.Step(start, AttemptArrived{attempt("o3", wire.Online)})); got != "" {
		t.Errorf("actions %q with a full worker; want the attempt queued", got)
	}
	if got := formatActions(s.Step(start, AttemptEnded{AttemptID: "o1", CachedBlocks: -1})); got != "start o3;" {
		t.Errorf("actions %q after an attempt ended; want the queued attempt started", got)
	}
}

func TestReserveIsLeftFree(t *testing.T) {
	s := New(Config{MaxQueue: 4, ReservePercent: 25}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 8)})
	s.Step(start, AttemptArrived{attempt("o1", wire.Online)})
	for i := range 10 {
		s.Step(start, AttemptArrived{attempt(fmt.Sprint("b", i), wire.Batch)})
	}
	if _, batch := s.InFlight(); batch != 5 {
		t.Errorf("%d batch attempts run beside 1 online attempt on 8 slots with a reserve of 2; want 5", batch)
	}
}

// TestReserveAppliesOnlyBesideOnlineWork checks that batch work fills a worker without online work,
// and that an arriving online attempt preempts it in the same step.
func TestReserveAppliesOnlyBesideOnlineWork(t *testing.T) {
	s := New(Config{MaxQueue: 4, ReservePercent: 25}, testRandom())
	s.Step(start, WorkerUpdated{spec("w1", 2)})
	for i := 0; i < 3; i++ {
		s.Step(start, AttemptArrived{attempt(fmt.Sprint("b", i), wire.Batch)})
	}
	if _, batch := s.InFlight(); batch != 2 {
		t.Errorf("%d batch attempts run on 2 slots without online work; want 2", batch)
	}
	if got := formatActions(s.Step(start, AttemptArrived{attempt("o1", wire.Online)})); got != "preempt b0;start o1;" {
		t.Errorf("actions %q after an online arrival; want a preemption and a start", got)
	}
}

func TestLeavingAndUnresponsiveWorkersGetNoAttempts(t *testing.T) {
	s := New(Config{MaxQueue: 4}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 2)})
	s.Step(start, AttemptArrived{attempt("o1", wire.Online)})
	leaving := spec("w", 2)
	leaving.Leaving = true
	if got := formatActions(s.Step(start, WorkerUpdated{leaving})); got != "" {
		t.Errorf("actions %q when a worker starts to leave; want its request to continue", got)
	}
	if got := formatActions(s.Step(start, AttemptArrived{attempt("o2", wire.Online)})); got != "refuse o2;" {
		t.Errorf("actions %q with only a leaving worker; want a rejection", got)
	}
	if got := formatActions(s.Step(start, WorkerUnresponsive{"w"})); got != "abandon o1;" {
		t.Errorf("actions %q after a worker became unresponsive; want its attempt abandoned", got)
	}
	s.Step(start, WorkerUpdated{spec("w", 2)})
	if got := formatActions(s.Step(start, AttemptArrived{attempt("o3", wire.Online)})); got != "start o3;" {
		t.Errorf("actions %q after the worker responded again; want a start", got)
	}
}

func TestFullQueueRejectsImmediately(t *testing.T) {
	s := New(Config{MaxQueue: 1}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 1)})
	s.Step(start, AttemptArrived{attempt("o1", wire.Online)})
	s.Step(start, AttemptArrived{attempt("o2", wire.Online)})
	if got := formatActions(s.Step(start, AttemptArrived{attempt("o3", wire.Online)})); got != "refuse o3;" {
		t.Errorf("actions %q with a full queue; want a rejection", got)
	}
	if got := formatActions(s.Step(start.Add(2*time.Hour), Tick{})); got != "refuse o2;" {
		t.Errorf("actions %q after the deadline passed in the queue; want a rejection", got)
	}
}

// TestExcludedWorkerIsUsedBeforeWaiting guards against an online attempt that waits behind batch
// work on the only remaining worker because an earlier attempt of its request failed there.
func TestExcludedWorkerIsUsedBeforeWaiting(t *testing.T) {
	s := New(Config{MaxQueue: 4}, testRandom())
	s.Step(start, WorkerUpdated{spec("w1", 1)})
	s.Step(start, AttemptArrived{attempt("b1", wire.Batch)})
	retried := attempt("o1", wire.Online)
	retried.Exclude = map[string]bool{"w1": true}
	if got := formatActions(s.Step(start, AttemptArrived{retried})); got != "preempt b1;start o1;" {
		t.Errorf("actions %q for an attempt that excludes the only worker; want a preemption and a start there", got)
	}
}

// TestSuspendedProcessDropsStaleWorkers guards against a dispatcher that was suspended and then
// sends work to a worker that began to leave in the meantime.
func TestSuspendedProcessDropsStaleWorkers(t *testing.T) {
	s := New(Config{MaxQueue: 4, WorkerTimeout: time.Second}, testRandom())
	s.Step(start, WorkerUpdated{spec("w1", 2)})
	late := start.Add(6 * time.Second)
	if got := formatActions(s.Step(late, AttemptArrived{attempt("o1", wire.Online)})); got != "refuse o1;" {
		t.Errorf("actions %q for an arrival after the worker timeout; want a rejection", got)
	}
}

// TestRandomEvents checks the scheduler's invariants after every step of a random sequence of
// events.
func TestRandomEvents(t *testing.T) {
	proptest.Run(t, "invariants", func(random *rand.Rand) error {
		s := New(Config{MaxQueue: 8, ReservePercent: 20}, seededRandom{random})
		running := map[string]string{}
		next := 0
		for step := 0; step < 300; step++ {
			var event Event
			switch draw := random.Intn(10); {
			case draw < 1:
				update := spec(fmt.Sprint("w", random.Intn(3)), 2+random.Intn(4))
				update.Leaving = random.Intn(5) == 0
				event = WorkerUpdated{update}
			case draw < 2 && random.Intn(3) == 0:
				event = WorkerUnresponsive{fmt.Sprint("w", random.Intn(3))}
			case draw < 6 || len(running) == 0:
				next++
				class := wire.Online
				if random.Intn(2) == 0 {
					class = wire.Batch
				}
				arriving := attempt(fmt.Sprint(next), class)
				arriving.PromptTokens = random.Intn(150)
				event = AttemptArrived{arriving}
			default:
				for id := range running {
					event = AttemptEnded{AttemptID: id, CachedBlocks: -1}
					delete(running, id)
					break
				}
			}
			for _, action := range s.Step(start, event) {
				switch action.Kind {
				case Start:
					if !s.workers[action.Worker].available() {
						return fmt.Errorf("step %d: start on a worker that is leaving or unresponsive", step)
					}
					running[action.AttemptID] = action.Worker
				case Preempt, Abandon:
					delete(running, action.AttemptID)
				}
			}
			if err := checkInvariants(s, running); err != nil {
				return fmt.Errorf("step %d: %w", step, err)
			}
		}
		return nil
	})
}

func checkInvariants(s *Scheduler, running map[string]string) error {
	if len(s.running) != len(running) {
		return fmt.Errorf("scheduler has %d attempts in flight, want %d", len(s.running), len(running))
	}
	return s.CheckInvariants()
}
