package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

// versionPattern matches the version that an event of a HostedWorker tells.
var versionPattern = regexp.MustCompile(`@(\S+)`)

// versionsIn returns the versions of the workers that wrote the events of a text.
func versionsIn(text string) map[string]bool {
	versions := map[string]bool{}
	for _, match := range versionPattern.FindAllStringSubmatch(text, -1) {
		versions[match[1]] = true
	}
	return versions
}

// newFleetOfVersions starts a fleet with four workers, two of each of two versions.
func newFleetOfVersions(t *testing.T) (f *hostedFleet, edges []string) {
	f = newHostedFleet(t, 4)
	for i, worker := range f.workers {
		worker.Version = []string{"v1", "v1.1"}[i%2]
	}
	return f, f.configure(t)
}

// breakFirstRuns makes workers break off each run that starts at the first event.
func (f *hostedFleet) breakFirstRuns(after int) {
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		if request.LastEventID == 0 {
			return emulator.HostedFault{BreakAfter: after}
		}
		return emulator.HostedFault{}
	})
}

// TestAnswerGoesOnAtAnotherVersion guards against answers that a worker of another version
// continues after the first worker broke off.
func TestAnswerGoesOnAtAnotherVersion(t *testing.T) {
	f, edges := newFleetOfVersions(t)
	f.breakFirstRuns(3)
	const calls = 40
	complete := 0
	for number := range calls {
		headers := map[string]string{"Request-Id": fmt.Sprintf("a-%d", number), "Token-Count": "10,8"}
		status, _, body, err := f.call(http.MethodPost, edges[number%2], "/stream/a", headers, "p")
		if versions := versionsIn(body); len(versions) > 1 {
			t.Errorf("answer %d has events of %v", number, versions)
		}
		if err == nil && status == http.StatusOK && strings.Count(body, "id: ") == 8 {
			complete++
		}
	}
	if complete < calls {
		t.Errorf("%d of %d answers are complete, though each version has a second worker", complete, calls)
	}
}

// brokenStream is what a client has of a stream whose edge was killed.
type brokenStream struct {
	id   string
	text string
}

// TestRetryGoesOnAtAnotherVersion guards against streams that, after their edge was killed, another
// edge continues at a worker of another version.
func TestRetryGoesOnAtAnotherVersion(t *testing.T) {
	for name, killed := range map[string][]string{
		"an edge killed":                {"front-21"},
		"an edge and a store killed":    {"front-21", "store-11"},
		"an edge and all stores killed": {"front-21", "store-11", "store-12", "store-13"},
	} {
		t.Run(name, func(t *testing.T) { testRetries(t, killed) })
	}
}

func testRetries(t *testing.T, killed []string) {
	const streams, tokens = 16, 200
	f, edges := newFleetOfVersions(t)
	f.awaitOrigins(t, edges)
	broken := make(chan brokenStream, streams)
	var begun, clients sync.WaitGroup
	begun.Add(streams)
	for number := range streams {
		clients.Go(func() {
			id := fmt.Sprintf("b-%d", number)
			broken <- brokenStream{id, f.readUntilBroken(edges[0], id, tokens, begun.Done)}
		})
	}
	begun.Wait()
	// Stores write origins to their logs every few milliseconds.
	time.Sleep(100 * time.Millisecond)
	for _, name := range killed {
		f.kill(f.machines[name])
	}
	for _, name := range killed {
		f.start(f.machines[name], false)
	}
	clients.Wait()
	close(broken)
	var goOn atomic.Int64
	for stream := range broken {
		clients.Go(func() {
			last := strings.Count(stream.text, "\n\n")
			status, header, rest, err := 0, http.Header(nil), "", error(nil)
			for try := 0; try < 20 && (try == 0 || header.Get("Retry-After") != ""); try++ {
				time.Sleep(time.Duration(min(try, 1)) * 150 * time.Millisecond)
				status, header, rest, err = f.call(http.MethodPost, edges[1], "/stream/a", resumeHeaders(stream.id, tokens, last), "p")
			}
			if versions := versionsIn(stream.text + rest); len(versions) > 1 {
				t.Errorf("stream %s, taken up after event %d, has events of %v", stream.id, last, versions)
			}
			if err == nil && status == http.StatusOK && last+strings.Count(rest, "\n\n") == tokens {
				goOn.Add(1)
			} else {
				t.Logf("stream %s, taken up after event %d: %d, %v: %.300s", stream.id, last, status, err, rest)
			}
		})
	}
	clients.Wait()
	if goOn.Load() < streams {
		t.Errorf("%d of %d streams go on, though all workers serve", goOn.Load(), streams)
	}
}

