package standins2

import (
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The dose of the disruption: share of the workers, part of their requests, length of an
	// episode, number of episodes and the time between them.
	greyShare    = 0.14
	greyPart     = 0.45
	greyFor      = 6500 * time.Millisecond
	greyEpisodes = 2
	greyPause    = 8 * time.Second
)

// attempt is a client attempt, which has an id of its own.
type attempt struct {
	id, path string
	sentAt   time.Time
	status   int
}

// refusedCase: some workers fail a part of the requests that they run, while their health is good. A
// worker fails after it has begun: its 503 lacks Not-Run.
func refusedCase(r *record, trouble bool) int {
	f, workers, err := deployment(r, 15, 8, 62*time.Millisecond, 20*time.Millisecond, onlineDocument(7))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	var grey atomic.Bool
	for i, w := range workers {
		if i >= int(greyShare*float64(len(workers))) {
			continue
		}
		w.answer = func(writer http.ResponseWriter, request *http.Request, current *run) bool {
			if !grey.Load() || rand.Float64() >= greyPart {
				return false
			}
			select {
			case <-request.Context().Done():
				w.note(current, "dropped", 0)
				return true
			case <-time.After(w.prefill):
			}
			w.note(current, "failed with 503, without Not-Run", 0)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	stop := make(chan struct{})
	var attempts []*attempt
	var mutex sync.Mutex
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / 54)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			path := []string{"/bill/", "/outage/"}[i%2]
			clients.Go(func() {
				// After a promise the same question comes again, once, with an id of its own.
				for try := range 2 {
					a := &attempt{id: randomID(), path: path, sentAt: time.Now()}
					front := f.of("front")[rand.Intn(3)]
					var header http.Header
					a.status, header, _ = call(http.MethodPost, f.front(front), path+a.id[:6], onlineHost, map[string]string{"Request-Id": a.id, "Model": "m", "Token-Count": "450,31", "Prompt-Prefix": "aa01:100,bb02:100," + a.id[:8] + ":250", "Deadline-Ms": "5000"}, "question", 5*time.Second)
					mutex.Lock()
					attempts = append(attempts, a)
					mutex.Unlock()
					if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests || try == 1 {
						return
					}
					wait, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(min(wait, 1) * float64(time.Second)))
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	for range greyEpisodes {
		grey.Store(trouble)
		r.printf("workers: an episode begins")
		time.Sleep(greyFor)
		grey.Store(false)
		r.printf("workers: the episode has ended")
		time.Sleep(greyPause)
	}
	close(stop)
	clients.Wait()
	return judgeRefused(r, attempts, workers)
}

// judgeRefused checks the rule REFUSED for requests of the route that can't be repeated.
func judgeRefused(r *record, attempts []*attempt, workers []*worker) int {
	ran := map[string]*run{}
	at := map[string]string{}
	for _, w := range workers {
		w.mutex.Lock()
		for _, current := range w.runs {
			ran[current.id], at[current.id] = current, w.id
		}
		w.mutex.Unlock()
	}
	statuses := map[string]map[int]int{"/bill/": {}, "/outage/": {}}
	breaks := 0
	for _, a := range attempts {
		statuses[a.path][a.status]++
		promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
		if a.path != "/bill/" || !promise || ran[a.id] == nil {
			continue
		}
		breaks++
		current := ran[a.id]
		r.printf("REFUSED: request %s, sent at %.3f s, is answered %d; worker %s has run it from %.3f s to %.3f s (%s)", a.id, r.at(a.sentAt), a.status, at[a.id], r.at(current.began), r.at(current.ended), current.outcome)
	}
	r.printf("clients: answers by status, /bill/ can't be repeated: %v", statuses)
	r.printf("judge: %d requests that can't be repeated were answered with a promise and have run", breaks)
	if breaks > 0 {
		return broken
	}
	return held
}
