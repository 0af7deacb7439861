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

func kinds(actions []Action) string {
	names := map[ActionKind]string{Start: "start", Preempt: "preempt", Abandon: "abandon", Reject: "refuse"}
	text := ""
	for _, action := range actions {
		text += names[action.Kind] + " " + action.AttemptID + ";"
	}
	return text
}

// seededRandom adapts the source of a property test.
type seededRandom struct{ source *rand.Rand }

func (r seededRandom) IntN(n int) int { return r.source.Intn(n) }

func testRandom() seededRandom { return seededRandom{rand.New(rand.NewSource(1))} }

func TestOnlinePreemptsBatchInTheSameStep(t *testing.T) {
	s := New(Config{MaxQueue: 4}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 2)})
	s.Step(start, AttemptArrived{attempt("b1", wire.Batch)})
	s.Step(start, AttemptArrived{attempt("b2", wire.Batch)})
	s.Step(start, AttemptProgress{AttemptID: "b1", Tokens: 30})
	if got := kinds(s.Step(start, AttemptArrived{attempt("o1", wire.Online)})); got != "preempt b2;start o1;" {
		t.Errorf("the step gave %q; the attempt that loses least must yield", got)
	}
	s.Step(start, AttemptArrived{attempt("o2", wire.Online)})
	if got := kinds(s.Step(start, AttemptArrived{attempt("o3", wire.Online)})); got != "" {
		t.Errorf("a full worker gave %q, want the attempt to wait", got)
	}
	if got := kinds(s.Step(start, AttemptEnded{AttemptID: "o1", CachedBlocks: -1})); got != "start o3;" {
		t.Errorf("after a finish: %q", got)
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
		t.Errorf("%d batch attempts run beside 1 online on 8 slots with a reserve of 2", batch)
	}
}

// TestReserveOnlyBesideOnline: a worker without online work is filled, and yields
// in the step in which online work arrives.
func TestReserveOnlyBesideOnline(t *testing.T) {
	s := New(Config{MaxQueue: 4, ReservePercent: 25}, testRandom())
	s.Step(start, WorkerUpdated{spec("w1", 2)})
	for i := 0; i < 3; i++ {
		s.Step(start, AttemptArrived{attempt(fmt.Sprint("b", i), wire.Batch)})
	}
	if _, batch := s.InFlight(); batch != 2 {
		t.Errorf("%d batch attempts run on 2 slots without online work", batch)
	}
	if got := kinds(s.Step(start, AttemptArrived{attempt("o1", wire.Online)})); got != "preempt b0;start o1;" {
		t.Errorf("an online arrival: %q", got)
	}
}

func TestLeavingAndSilentWorkersGetNothing(t *testing.T) {
	s := New(Config{MaxQueue: 4}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 2)})
	s.Step(start, AttemptArrived{attempt("o1", wire.Online)})
	leaving := spec("w", 2)
	leaving.Leaving = true
	if got := kinds(s.Step(start, WorkerUpdated{leaving})); got != "" {
		t.Errorf("leaving cut a request: %q", got)
	}
	if got := kinds(s.Step(start, AttemptArrived{attempt("o2", wire.Online)})); got != "refuse o2;" {
		t.Errorf("a leaving worker: %q", got)
	}
	if got := kinds(s.Step(start, WorkerUnresponsive{"w"})); got != "abandon o1;" {
		t.Errorf("a silent worker: %q", got)
	}
	s.Step(start, WorkerUpdated{spec("w", 2)})
	if got := kinds(s.Step(start, AttemptArrived{attempt("o3", wire.Online)})); got != "start o3;" {
		t.Errorf("a worker that came back: %q", got)
	}
}

func TestOverloadIsAnsweredAtOnce(t *testing.T) {
	s := New(Config{MaxQueue: 1}, testRandom())
	s.Step(start, WorkerUpdated{spec("w", 1)})
	s.Step(start, AttemptArrived{attempt("o1", wire.Online)})
	s.Step(start, AttemptArrived{attempt("o2", wire.Online)})
	if got := kinds(s.Step(start, AttemptArrived{attempt("o3", wire.Online)})); got != "refuse o3;" {
		t.Errorf("a full queue: %q", got)
	}
	if got := kinds(s.Step(start.Add(2*time.Hour), Tick{})); got != "refuse o2;" {
		t.Errorf("a deadline that passed in the queue: %q", got)
	}
}

// TestExcludedWorkerBeforeWaiting: simulation seed 1 of stundir with worker_dies
// showed an online attempt waiting behind batch work on the one worker that was
// left, because an earlier attempt had failed there.
func TestExcludedWorkerBeforeWaiting(t *testing.T) {
	s := New(Config{MaxQueue: 4}, testRandom())
	s.Step(start, WorkerUpdated{spec("w1", 1)})
	s.Step(start, AttemptArrived{attempt("b1", wire.Batch)})
	again := attempt("o1", wire.Online)
	again.Exclude = map[string]bool{"w1": true}
	if got := kinds(s.Step(start, AttemptArrived{again})); got != "preempt b1;start o1;" {
		t.Errorf("an attempt excluded from the only worker: %q", got)
	}
}

// TestThawedProcess: simulation seed 2544 of stundir showed a dispatcher that had
// been frozen send work to a worker that had begun to leave meanwhile.
func TestThawedProcess(t *testing.T) {
	s := New(Config{MaxQueue: 4, WorkerTimeout: time.Second}, testRandom())
	s.Step(start, WorkerUpdated{spec("w1", 2)})
	late := start.Add(6 * time.Second)
	if got := kinds(s.Step(late, AttemptArrived{attempt("o1", wire.Online)})); got != "refuse o1;" {
		t.Errorf("an arrival long after the last report: %q", got)
	}
}

// TestRandomEvents checks the package's invariants after every step.
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
						return fmt.Errorf("step %d: a start on a worker that is leaving or silent", step)
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
		return fmt.Errorf("%d attempts in the table, %d running", len(s.running), len(running))
	}
	return s.CheckInvariants()
}