// TestResumeAfterReleaseAndKillOfAllEdges guards against streams that are taken up at another version if their
// own has just left when all edges are killed at once. Some streams are younger than a report to the stores.
func TestResumeAfterReleaseAndKillOfAllEdges(t *testing.T) {
	const rounds, streams, tokens = 4, 60, 300
	f, edges := newFleetOfVersions(t)
	f.awaitOrigins(t, edges)
	resumed, refused := 0, 0
	for round := range rounds {
		broken := make(chan brokenStream, streams)
		var clients sync.WaitGroup
		for number := range streams {
			clients.Go(func() {
				time.Sleep(time.Duration(number) * 5 * time.Millisecond)
				id := fmt.Sprintf("e-%d-%d", round, number)
				text, _, _ := f.readStream(edges[number%2], id, tokens, func() {})
				broken <- brokenStream{id, text}
			})
		}
		time.Sleep(streams * 4 * time.Millisecond)
		leaving := []*emulator.HostedWorker{f.workers[round%2], f.workers[round%2+2]}
		for _, worker := range leaving {
			worker.Drain()
		}
		time.Sleep(time.Duration(40+80*round/rounds) * time.Millisecond)
		for _, edge := range []string{"front-21", "front-22"} {
			_ = f.machines[edge].command.Process.Kill()
		}
		for _, worker := range leaving {
			worker.Restart(fmt.Sprintf("v2.%d", round), 20*time.Millisecond)
		}
		for _, edge := range []string{"front-21", "front-22"} {
			<-f.machines[edge].exited
			f.start(f.machines[edge], false)
		}
		clients.Wait()
		close(broken)
		var mutex sync.Mutex
		for stream := range broken {
			clients.Go(func() {
				last := strings.Count(stream.text, "\n\n")
				status, rest := f.takeUp(edges, stream.id, tokens, last)
				mutex.Lock()
				defer mutex.Unlock()
				if versions := versionsIn(stream.text + rest); len(versions) > 1 {
					t.Errorf("round %d: stream %s, taken up after event %d, has events of %v", round, stream.id, last, versions)
				}
				if status == http.StatusOK && last > 0 {
					resumed++
				} else if last > 0 {
					refused++
				}
			})
		}
		clients.Wait()
		f.waitServing(t, edges[0])
		f.waitServing(t, edges[1])
	}
	t.Logf("%d streams were taken up, %d refused", resumed, refused)
	if resumed == 0 || refused == 0 {
		t.Errorf("%d streams were taken up, %d refused", resumed, refused)
	}
}

// takeUpTries is how often a client tries to take up a stream.
const takeUpTries = 20

// takeUp takes up a stream after the event last as a client does, and returns what it gets at last.
func (f *hostedFleet) takeUp(edges []string, id string, tokens, last int) (status int, rest string) {
	for try := range takeUpTries {
		var header http.Header
		var err error
		status, header, rest, err = f.call(http.MethodPost, edges[try%2], "/stream/a", resumeHeaders(id, tokens, last), "p")
		if err == nil && header.Get("Retry-After") == "" {
			break
		}
		time.Sleep(150 * time.Millisecond)
	}
	return status, rest
}

// awaitOrigins waits until the second edge knows where a stream of the first one began, which means
// that both know the stores.
func (f *hostedFleet) awaitOrigins(t *testing.T, edges []string) {
	tries := 0
	eventually(t, "a stream taken up at the other edge", func() bool {
		tries++
		id := fmt.Sprintf("first-%d", tries)
		_, _, _, err := f.call(http.MethodPost, edges[0], "/stream/a", map[string]string{"Request-Id": id, "Token-Count": "10,2"}, "p")
		status, _, _, _ := f.call(http.MethodPost, edges[1], "/stream/a", resumeHeaders(id, 2, 1), "p")
		return err == nil && status == http.StatusOK
	})
}

// resumeHeaders returns the headers of a request that takes up a stream after the event last.
func resumeHeaders(id string, tokens, last int) map[string]string {
	return map[string]string{
		"Request-Id": id + "-again", "Token-Count": fmt.Sprintf("10,%d", tokens),
		"Last-Event-Id": fmt.Sprint(last), "Resumes": id,
	}
}

// readUntilBroken reads a stream until its connection breaks, and returns the complete events. It
// calls begun after the first event, or if there is none.
func (f *hostedFleet) readUntilBroken(edge, id string, tokens int, begun func()) string {
	text, answered, err := f.readStream(edge, id, tokens, begun)
	switch {
	case !answered:
		f.t.Error(err)
	case err == nil:
		f.t.Errorf("stream %s ended before its edge was killed", id)
	}
	return text
}

// readStream reads a stream until it ends or its connection breaks, and returns the complete events and
// whether there was an answer. It calls begun after the first event, or if there is none.
func (f *hostedFleet) readStream(edge, id string, tokens int, begun func()) (text string, answered bool, err error) {
	var once sync.Once
	defer once.Do(begun)
	ctx, cancel := context.WithTimeout(context.Background(), hostedTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/stream/a", strings.NewReader("p"))
	if err != nil {
		return "", false, err
	}
	request.Host = hostedHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Token-Count", fmt.Sprintf("10,%d", tokens))
	response, err := hostedClient.Do(request)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	var read strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := response.Body.Read(buffer)
		read.Write(buffer[:count])
		if strings.Contains(read.String(), "\n\n") {
			once.Do(begun)
		}
		if err == io.EOF {
			return completeEvents(read.String()), true, nil
		}
		if err != nil {
			return completeEvents(read.String()), true, err
		}
	}
}

// TestItemGoesOnAtAnotherVersion guards against results with text of two versions, after the first
// worker of an item broke off.
func TestItemGoesOnAtAnotherVersion(t *testing.T) {
	const items, tokens = 20, 40
	f, edges := newFleetOfVersions(t)
	f.breakFirstRuns(15)
	f.submitJob(t, edges[0], "/batch/", "j1", jobDocument("j1", items, tokens))
	var page *hostedPage
	eventually(t, "all results", func() bool {
		page, _ = f.readResults(edges[1], "j1", 0)
		return page != nil && len(page.Results) == items
	})
	for _, row := range page.Results {
		if versions := versionsIn(row.Message); len(versions) != 1 || strings.Count(row.Message, "\n") != tokens-1 {
			t.Errorf("item %s is %s with events of %v, %d of %d", row.ID, row.State, versions, strings.Count(row.Message, "\n")+1, tokens)
		}
	}
}
