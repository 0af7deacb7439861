package test

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
)

const (
	// soakAnswersSeconds is how long the default run with failing answers injects faults.
	soakAnswersSeconds = 25
	// faultyPercent is the percentage of runs that fail outside of an episode, episodePercent within
	// one, which takes episodeTime.
	faultyPercent  = 8
	episodePercent = 45
	episodeTime    = 1500 * time.Millisecond
	// refusalTime is how long all runs fail, or are rejected, so that requests find no other worker.
	refusalTime = 400 * time.Millisecond
	// maxRunBeforeFailure is the longest time for which a worker runs a request before it fails.
	maxRunBeforeFailure = 40 * time.Millisecond
	// requestTime is the deadline of a request, which a planned stop leaves it. answerTimeout is how long
	// clients wait.
	requestTime   = 4 * time.Second
	answerTimeout = 15 * time.Second
)

// soakAnswers is the state of a run whose workers fail with any status, marked or not, before or after they
// began, and send without end.
type soakAnswers struct {
	seed int64
	// share is the percentage of runs that fail now.
	share atomic.Int64
	// refusing is set while all workers reject requests, or fail with a status that refuses.
	refusing atomic.Bool
	// failedRuns counts the runs that failed after they began, by status and mark.
	failedRuns atomic.Int64
}

// TestSoakAnswers runs the soak test with workers that fail in any way while processes are lost, and with
// clients that use their open connections until these are gone. No request that ran may be answered with a
// promise that it did not, no answer may look whole that isn't, and no process may need more memory than it
// has.
func TestSoakAnswers(t *testing.T) {
	seed := envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed)
	s := newSoak(t, seed)
	// Edges of an earlier build pass failures on as promises.
	s.released = ""
	s.answers = &soakAnswers{seed: int64(seed)}
	s.answers.share.Store(faultyPercent)
	memory := s.watchMemory(t)
	s.injectFaults(s.answers.faultOf)
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakAnswersSeconds)) * time.Second)
	s.injectFaults(nil)
	s.checkEnd()
	endless, taken := s.takenBytes()
	s.counts["failed runs"], s.counts["endless answers"] = int(s.answers.failedRuns.Load()), endless
	if taken > maxTakenBytes {
		s.recordViolation("%d bytes were taken of one answer", taken)
	}
	memory.check(t)
	t.Logf("seed %d, %d faults; %d failed runs, %d answers without end, at most %d kB taken; %d other failures, %d episodes; %s", seed, len(s.faults), s.counts["failed runs"], endless, taken>>10, s.counts["failed answers"], s.counts["episodes"], s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("complete answers", "at most once", "not run is true", "failed runs", "endless answers", "episodes", "refusals", "completed jobs", "stable positions", "planned stops", "all killed", "third frozen")
}

// faultOf draws the fault of a run. It depends only on the seed, the request and how far it has come.
func (a *soakAnswers) faultOf(request *emulator.HostedRequest) emulator.HostedFault {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %s %d %s", a.seed, request.ID, request.LastEventID, request.Header.Get("Expect-Instance"))
	random := rand.New(rand.NewSource(int64(hash.Sum64())))
	if a.refusing.Load() {
		if random.Intn(2) == 0 {
			return emulator.HostedFault{NotRun: true}
		}
		a.failedRuns.Add(1)
		return emulator.HostedFault{Status: http.StatusServiceUnavailable, RunFor: time.Duration(random.Int63n(int64(maxRunBeforeFailure)))}
	}
	if random.Int63n(100) >= a.share.Load() {
		return emulator.HostedFault{}
	}
	switch random.Intn(6) {
	case 0:
		return emulator.HostedFault{NotRun: true}
	case 1:
		return emulator.HostedFault{Endless: emulator.EndlessForms[random.Intn(len(emulator.EndlessForms))], Trickle: random.Intn(4) == 0}
	case 2:
		return emulator.HostedFault{BreakAfter: 1 + random.Intn(3)}
	}
	a.failedRuns.Add(1)
	fault := emulator.HostedFault{RunFor: time.Duration(random.Int63n(int64(maxRunBeforeFailure)))}
	statuses := []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout}
	if !strings.HasPrefix(request.Target, "/batch/") {
		// An item that fails with 500 three times is abandoned.
		statuses = append(statuses, http.StatusInternalServerError)
	}
	fault.Status = statuses[random.Intn(len(statuses))]
	if random.Intn(4) == 0 {
		// A worker marks what it did not run; on these the mark is a contradiction.
		fault.Status, fault.Marked = []int{http.StatusOK, http.StatusInternalServerError, http.StatusGatewayTimeout}[random.Intn(3)], true
	}
	return fault
}

// drawEpisode returns an episode in which many runs fail, or all are refused.
func (s *soak) drawEpisode() func() {
	if s.random.Intn(2) == 0 {
		return s.refuseAllRuns
	}
	return s.failManyRuns
}

func (s *soak) refuseAllRuns() {
	s.logFault("all workers refuse for %s", refusalTime)
	s.answers.refusing.Store(true)
	time.Sleep(refusalTime)
	s.answers.refusing.Store(false)
	s.count("refusals")
}

func (s *soak) failManyRuns() {
	s.logFault("%d%% of all runs fail for %s", episodePercent, episodeTime)
	s.answers.share.Store(episodePercent)
	time.Sleep(episodeTime)
	s.answers.share.Store(faultyPercent)
	s.count("episodes")
}

// startAnswerClients starts clients that use an open connection to one edge until it is gone.
func (s *soak) startAnswerClients(clients *sync.WaitGroup, seed int64, stop <-chan struct{}) {
	for number := range 8 * s.scale {
		clients.Go(func() { s.runAnswers(number, rand.New(rand.NewSource(seed+int64(number))), stop) })
	}
}

func (s *soak) runAnswers(number int, random *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: answerTimeout}
	edge := s.edges()[number%len(s.edges())]
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int63n(int64(40 * time.Millisecond)))):
		}
		id, path := fmt.Sprintf("a-%d-%d", number, sent), "/stream/a"
		if random.Intn(2) == 0 {
			path = "/once/a"
			s.mutex.Lock()
			s.atMostOnce = append(s.atMostOnce, id)
			s.mutex.Unlock()
		}
		if !s.sendAnswered(client, edge, path, id, 1+random.Intn(20)) {
			edge = s.edges()[random.Intn(len(s.edges()))]
		}
	}
}

// sendAnswered sends a request, checks the answer and reports whether the connection is still there.
func (s *soak) sendAnswered(client *http.Client, edge, path, id string, events int) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[edge], portCallers)+path, strings.NewReader("p"))
	if err != nil {
		s.recordViolation("%v", err)
		return false
	}
	// Without GetBody the transport never resends the request on its own.
	request.GetBody = nil
	request.Host = hostedHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", fmt.Sprintf("10,%d", events))
	request.Header.Set("Deadline-Ms", fmt.Sprint(requestTime.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		s.count("cut")
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case failure.PromisesNotRun(response.StatusCode):
		s.mutex.Lock()
		s.rejected = append(s.rejected, id)
		s.counts["refused"]++
		s.mutex.Unlock()
	case err != nil:
		s.count("cut")
		return false
	case response.StatusCode != http.StatusOK:
		s.count("failed answers")
	case strings.ReplaceAll(string(body), ": note\n\n", "") != expectedAnswer(id, events):
		s.recordViolation("%s from %s looks whole: %.300q", id, edge, body)
	default:
		s.count("complete answers")
	}
	return true
}
