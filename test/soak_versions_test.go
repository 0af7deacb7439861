package test

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

const (
	// soakVersionsSeconds is how long the default run with several worker versions injects faults.
	soakVersionsSeconds = 25
	// streamDeadline is how long a client waits for a stream, over all its requests.
	streamDeadline = 12 * time.Second
	maxStreamTries = 8
	maxStreamEvent = 150
	// calmTime is how long an edge must have been without a fault, and the coordinators and stores,
	// for a stream taken up there to count for the share that goes on. minCalm is the number of such
	// streams from which the share is checked.
	calmTime = 3 * time.Second
	minCalm  = 12
	// maxStragglers is how many workers a release leaves at the version before.
	maxStragglers = 2
	// drainTime is how long a worker serves after it was listed as draining.
	drainTime = 1500 * time.Millisecond
)

// soakVersions is the state of a run with several worker versions.
type soakVersions struct {
	// released are the versions released so far.
	released []string
	// begun counts the streams and those that began, takenUp those that were taken up and those of
	// them that went on. servable counts the same for streams taken up while their version had a worker
	// that takes requests. calmBegun and calmTakenUp count begun and servable for calm edges.
	begun, takenUp, servable, calmBegun, calmTakenUp share
	// rejections counts the rejections of such requests by reason.
	rejections map[string]int
}

// share counts streams and those among them that began or went on.
type share struct{ streams, served int }

func (s *share) add(served bool) {
	s.streams++
	if served {
		s.served++
	}
}

// String returns the share as "served of requests".
func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.streams) }

// TestSoakVersions runs the soak test with workers of several versions: releases, roll-backs and
// crashes of workers overlap with the faults of machines. Clients take up broken streams at other
// edges. No stream and no item may have events of two versions.
func TestSoakVersions(t *testing.T) {
	seed := envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed)
	s := newSoak(t, seed)
	// An earlier build doesn't keep streams at their version.
	s.released = ""
	s.versions = &soakVersions{released: []string{emulator.HostedVersion}, rejections: map[string]int{}}
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakVersionsSeconds)) * time.Second)
	s.checkEnd()
	v := s.versions
	t.Logf("seed %d, %d faults, versions %v; new streams begun %s, taken up %s, of those whose version serves %s; at calm edges %s and %s; rejected: %v; %s", seed, len(s.faults), v.released, v.begun, v.takenUp, v.servable, v.calmBegun, v.calmTakenUp, v.rejections, s.summary())
	if v.calmTakenUp.streams >= minCalm && 2*v.calmTakenUp.served*v.calmBegun.streams < v.calmTakenUp.streams*v.calmBegun.served {
		t.Errorf("at calm edges %s streams taken up go on, under half of the share of new ones, %s", v.calmTakenUp, v.calmBegun)
	}
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("streams of one version", "streams taken up", "releases", "completed jobs", "stable positions", "planned stops", "all killed", "third frozen")
}

// drawWorkerFault returns a random fault of the workers: a release or roll-back, a crash of some
// workers, or rejections. The caller holds the mutex.
func (s *soak) drawWorkerFault() func() {
	gap := time.Duration(s.random.Int63n(int64(400 * time.Millisecond)))
	stragglers, drains := s.random.Intn(maxStragglers+1), s.random.Intn(4) > 0
	released := s.versions.released
	switch kind := s.random.Intn(6); {
	case kind == 0:
		return s.rejectAtWorkers
	case kind <= 2:
		var crashing []*emulator.HostedWorker
		for _, worker := range s.workers {
			if s.random.Intn(4) == 0 {
				crashing = append(crashing, worker)
			}
		}
		return func() { s.crashWorkers(crashing, gap) }
	case kind == 3 && len(released) > 1:
		version := released[s.random.Intn(len(released)-1)]
		return func() { s.releaseVersion(version, stragglers, gap, drains) }
	}
	version := fmt.Sprintf("v1.%d", len(released))
	s.versions.released = append(released, version)
	return func() { s.releaseVersion(version, stragglers, gap, drains) }
}

// releaseVersion replaces the workers one after the other, but for some stragglers. A worker that drains
// serves for drainTime more, so that several drain at a time.
func (s *soak) releaseVersion(version string, stragglers int, gap time.Duration, drains bool) {
	s.logFault("release %s, one worker each %s, %d stay, drained first: %t", version, gap, stragglers, drains)
	var replaced sync.WaitGroup
	for _, worker := range s.workers[stragglers:] {
		replaced.Go(func() {
			if drains {
				worker.Drain()
				time.Sleep(drainTime)
			}
			worker.Restart(version, 50*time.Millisecond)
		})
		time.Sleep(gap)
	}
	replaced.Wait()
	s.count("releases")
}

// crashWorkers makes workers crash at the same moment. They restart at the version that they had.
func (s *soak) crashWorkers(workers []*emulator.HostedWorker, restartAfter time.Duration) {
	s.logFault("%d workers crash for %s", len(workers), restartAfter)
	for _, worker := range workers {
		worker.Restart("", restartAfter)
	}
}

// soakStream is what a client has of a stream.
type soakStream struct {
	id     string
	events int
	// resumes is the id of the request that brought the first event, text the complete events.
	resumes, text string
	// takenUp, servable and calm say whether the stream was ever taken up, while its version served, and
	// at a calm edge. calmBegin is set if it was first sent to a calm edge. wentOn is set once a request
	// that took it up brought an event.
	takenUp, servable, calm, calmBegin, wentOn bool
}

func (s *soakStream) received() int { return strings.Count(s.text, "\n\n") }

