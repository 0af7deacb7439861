package standins2

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	onlineHost = "online.example"
	// The dose of the disruption: share of the workers, one in how many of their answers, length of an
	// episode, number of episodes and the time between them.
	garbleShare    = 0.6
	garbleEvery    = 34
	garbleFor      = 5 * time.Second
	garbleEpisodes = 6
	garblePause    = 10 * time.Second
	// A spoiled answer arrives at the speed of a front's link, 1,000 Mbit/s.
	linkBytesPerS = 1_000_000_000 / 8
	memoryPoll    = 10 * time.Millisecond
)

var memoryLimitMB = map[string]int{"core": 280, "store": 314, "front": 284}

// onlineDocument returns a configuration with two streaming routes, of which one may be resumed.
func onlineDocument(version int) string {
	route := func(name string, attempts int, resumable bool) string {
		return fmt.Sprintf(`{"name":"r-%s","host":%q,"pathPrefix":"/%s/","routeKind":"streaming","timeoutMs":5000,"goalMs":300,"priority":0,"service":%q,"maxAttempts":%d,"sticky":true,"resumable":%t,"gapGoalMs":300}`, name, onlineHost, name, service, attempts, resumable)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"services":[{"name":%q,"healthPath":"/healthz","maxConns":290,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacityTokens":134354,"kvTokenBytes":35136,"linkMbps":740000.0,"moves":true,"backups":true,"stride":6,"maxQueuedTokens":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, route("bill", 1, false), route("outage", 2, true), service)
}

// watchMemory ends each process that goes over the memory of its machine, as the platform does, and
// counts these ends by machine.
func (f *fleet) watchMemory(stop <-chan struct{}) func() map[string]int {
	ends := map[string]int{}
	var mutex sync.Mutex
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryPoll):
			}
			for _, m := range f.machines {
				m.mutex.Lock()
				command := m.command
				m.mutex.Unlock()
				used := anonymousMB(command.Process.Pid)
				if used <= memoryLimitMB[m.class] {
					continue
				}
				f.record.printf("platform: %s holds %d MB, over its %d MB, and is killed", m.name, used, memoryLimitMB[m.class])
				_ = command.Process.Kill()
				mutex.Lock()
				ends[m.name]++
				mutex.Unlock()
				time.Sleep(memoryPoll)
			}
		}
	})
	return func() map[string]int { watch.Wait(); return ends }
}

// anonymousMB returns the memory of a process that no file backs, in MB, zero if it has ended.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		if rest, found := strings.CutPrefix(scanner.Text(), "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// spoil sends bytes that form no answer for as long as the other side takes them.
func spoil(writer http.ResponseWriter) (sent int) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return 0
	}
	defer connection.Close()
	block := bytes.Repeat([]byte{'x'}, 256<<10)
	began := time.Now()
	for time.Since(began) < 5*time.Second {
		count, err := connection.Write(block)
		sent += count
		if err != nil {
			return sent
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / linkBytesPerS * float64(time.Second)))))
	}
	return sent
}

// garbleCase: some workers spoil a few of their answers while clients ask.
func garbleCase(r *record, trouble bool) int {
	f, workers, err := deployment(r, 12, 8, 62*time.Millisecond, 20*time.Millisecond, onlineDocument(7))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	var garbling atomic.Bool
	for i, w := range workers {
		if i >= int(garbleShare*float64(len(workers))) {
			continue
		}
		answers := 0
		w.answer = func(writer http.ResponseWriter, request *http.Request, current *run) bool {
			w.mutex.Lock()
			spoils := false
			if garbling.Load() {
				answers++
				spoils = answers%garbleEvery == garbleEvery/2
			}
			w.mutex.Unlock()
			if !spoils {
				return false
			}
			r.printf("worker: %s spoils the answer of %s", w.id, current.id)
			w.note(current, "spoiled", 0)
			sent := spoil(writer)
			r.printf("worker: %s has sent %d MB that form no answer", w.id, sent>>20)
			return true
		}
	}
	stop := make(chan struct{})
	ends := f.watchMemory(stop)
	answered := f.sendOnline(stop, 54)
	time.Sleep(5 * time.Second)
	for range garbleEpisodes {
		garbling.Store(trouble)
		time.Sleep(garbleFor)
		garbling.Store(false)
		time.Sleep(garblePause)
	}
	close(stop)
	f.reportOnline(answered())
	return f.judgeEnds(ends())
}

// sendOnline sends so many streaming requests a second until stop is closed, to the fronts in turn.
// It returns a function that waits for the answers and returns them by outcome.
func (f *fleet) sendOnline(stop <-chan struct{}, perSecond int) func() map[string]int {
	outcomes := map[string]int{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			front, path := f.of("front")[rand.Intn(3)], []string{"/bill/", "/outage/"}[i%2]
			clients.Go(func() {
				id := randomID()
				status, _, _ := call(http.MethodPost, f.front(front), path+id[:6], onlineHost, map[string]string{"Request-Id": id, "Model": "m", "Token-Count": "450,31", "Prompt-Prefix": "aa01:100,bb02:100," + id[:8] + ":250", "Deadline-Ms": "5000"}, "question "+id, 5*time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				outcomes[strconv.Itoa(status)]++
			})
		}
	})
	return func() map[string]int { clients.Wait(); return outcomes }
}

func (f *fleet) reportOnline(outcomes map[string]int) {
	f.record.printf("clients: answers by status (0: none, or cut): %v", outcomes)
}

// judgeEnds checks the paragraph Fault: on a tenth of the machines, two at least, or on half of the
// core, processes end by themselves three times, memory over the limit included.
func (f *fleet) judgeEnds(ends map[string]int) int {
	often, core := 0, 0
	for _, m := range f.machines {
		if ends[m.name] > 0 {
			f.record.printf("judge: the process of %s ended %d times by itself", m.name, ends[m.name])
		}
		if ends[m.name] >= 3 {
			often++
			if m.class == "core" {
				core++
			}
		}
	}
	if often >= 2 && 10*often >= len(f.machines) || 2*core >= len(f.of("core")) {
		return broken
	}
	return held
}
