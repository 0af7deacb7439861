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
	// restartDowntime is how long all processes are down. restartSpread is the time over which
	// their restarts are spread.
	restartDowntime = 600 * time.Millisecond
	restartSpread   = 400 * time.Millisecond
	// Requests begin before the first restart. One arrives every restartInterval, for restartLoad.
	restartInterval = 5 * time.Millisecond
	restartLoad     = 3 * time.Second
	// restartTimeout bounds the wait, once all callers have their answers, until every edge
	// serves again.
	restartTimeout = 30 * time.Second
)

// restartCaller is one caller and the outcome of its request. sent and answered are when it sent
// the request and got the final answer, relative to the last process start.
type restartCaller struct {
	sent, answered time.Duration
	served         bool
	// rejected counts the answers that promise that nothing ran. unexpected counts the answers that
	// are neither a rejection nor the complete text.
	rejected, unexpected int
	lastAnswer           string
}

// TestHostedRestart kills nine processes at once and restarts them on their disks, as after a
// power failure. Callers send requests throughout, and retry once if rejected. Each must be served
// or rejected, and in the end every edge must serve again; the time that this takes is logged, not
// bounded. For measurements, SEDGEMAST_RESTARTS sets the number of restarts and
// SEDGEMAST_RESTART_BINARY the path of another build.
func TestHostedRestart(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("SEDGEMAST_RESTARTS"))
	f := newHostedFleetWith(t, measuredBuild(t), 6)
	f.add("front", "edge", 23)
	edges := append(f.configure(t), f.address(f.machines["front-23"], portCallers))
	f.waitServing(t, edges[2])
	random := rand.New(rand.NewPCG(1, 1))
	var firstServed, recoveries []time.Duration
	unserved, all := 0, 0
	for round := range max(rounds, 1) {
		callers, first := f.restart(t, random, round, edges)
		for _, caller := range callers {
			all++
			if caller.unexpected > 0 {
				t.Errorf("round %d: a caller got an unexpected answer: %s", round, caller.lastAnswer)
			}
			if !caller.served && caller.rejected > 0 {
				unserved++
			}
		}
		firstServed, recoveries = append(firstServed, first), append(recoveries, recoveryTime(callers))
	}
	t.Logf("%d restarts of 9 processes: first request served after the last start: median %s, slowest %s; 90%% served in time from: median %s, slowest %s; %d of %d callers rejected and never served",
		len(firstServed), median(firstServed), slices.Max(firstServed), median(recoveries), slices.Max(recoveries), unserved, all)
	for _, line := range f.startSteps(t, len(firstServed)) {
		t.Log(line)
	}
}

// stepPattern matches the log line of a step of a process's start.
var stepPattern = regexp.MustCompile(`role=(\S+) .*event=start_step step=(\S+) ms=(\d+)`)

// startSteps returns a line for each role and step with the times since process start at which the
// step completed, over the given number of last starts of each process.
func (f *hostedFleet) startSteps(t *testing.T, starts int) []string {
	t.Helper()
	stepTimes := map[string][]time.Duration{}
	for _, machine := range f.machines {
		text, err := os.ReadFile(filepath.Join(machine.folder, "log"))
		if err != nil {
			t.Fatal(err)
		}
		byStep := map[string][]time.Duration{}
		for _, match := range stepPattern.FindAllStringSubmatch(string(text), -1) {
			millis, err := strconv.Atoi(match[3])
			if err != nil {
				t.Fatal(err)
			}
			name := match[1] + " " + match[2]
			byStep[name] = append(byStep[name], time.Duration(millis)*time.Millisecond)
		}
		for name, times := range byStep {
			// Skip the first start, which bootstrapped the fleet.
			stepTimes[name] = append(stepTimes[name], times[max(0, len(times)-starts):]...)
		}
	}
	var lines []string
	for name, times := range stepTimes {
		lines = append(lines, fmt.Sprintf("%s: median %s, slowest %s of %d", name, median(times), slices.Max(times), len(times)))
	}
	slices.Sort(lines)
	return lines
}

// measuredBuild returns the path of the program to test: SEDGEMAST_RESTART_BINARY if it is set, else
// a build of the current source.
func measuredBuild(t *testing.T) string {
	t.Helper()
	if binary := os.Getenv("SEDGEMAST_RESTART_BINARY"); binary != "" {
		return binary
	}
	return buildHosted(t)
}

