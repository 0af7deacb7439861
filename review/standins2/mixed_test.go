package standins2

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The dose of the disruptions: how long the list does not answer; share of the workers, one in how
	// many of their answers, length of an episode, number of episodes and the time between them.
	listDownFor   = 40 * time.Second
	extraShare    = 0.6
	extraEvery    = 34
	extraFor      = 5 * time.Second
	extraEpisodes = 4
	extraPause    = 4 * time.Second
)

// connectionState is what a worker keeps of a connection: the copy of its last answer, if that comes
// once more where the next answer is due.
type connectionState struct {
	mutex sync.Mutex
	extra string
}

// countAnswer counts an answer of a worker that sends some answers twice.
func (w *worker) countAnswer() {
	if w.extras != nil && w.extras.Load() {
		w.answers.Add(1)
	}
}

// takeExtraTurn reports whether the present answer, to a health check, comes once more: one such answer
// comes for each extraEvery answers of the worker.
func (w *worker) takeExtraTurn() bool {
	if w.extras == nil || !w.extras.Load() || w.answers.Load() < extraEvery {
		return false
	}
	w.answers.Store(0)
	return true
}

type connectionKey struct{}

func withConnectionState(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connectionState{})
}

func stateOf(request *http.Request) *connectionState {
	state, _ := request.Context().Value(connectionKey{}).(*connectionState)
	return state
}

// keepExtra keeps the answer to a health check, to send it once more.
func (w *worker) keepExtra(request *http.Request) {
	state := stateOf(request)
	if state == nil || !w.takeExtraTurn() {
		return
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.extra = fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", w.id, w.load())
}

// takeExtra returns the answer that comes once more on the connection of the request, empty for none.
func takeExtra(request *http.Request) string {
	state := stateOf(request)
	if state == nil {
		return ""
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	extra := state.extra
	state.extra = ""
	return extra
}

// healthAfterExtra sends the extra answer and then that of a health check.
func (w *worker) healthAfterExtra(writer http.ResponseWriter, extra string) {
	connection, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = buffered.WriteString(extra + extra)
	_ = buffered.Flush()
}

// streamAfterExtra sends the extra answer and then that of the request.
func (w *worker) streamAfterExtra(writer http.ResponseWriter, request *http.Request, current *run, extra string) {
	connection, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	w.record.printf("worker: %s answers a health check once more, where the answer of %s is due", w.id, current.id)
	send := func(text string) bool {
		_, err := buffered.WriteString(text)
		return err == nil && buffered.Flush() == nil
	}
	if !send(extra) {
		w.note(current, "broken", 0)
		return
	}
	_, out, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
	count, _ := strconv.Atoi(out)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nServer-Load: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", current.id, w.id, current.id, w.load())
	time.Sleep(w.prefill)
	for number := current.from + 1; number <= count; number++ {
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, current.id, number)
		if !send(fmt.Sprintf("%s%x\r\n%s\r\n", head, len(event), event)) {
			w.note(current, "dropped", number-1)
			return
		}
		head = ""
		time.Sleep(w.gap)
	}
	send("0\r\n\r\n")
	w.note(current, "whole", count)
}

// mixedCase: the platform's list does not answer, so the system asks workers whether they are well; some
// workers send a few of their answers twice, the second time where the next answer is due.
func mixedCase(r *record, trouble bool) int {
	f, workers, err := deployment(r, 12, 8, 62*time.Millisecond, 20*time.Millisecond, onlineDocument(7))
	if f != nil {
		defer f.close()
	}
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	var extras atomic.Bool
	for i, w := range workers {
		if i >= int(extraShare*float64(len(workers))) {
			continue
		}
		w.extras = &extras
	}
	stop := make(chan struct{})
	wait, answers := f.askStreams(stop, 54)
	time.Sleep(3 * time.Second)
	f.list.down.Store(trouble)
	r.printf("platform: the list answers: %t", !trouble)
	end := time.Now().Add(listDownFor)
	for range extraEpisodes {
		time.Sleep(extraPause)
		extras.Store(trouble)
		time.Sleep(extraFor)
		extras.Store(false)
	}
	time.Sleep(time.Until(end))
	f.list.down.Store(false)
	r.printf("platform: the list answers again")
	time.Sleep(3 * time.Second)
	close(stop)
	wait()
	return judgeMixed(r, *answers, workers)
}

// streamAnswer is what a client got.
type streamAnswer struct {
	id, path, seal, body string
	status               int
	sentAt               time.Time
}

// askStreams sends so many streaming requests a second until stop is closed.
func (f *fleet) askStreams(stop <-chan struct{}, perSecond int) (wait func(), answers *[]streamAnswer) {
	answers = &[]streamAnswer{}
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
				a := streamAnswer{id: randomID(), path: path, sentAt: time.Now()}
				var header http.Header
				a.status, header, a.body = call(http.MethodPost, f.front(front), path+a.id[:6], onlineHost, map[string]string{"Request-Id": a.id, "Model": "m", "Token-Count": "450,31", "Prompt-Prefix": "aa01:100,bb02:100," + a.id[:8] + ":250", "Deadline-Ms": "5000"}, "question "+a.id, 5*time.Second)
				a.seal = header.Get("Server-Seal")
				mutex.Lock()
				defer mutex.Unlock()
				*answers = append(*answers, a)
			})
		}
	})
	return clients.Wait, answers
}

// judgeMixed checks the rule MIXED: a success has the seal of a worker and that worker's whole body.
func judgeMixed(r *record, answers []streamAnswer, workers []*worker) int {
	runs := map[string]int{}
	for _, w := range workers {
		w.mutex.Lock()
		for _, current := range w.runs {
			runs[current.id]++
		}
		w.mutex.Unlock()
	}
	statuses, breaks := map[int]int{}, 0
	for _, a := range answers {
		statuses[a.status]++
		if a.status < 200 || a.status > 299 || a.seal != "" && strings.Count(a.body, "\n\n") == 31 {
			continue
		}
		if breaks++; breaks <= 20 {
			r.printf("MIXED: request %s on %s, sent at %.3f s, gets %d with the seal %q and %d of 31 events; %d workers have run it", a.id, a.path, r.at(a.sentAt), a.status, a.seal, strings.Count(a.body, "\n\n"), runs[a.id])
		}
	}
	r.printf("clients: answers by status (0: none, or cut): %v", statuses)
	r.printf("judge: %d successes without a seal or without the worker's whole body", breaks)
	if breaks > 0 {
		return broken
	}
	return held
}
