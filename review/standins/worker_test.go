package standins

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerSettings configure a stand-in of a model worker.
type workerSettings struct {
	ID       string
	Address  string
	Slots    int
	Interval time.Duration
	// UnframedEvery marks one answer of so many as one without length and chunks; 0 marks none.
	UnframedEvery int
}

// worker is a model worker as PROTOCOL.md describes it: it runs up to Slots requests at once,
// answers with a stream of events, resumes at Last-Event-Id, drops a request whose connection closes,
// and answers 421 to a request for another worker.
type worker struct {
	settings workerSettings
	mutex    sync.Mutex
	running  int
	answers  int
}

// workerEvent is a line that a worker prints: what it ran.
type workerEvent struct {
	Worker  string `json:"worker"`
	What    string `json:"what"`
	Request string `json:"request,omitempty"`
	From    int    `json:"from,omitempty"`
	To      int    `json:"to,omitempty"`
	Framing string `json:"framing,omitempty"`
	Host    string `json:"host,omitempty"`
	Path    string `json:"path,omitempty"`
}

func (w *worker) report(event workerEvent) {
	event.Worker = w.settings.ID
	line, _ := json.Marshal(event)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

// runWorker serves until the process is killed.
func runWorker(settings workerSettings) error {
	w := &worker{settings: settings}
	var listener net.Listener
	var err error
	for range 200 {
		if listener, err = net.Listen("tcp", settings.Address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.report(workerEvent{What: "started"})
	return http.Serve(listener, w)
}

func (w *worker) load() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", w.running, w.settings.Slots)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Server-Load", w.load())
	switch {
	case request.URL.Path == "/healthz":
		writer.Header().Set("Instance", w.settings.ID)
		writer.WriteHeader(http.StatusOK)
		return
	case request.URL.Path == "/-/report":
		writer.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(writer, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busySlots":false,"callSeq":0,"queueDepth":0,"running":%d,"kvUsed":0,"kvTotal":153000,"handles":0}`, w.running)
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.settings.ID {
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mutex.Lock()
	if w.running >= w.settings.Slots {
		w.mutex.Unlock()
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.answers++
	unframed := w.settings.UnframedEvery > 0 && w.answers%w.settings.UnframedEvery == 0
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.running--
	}()
	w.run(writer, request, id, unframed)
}

// eventCount returns how many events the whole answer to a request has: a sixth of its most tokens out.
func eventCount(tokenCount string) int {
	_, out, _ := strings.Cut(tokenCount, ",")
	tokens, _ := strconv.Atoi(out)
	return max(tokens/tokensPerEvent, 1)
}

const tokensPerEvent = 6

// eventData is the text of an event.
func eventData(id string, number int) string { return fmt.Sprintf("%s.%d", id, number) }

// eventText is an event as a worker sends it.
func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(id, number))
}

// wholeText is the whole output of an item.
func wholeText(id string, events int) string {
	lines := make([]string, 0, events)
	for number := 1; number <= events; number++ {
		lines = append(lines, eventData(id, number))
	}
	return strings.Join(lines, "\n")
}

func (w *worker) run(writer http.ResponseWriter, request *http.Request, id string, unframed bool) {
	total := eventCount(request.Header.Get("Token-Count"))
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	framing := "chunks"
	if unframed {
		framing = "none"
	}
	w.report(workerEvent{What: "run", Request: id, From: from, Framing: framing, Host: request.Host, Path: request.URL.Path})
	send := w.chunkedSender(writer)
	if unframed {
		var conn net.Conn
		conn, send = w.unframedSender(writer, id)
		if conn == nil {
			return
		}
		defer conn.Close()
	}
	for number := from + 1; number <= total; number++ {
		select {
		case <-request.Context().Done():
			w.report(workerEvent{What: "dropped", Request: id, From: from, To: number - 1, Framing: framing})
			return
		case <-time.After(w.settings.Interval):
		}
		if !send(eventText(id, number)) {
			w.report(workerEvent{What: "dropped", Request: id, From: from, To: number - 1, Framing: framing})
			return
		}
	}
	w.report(workerEvent{What: "whole", Request: id, From: from, To: total, Framing: framing})
}

func (w *worker) chunkedSender(writer http.ResponseWriter) func(string) bool {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Server-Seal", "seal."+w.settings.ID)
	controller := http.NewResponseController(writer)
	return func(text string) bool {
		_, err := writer.Write([]byte(text))
		return err == nil && controller.Flush() == nil
	}
}

func (w *worker) unframedSender(writer http.ResponseWriter, id string) (net.Conn, func(string) bool) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return nil, nil
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + w.settings.ID + "\r\nServer-Load: " + w.load() + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return nil, nil
	}
	return conn, func(text string) bool {
		_, err := conn.Write([]byte(text))
		return err == nil
	}
}