// runStreamClient sends streams to one edge over a kept-alive connection. When that edge doesn't
// serve, or breaks off, it takes the stream up at another edge.
func (s *soak) runStreamClient(number int, random *rand.Rand, stop <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	edges := s.edges()
	edge := edges[number%len(edges)]
	for sent := 0; ; sent++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int63n(int64(50 * time.Millisecond)))):
		}
		stream := &soakStream{id: fmt.Sprintf("v-%d-%d", number, sent), events: 1 + random.Intn(maxStreamEvent)}
		deadline := time.Now().Add(streamDeadline)
		complete := false
		for try := 0; try < maxStreamTries && !complete && time.Now().Before(deadline); try++ {
			var retryAfter time.Duration
			if complete, retryAfter = s.sendStream(client, edge, stream, try, deadline); complete {
				break
			}
			time.Sleep(retryAfter)
			edge = edges[random.Intn(len(edges))]
		}
		s.checkStream(stream, complete)
	}
}

// sendStream sends one request for the rest of a stream. It reports whether the stream is complete,
// and otherwise when to try again.
func (s *soak) sendStream(client *http.Client, edge string, stream *soakStream, try int, deadline time.Time) (complete bool, retryAfter time.Duration) {
	id, had := fmt.Sprintf("%s.%d", stream.id, try), stream.received()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address(s.machines[edge], portCallers)+"/stream/a", strings.NewReader(stream.id))
	if err != nil {
		s.recordViolation("%v", err)
		return false, 0
	}
	request.GetBody = nil
	request.Host = hostedHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", fmt.Sprintf("10,%d", stream.events))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if had > 0 {
		request.Header.Set("Resumes", stream.resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(had))
	}
	serves := func() bool { return had == 0 || s.versionServes(stream) }
	served, calm := serves(), s.isCalm(edge)
	response, err := client.Do(request)
	if err != nil {
		return false, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	goesOn := response.StatusCode == http.StatusOK && strings.Contains(string(body), "\n\n")
	served, calm = served && serves(), calm && s.isCalm(edge)
	if had == 0 {
		stream.calmBegin = stream.calmBegin || try == 0 && calm
	} else if err == nil || goesOn {
		stream.takenUp = true
		stream.servable = stream.servable || served
		stream.calm = stream.calm || served && calm
		stream.wentOn = stream.wentOn || goesOn
	}
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		s.mutex.Lock()
		s.rejected = append(s.rejected, id)
		s.counts["refused"]++
		if had > 0 {
			s.versions.rejections[rejectionReason(string(body))]++
		}
		s.mutex.Unlock()
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return false, time.Duration(seconds * float64(time.Second))
	case http.StatusOK:
		stream.text += completeEvents(string(body))
		if had == 0 {
			stream.resumes = id
		}
		return err == nil, 0
	}
	return false, 0
}

// rejectionReason returns the reason why a request that takes up a stream was rejected.
func rejectionReason(body string) string {
	for _, reason := range []string{"has no worker of version", "it is not known at which worker version"} {
		if strings.Contains(body, reason) {
			return reason
		}
	}
	return strings.TrimSpace(body)
}

// completeEvents returns the events of a broken answer without an incomplete one at its end.
func completeEvents(text string) string {
	if end := strings.LastIndex(text, "\n\n"); end >= 0 {
		return text[:end+len("\n\n")]
	}
	return ""
}

// isCalm reports whether the edge, the coordinators and the stores have had no fault for calmTime.
func (s *soak) isCalm(edge string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range s.names() {
		if name != edge && strings.HasPrefix(name, "front") {
			continue
		}
		if s.faulty[name] || time.Since(s.disturbedAt[name]) < calmTime {
			return false
		}
	}
	return true
}

// versionServes reports whether a worker of the stream's version takes requests.
func (s *soak) versionServes(stream *soakStream) bool {
	began := versionsIn(stream.text)
	for _, worker := range s.workers {
		if version, takes := worker.TakesRequests(); takes && began[version] {
			return true
		}
	}
	return false
}

// recordStream counts a stream once its client has ended.
func (s *soak) recordStream(stream *soakStream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, began := s.versions, stream.received() > 0
	v.begun.add(began)
	if stream.calmBegin {
		v.calmBegun.add(began)
	}
	if !stream.takenUp {
		return
	}
	s.counts["streams taken up"]++
	v.takenUp.add(stream.wentOn)
	if stream.servable {
		v.servable.add(stream.wentOn)
	}
	if stream.calm {
		v.calmTakenUp.add(stream.wentOn)
	}
}

// checkStream checks that the events of a stream follow each other and come from one version, whether
// the stream is complete or not.
func (s *soak) checkStream(stream *soakStream, complete bool) {
	s.count("streams of one version")
	s.recordStream(stream)
	if versions := versionsIn(stream.text); len(versions) > 1 {
		s.recordViolation("stream %s has events of %v", stream.id, versions)
	}
	for number, event := range strings.SplitAfter(strings.TrimSuffix(stream.text, "\n\n"), "\n\n") {
		if stream.text != "" && !strings.HasPrefix(event, fmt.Sprintf("id: %d\n", number+1)) {
			s.recordViolation("event %d of stream %s reads %q", number+1, stream.id, event)
			return
		}
	}
	if complete && stream.received() != stream.events {
		s.recordViolation("stream %s is complete with %d of %d events", stream.id, stream.received(), stream.events)
	}
	if complete {
		s.count("complete answers")
	}
}

// startStreamClients starts the clients of a run with several versions.
func (s *soak) startStreamClients(clients *sync.WaitGroup, seed int64, stop <-chan struct{}) {
	for number := range 24 * s.scale {
		clients.Go(func() { s.runStreamClient(number, rand.New(rand.NewSource(seed+int64(number))), stop) })
	}
}

// recordDisturbed records that a fault of the machines begins or ends now.
func (s *soak) recordDisturbed(names ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, name := range names {
		s.disturbedAt[name] = time.Now()
	}
}
