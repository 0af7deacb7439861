package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// restartDark is how long all processes are away, restartApart bounds the time between
	// the first that starts and the last.
	restartDark  = 600 * time.Millisecond
	restartApart = 400 * time.Millisecond
	// restartCallers come for restartLoad, one each restartPause, from before the first start.
	restartPause = 5 * time.Millisecond
	restartLoad  = 3 * time.Second
	// restartWait is how long after the last start all must be served again.
	restartWait = 30 * time.Second
)

// restartCaller is one caller: when it came and was answered at last, since the last start,
// and how.
type restartCaller struct {
	came, ended time.Duration
	served      bool
	// refused counts answers that say that nothing ran, untrue all other answers.
	refused, untrue int
	last            string
}

// TestHostedRestart kills nine processes at once and starts them again on their disks, as a
// site does that gets its power back. Callers come all the while, and come back once where
// they are refused. Each is served or refused truly, and the fleet serves all again; how
// long that took is printed, not judged. SEDGEMAST_RESTARTS is how often, to measure; with
// SEDGEMAST_RESTART_BINARY another build is measured.
func TestHostedRestart(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("SEDGEMAST_RESTARTS"))
	f := newHostedFleetOf(t, measuredBuild(t), 6)
	f.add("front", "edge", 23)
	fronts := append(f.ready(t), f.address(f.machines["front-23"], portFront))
	f.awaitServing(t, fronts[2])
	random := rand.New(rand.NewPCG(1, 1))
	var firsts, backs []time.Duration
	unserved, all := 0, 0
	for round := range max(rounds, 1) {
		callers, first := f.restart(t, random, round, fronts)
		for _, caller := range callers {
			all++
			if caller.untrue > 0 {
				t.Errorf("round %d: a caller got %s", round, caller.last)
			}
			if !caller.served && caller.refused > 0 {
				unserved++
			}
		}
		firsts, backs = append(firsts, first), append(backs, backAfter(callers))
	}
	t.Logf("%d restarts of 9 processes: first served after the last start: median %s, slowest %s; nine in ten served in time from: median %s, slowest %s; %d of %d callers refused twice",
		len(firsts), middle(firsts), slices.Max(firsts), middle(backs), slices.Max(backs), unserved, all)
	for _, line := range f.startSteps(t, len(firsts)) {
		t.Log(line)
	}
}

// stepLine is a line of a log on a step of the start of a process.
var stepLine = regexp.MustCompile(`role=(\S+) .*event=start_step step=(\S+) ms=(\d+)`)

// startSteps returns a line for each role and step of the last starts of all processes: when
// it was taken, in ms since the start of the process.
func (f *hostedFleet) startSteps(t *testing.T, starts int) []string {
	t.Helper()
	taken := map[string][]time.Duration{}
	for _, machine := range f.machines {
		text, err := os.ReadFile(filepath.Join(machine.folder, "log"))
		if err != nil {
			t.Fatal(err)
		}
		byStep := map[string][]time.Duration{}
		for _, match := range stepLine.FindAllStringSubmatch(string(text), -1) {
			millis, err := strconv.Atoi(match[3])
			if err != nil {
				t.Fatal(err)
			}
			name := match[1] + " " + match[2]
			byStep[name] = append(byStep[name], time.Duration(millis)*time.Millisecond)
		}
		for name, times := range byStep {
			// The first start of all formed the fleet.
			taken[name] = append(taken[name], times[max(0, len(times)-starts):]...)
		}
	}
	var lines []string
	for name, times := range taken {
		lines = append(lines, fmt.Sprintf("%s: median %s, slowest %s of %d", name, middle(times), slices.Max(times), len(times)))
	}
	slices.Sort(lines)
	return lines
}

// measuredBuild returns the program named by SEDGEMAST_RESTART_BINARY, else this build.
func measuredBuild(t *testing.T) string {
	t.Helper()
	if binary := os.Getenv("SEDGEMAST_RESTART_BINARY"); binary != "" {
		return binary
	}
	return buildHosted(t)
}

// awaitServing waits until the edge at the address serves a request.
func (f *hostedFleet) awaitServing(t *testing.T, front string) {
	t.Helper()
	headers := map[string]string{"Request-Id": "first", "Token-Count": "10,3", "Deadline-Ms": "3000"}
	eventually(t, front+" serving", func() bool {
		status, _, _, err := f.call(http.MethodPost, front, "/stream/a", headers, "prompt")
		return err == nil && status == http.StatusOK
	})
}