// waitServing waits until the edge at the address serves a request.
func (f *hostedFleet) waitServing(t *testing.T, edge string) {
	t.Helper()
	headers := map[string]string{"Request-Id": "first", "Token-Count": "10,3", "Deadline-Ms": "3000"}
	eventually(t, edge+" serving", func() bool {
		status, _, _, err := f.call(http.MethodPost, edge, "/stream/a", headers, "prompt")
		return err == nil && status == http.StatusOK
	})
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// recoveryTime returns the time, after the last process start, from which the fleet serves in time:
// of the requests sent in the following 250 ms, at least 90 percent are served within 250 ms each.
func recoveryTime(callers []restartCaller) time.Duration {
	const window = 250 * time.Millisecond
	for from := time.Duration(0); from < restartLoad; from += 10 * time.Millisecond {
		sent, served := 0, 0
		for _, caller := range callers {
			if caller.sent < from || caller.sent >= from+window {
				continue
			}
			sent++
			if caller.served && caller.answered-caller.sent < window {
				served++
			}
		}
		if sent > 0 && 10*served >= 9*sent {
			return from
		}
	}
	return restartLoad
}

// restart kills and restarts all processes under load. It returns the callers and when the first
// request was served after the last process start.
func (f *hostedFleet) restart(t *testing.T, random *rand.Rand, round int, edges []string) ([]restartCaller, time.Duration) {
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
	time.Sleep(restartDowntime)
	startedAt := time.Now()
	var mutex sync.Mutex
	var callers []restartCaller
	var calling sync.WaitGroup
	calling.Go(func() {
		for number := 0; time.Since(startedAt) < restartLoad; number++ {
			time.Sleep(restartInterval)
			calling.Go(func() {
				caller := f.restartCall(edges, fmt.Sprintf("r-%d-%d", round, number), number, startedAt)
				mutex.Lock()
				defer mutex.Unlock()
				callers = append(callers, caller)
			})
		}
	})
	random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	for _, name := range names {
		time.Sleep(restartSpread / time.Duration(len(names)))
		f.start(f.machines[name], false)
	}
	last := time.Since(startedAt)
	calling.Wait()
	first := restartLoad
	for i := range callers {
		callers[i].sent -= last
		callers[i].answered -= last
		if callers[i].served {
			first = min(first, callers[i].answered)
		}
	}
	for end := time.Now().Add(restartTimeout); ; time.Sleep(50 * time.Millisecond) {
		served := 0
		for i := range edges {
			if f.restartCall(edges, fmt.Sprintf("after-%d-%d-%d", round, i, time.Now().UnixNano()), i, startedAt).served {
				served++
			}
		}
		if served == len(edges) {
			return callers, first
		}
		if time.Now().After(end) {
			t.Fatal("not all edges serve again in time")
		}
	}
}

// restartCall sends a request. If an edge does not answer, the caller tries the next edge, up to 40
// attempts. If the request is rejected, the caller retries once after the Retry-After time.
func (f *hostedFleet) restartCall(edges []string, id string, number int, startedAt time.Time) restartCaller {
	headers := map[string]string{"Request-Id": id, "Token-Count": "10,3", "Deadline-Ms": "3000"}
	caller := restartCaller{sent: time.Since(startedAt)}
	for try := 0; try < 40 && caller.rejected < 2; try++ {
		status, header, body, err := f.callWithin(4*time.Second, http.MethodPost, edges[(number+try)%len(edges)], "/stream/a", headers, "prompt")
		caller.answered = time.Since(startedAt)
		caller.lastAnswer = fmt.Sprintf("%d %v %q", status, err, body)
		retry, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
		switch {
		case err != nil:
			time.Sleep(30 * time.Millisecond)
		case status == http.StatusOK && body == events(id, 1, 3):
			caller.served = true
			return caller
		case status == http.StatusServiceUnavailable && retry > 0:
			caller.rejected++
			time.Sleep(time.Duration(retry * float64(time.Second)))
		default:
			caller.unexpected++
			return caller
		}
	}
	return caller
}

const (
	// freezeDuration is how long TestHostedFreeze freezes an edge.
	freezeDuration = 2 * time.Second
	// frozenRequests is the number of requests sent while the edge is frozen. Every other one has a
	// deadline that expires before the edge resumes.
	frozenRequests = 6
)

// TestHostedFreeze freezes an edge while requests arrive. When the edge resumes, it must reject the
// requests whose deadline has expired, without sending them to a worker, and serve the rest.
func TestHostedFreeze(t *testing.T) {
	f := newHostedFleetWith(t, measuredBuild(t), hostedWorkers)
	edges := f.configure(t)
	f.waitServing(t, edges[0])
	process := f.machines["front-21"].command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the edge stopped", func() bool { return isStopped(process.Pid) })
	var callers sync.WaitGroup
	for number := range frozenRequests {
		id, deadlineMillis, want := fmt.Sprintf("short-%d", number), "900", http.StatusServiceUnavailable
		if number%2 == 1 {
			id, deadlineMillis, want = fmt.Sprintf("long-%d", number), "20000", http.StatusOK
		}
		callers.Go(func() {
			headers := map[string]string{"Request-Id": id, "Token-Count": "10,3", "Deadline-Ms": deadlineMillis}
			status, header, body, err := f.call(http.MethodPost, edges[0], "/stream/a", headers, "prompt")
			switch {
			case err != nil || status != want:
				t.Errorf("%s: %d, %v, %q", id, status, err, body)
			case status == http.StatusServiceUnavailable && (header.Get("Retry-After") == "" || f.runCount(id) > 0):
				t.Errorf("%s: Retry-After %q, %d runs", id, header.Get("Retry-After"), f.runCount(id))
			}
		})
	}
	time.Sleep(freezeDuration)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	callers.Wait()
}
