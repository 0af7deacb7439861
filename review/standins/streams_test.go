package standins

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stream is an online request and what its client received.
type stream struct {
	id       string
	events   int
	status   int
	body     string
	complete bool
}

// wholeBody is the whole body that a worker sends for the request.
func (s *stream) wholeBody() string {
	var body strings.Builder
	for number := 1; number <= s.events; number++ {
		body.WriteString(eventText(s.id, number))
	}
	return body.String()
}

// sendStream sends an online request on a connection of its own and reads the answer. It is complete
// if the answer ended as HTTP says.
func (f *fleet) sendStream(front *machine, prefix string, s *stream) {
	request, err := http.NewRequest("POST", fmt.Sprintf("http://%s:%d%s%s", front.ip, portFront, prefix, s.id), strings.NewReader("question "+s.id))
	if err != nil {
		return
	}
	request.Host = hostName
	for name, value := range map[string]string{"Request-Id": s.id, "Deadline-Ms": "8000", "Model": "m", "Token-Count": fmt.Sprintf("100,%d", s.events*tokensPerEvent), "Prompt-Prefix": "5c1e07a2:60," + s.id[len(s.id)-6:] + ":40"} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		f.record.write("client: %s ends with %v", s.id, err)
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(bufio.NewReader(response.Body))
	s.status, s.body, s.complete = response.StatusCode, string(content), err == nil
	f.record.write("client: %s at %s: %d, %d of %d bytes, ended as complete: %t (%v)", s.id, front.name, s.status, len(s.body), len(s.wholeBody()), s.complete, err)
}

const (
	streamRounds = 6
	streamsEach  = 80
	// frontFrozen is how long a front machine stands still, and workerDown how long a worker is down
	// meanwhile.
	frontFrozen = 1500 * time.Millisecond
	workerDown  = time.Second
)

// truncatedStreams plays the second part: two workers crash and come back while a front machine stands
// still.
func (f *fleet) truncatedStreams(trouble bool) int {
	broken := 0
	for round := range streamRounds {
		sent := make([]*stream, streamsEach)
		var clients sync.WaitGroup
		front := f.class("front")[round%2]
		for i := range sent {
			sent[i] = &stream{id: fmt.Sprintf("%02x41e09b52%06x", 16+round, i), events: 60}
			clients.Go(func() { f.sendStream(front, "/lohu930/", sent[i]) })
		}
		if trouble {
			time.Sleep(time.Second)
			f.signal(syscall.SIGSTOP, front)
			time.Sleep(100 * time.Millisecond)
			first, second := 2*round%truncatedWorkers, (2*round+1)%truncatedWorkers
			f.killWorker(f.workerAt(first))
			f.killWorker(f.workerAt(second))
			time.Sleep(workerDown)
			f.must(f.addWorker(first))
			f.must(f.addWorker(second))
			time.Sleep(frontFrozen - workerDown - 100*time.Millisecond)
			f.signal(syscall.SIGCONT, front)
		}
		clients.Wait()
		for _, s := range sent {
			if s.status == 200 && s.complete && s.body != s.wholeBody() {
				f.record.write("BROKEN: %s got %d of %d bytes as a complete answer, which end with %q", s.id, len(s.body), len(s.wholeBody()), s.body[max(0, len(s.body)-30):])
				broken++
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	return broken
}