func middle(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// backAfter returns from when on nine in ten of those who come within a quarter second are
// served within another.
func backAfter(callers []restartCaller) time.Duration {
	const window = 250 * time.Millisecond
	for from := time.Duration(0); from < restartLoad; from += 10 * time.Millisecond {
		came, served := 0, 0
		for _, caller := range callers {
			if caller.came < from || caller.came >= from+window {
				continue
			}
			came++
			if caller.served && caller.ended-caller.came < window {
				served++
			}
		}
		if came > 0 && 10*served >= 9*came {
			return from
		}
	}
	return restartLoad
}

// restart kills all, starts all, and returns the callers, and when the first was served.
func (f *hostedFleet) restart(t *testing.T, random *rand.Rand, round int, fronts []string) ([]restartCaller, time.Duration) {
	var names []string
	for name := range f.machines {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_ = f.machines[name].command.Process.Kill()
	}
	for _, name := range names {
		<-f.machines[name].exited
	}
	time.Sleep(restartDark)
	began := time.Now()
	var mutex sync.Mutex
	var callers []restartCaller
	var calling sync.WaitGroup
	calling.Go(func() {
		for number := 0; time.Since(began) < restartLoad; number++ {
			time.Sleep(restartPause)
			calling.Go(func() {
				caller := f.restartCall(fronts, fmt.Sprintf("r-%d-%d", round, number), number, began)
				mutex.Lock()
				defer mutex.Unlock()
				callers = append(callers, caller)
			})
		}
	})
	random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	for _, name := range names {
		time.Sleep(restartApart / time.Duration(len(names)))
		f.start(f.machines[name], false)
	}
	last := time.Since(began)
	calling.Wait()
	first := restartLoad
	for i := range callers {
		callers[i].came -= last
		callers[i].ended -= last
		if callers[i].served {
			first = min(first, callers[i].ended)
		}
	}
	for end := time.Now().Add(restartWait); ; time.Sleep(50 * time.Millisecond) {
		served := 0
		for i := range fronts {
			if f.restartCall(fronts, fmt.Sprintf("after-%d-%d-%d", round, i, time.Now().UnixNano()), i, began).served {
				served++
			}
		}
		if served == len(fronts) {
			return callers, first
		}
		if time.Now().After(end) {
			t.Fatal("not all edges serve again")
		}
	}
}

// restartCall sends a request. Where nobody answers the caller tries the next edge, some
// times; where it is refused it comes back once, when it was told to.
func (f *hostedFleet) restartCall(fronts []string, id string, number int, began time.Time) restartCaller {
	headers := map[string]string{"Request-Id": id, "Token-Count": "10,3", "Deadline-Ms": "3000"}
	caller := restartCaller{came: time.Since(began)}
	for try := 0; try < 40 && caller.refused < 2; try++ {
		status, header, body, err := f.callWithin(4*time.Second, http.MethodPost, fronts[(number+try)%len(fronts)], "/stream/a", headers, "prompt")
		caller.ended = time.Since(began)
		caller.last = fmt.Sprintf("%d %v %q", status, err, body)
		retry, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
		switch {
		case err != nil:
			time.Sleep(30 * time.Millisecond)
		case status == http.StatusOK && body == events(id, 1, 3):
			caller.served = true
			return caller
		case status == http.StatusServiceUnavailable && retry > 0:
			caller.refused++
			time.Sleep(time.Duration(retry * float64(time.Second)))
		default:
			caller.untrue++
			return caller
		}
	}
	return caller
}

const (
	// frozenFor is how long an edge stands still in TestHostedStandstill.
	frozenFor = 2 * time.Second
	// frozenCalls come meanwhile, with too little time or with enough.
	frozenCalls = 6
)

// TestHostedStandstill stops an edge while requests come for it. When it goes on, those whose
// callers' time is over are answered truly and reach no worker, and the others are served.
func TestHostedStandstill(t *testing.T) {
	f := newHostedFleetOf(t, measuredBuild(t), hostedWorkers)
	fronts := f.ready(t)
	f.awaitServing(t, fronts[0])
	process := f.machines["front-21"].command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var callers sync.WaitGroup
	for number := range frozenCalls {
		id, left, want := fmt.Sprintf("short-%d", number), "900", http.StatusServiceUnavailable
		if number%2 == 1 {
			id, left, want = fmt.Sprintf("long-%d", number), "20000", http.StatusOK
		}
		callers.Go(func() {
			headers := map[string]string{"Request-Id": id, "Token-Count": "10,3", "Deadline-Ms": left}
			status, header, body, err := f.call(http.MethodPost, fronts[0], "/stream/a", headers, "prompt")
			switch {
			case err != nil || status != want:
				t.Errorf("%s: %d, %v, %q", id, status, err, body)
			case status == http.StatusServiceUnavailable && (header.Get("Retry-After") == "" || f.runs(id) > 0):
				t.Errorf("%s: Retry-After %q, %d runs", id, header.Get("Retry-After"), f.runs(id))
			}
		})
	}
	time.Sleep(frozenFor)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	callers.Wait()
}
