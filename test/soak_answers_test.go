package test

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net/http"
	"strconv"
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
	// requestTime is the deadline of most requests, which a planned stop leaves them. Some have
	// longRequestTime, which it doesn't. answerTimeout is how long clients wait.
	requestTime     = 4 * time.Second
	longRequestTime = 12 * time.Second
	answerTimeout   = 20 * time.Second
	// maxSlowRun is the longest time that a sound worker takes before it answers.
	maxSlowRun = 1500 * time.Millisecond
)

// soakAnswers is the state of a run whose workers fail with any status, marked or not, before or after they
// began, send without end, and send what is no valid or no whole answer.
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
	for _, worker := range s.workers {
		worker.InjectFaultsBeforeBody(s.answers.faultOf)
	}
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakAnswersSeconds)) * time.Second)
	s.injectFaults(nil)
	s.checkEnd()
	endless, taken := s.takenBytes()
	s.counts["failed runs"], s.counts["endless answers"], s.counts["broken answers"] = int(s.answers.failedRuns.Load()), endless, s.brokenAnswers()
	if taken > maxTakenBytes {
		s.recordViolation("%d bytes were taken of one answer", taken)
	}
	memory.check(t)
	t.Logf("seed %d, %d faults; %d failed runs, %d broken answers, %d answers without end, at most %d kB taken; %d other failures, %d episodes; %s", seed, len(s.faults), s.counts["failed runs"], s.counts["broken answers"], endless, taken>>10, s.counts["failed answers"], s.counts["episodes"], s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("complete answers", "at most once", "not run is true", "failed runs", "endless answers", "broken answers", "episodes", "refusals", "completed jobs", "stable positions", "planned stops", "all killed", "third frozen")
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
	switch random.Intn(8) {
	case 0:
		return emulator.HostedFault{NotRun: true}
	case 1:
		return emulator.HostedFault{Endless: emulator.EndlessForms[random.Intn(len(emulator.EndlessForms))], Trickle: random.Intn(4) == 0}
	case 2:
		return emulator.HostedFault{BreakAfter: 1 + random.Intn(3)}
	case 3, 4:
		return emulator.HostedFault{Broken: drawBroken(random, request), RunFor: time.Duration(random.Int63n(int64(maxResetDelay)))}
	case 5:
		return emulator.HostedFault{RunFor: time.Duration(random.Int63n(int64(maxSlowRun)))}
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

// drawBroken draws a form of broken answer. Long uploads are often reset, short ones never: a worker that has
// read a whole request may end its answer without a mark.
func drawBroken(random *rand.Rand, request *emulator.HostedRequest) emulator.Broken {
	length, _ := strconv.Atoi(request.Header.Get("Content-Length"))
	long := length >= minUploadBytes
	if long && random.Intn(2) == 0 {
		return emulator.BrokenReset
	}
	for {
		form := emulator.BrokenForms[random.Intn(len(emulator.BrokenForms))]
		if long || !form.DuringUpload() {
			return form
		}
	}
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
		call := answeredCall{edge: edge, path: path, id: id, events: 1 + random.Intn(20), deadline: requestTime, upload: "p"}
		if random.Intn(4) == 0 {
			call.deadline = longRequestTime
		}
		if random.Intn(8) == 0 {
			call.upload = strings.Repeat("p", minUploadBytes+random.Intn(uploadBytes-minUploadBytes))
		}
		if !s.sendAnswered(client, &call) {
			edge = s.edges()[random.Intn(len(s.edges()))]
		}
	}
}

// answeredCall is a request to an edge.
type answeredCall struct {
	edge, path, id string
	events         int
	deadline       time.Duration
	upload         string
}

// sendAnswered sends a request, checks the answer and reports whether the connection is still there.
func (s *soak) sendAnswered(client *http.Client, call *answeredCall) bool {
	sentAt := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[call.edge], portCallers)+call.path, strings.NewReader(call.upload))
	if err != nil {
		s.recordViolation("%v", err)
		return false
	}
	// Without GetBody the transport never resends the request on its own.
	request.GetBody = nil
	request.Host = hostedHost
	request.Header.Set("Request-Id", call.id)
	request.Header.Set("Token-Count", fmt.Sprintf("10,%d", call.events))
	request.Header.Set("Deadline-Ms", fmt.Sprint(call.deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		s.recordUnanswered(call, sentAt, err)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case response.Header.Get(emulator.BrokenHeader) == emulator.BrokenHeadMark:
		s.recordViolation("%s from %s has a field of a broken head: %d, %.300q", call.id, call.edge, response.StatusCode, body)
	case failure.PromisesNotRun(response.StatusCode):
		s.mutex.Lock()
		s.rejected = append(s.rejected, call.id)
		s.counts["refused"]++
		s.mutex.Unlock()
	case err != nil:
		s.count("cut")
		return false
	case response.StatusCode != http.StatusOK:
		s.count("failed answers")
	case strings.ReplaceAll(string(body), ": note\n\n", "") != expectedAnswer(call.id, call.events):
		s.recordViolation("%s from %s looks whole: %.300q", call.id, call.edge, body)
	default:
		s.count("complete answers")
	}
	return true
}

// recordUnanswered records that a request got no head of an answer. After a run that is allowed only if its
// edge was killed after the request was sent, or at most a second before.
func (s *soak) recordUnanswered(call *answeredCall, sentAt time.Time, err error) {
	s.mutex.Lock()
	killed := s.killed[call.edge]
	s.mutex.Unlock()
	if runs := s.runCount(call.id); runs > 0 && !killed.After(sentAt.Add(-time.Second)) {
		s.recordViolation("%s, sent %s before, got no answer from %s after %d runs: %v", call.id, time.Since(sentAt), call.edge, runs, err)
	}
	s.count("cut")
}
