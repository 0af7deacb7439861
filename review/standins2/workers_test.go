package standins2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	service    = "llm-1"
	pageRows   = 50
	listLag    = 800 * time.Millisecond
	listPerS   = 40
	queueRoom  = 24
	workerPort = 8080
)

// run is a run of a request at a worker.
type run struct {
	id      string
	began   time.Time
	ended   time.Time
	outcome string
	from    int
	events  int
}

// worker is a model worker.
type worker struct {
	id, address, zone string
	slots             int
	// prefill is the time until the first event, gap the time between events.
	prefill, gap time.Duration
	record       *record
	server       *http.Server
	startedAt    time.Time

	mutex   sync.Mutex
	slot    chan struct{}
	waiting int
	running int
	runs    []*run
	// answer, if set, may answer a request instead of the usual way; it is called with a slot.
	answer func(w http.ResponseWriter, r *http.Request, run *run) bool
	// extras, if not nil, is set while the worker sends some answers to health checks twice. answers
	// counts its answers since the last of these.
	extras  *atomic.Bool
	answers atomic.Int64
}

func newWorker(r *record, id, address, zone string, slots int, prefill, gap time.Duration) (*worker, error) {
	w := &worker{id: id, address: address, zone: zone, slots: slots, prefill: prefill, gap: gap, record: r, slot: make(chan struct{}, slots), startedAt: time.Now()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ConnContext: withConnectionState}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) load() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
}

func (w *worker) serve(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	w.countAnswer()
	switch request.URL.Path {
	case "/healthz":
		if extra := takeExtra(request); extra != "" {
			w.healthAfterExtra(writer, extra)
			return
		}
		header.Set("Instance", w.id)
		header.Set("Server-Load", w.load())
		w.keepExtra(request)
		return
	case "/-/report":
		header.Set("Content-Type", "application/json")
		w.mutex.Lock()
		defer w.mutex.Unlock()
		fmt.Fprintf(writer, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busySlots":false,"callSeq":0,"queueDepth":%d,"running":%d,"kvUsed":1000,"kvTotal":134354,"handles":0,"born":%d}`, w.waiting, w.running, w.startedAt.UnixMilli())
		return
	}
	id := request.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		header.Set("Instance", w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	w.mutex.Lock()
	full := w.running >= w.slots && w.waiting >= queueRoom
	if !full {
		w.waiting++
	}
	w.mutex.Unlock()
	if full {
		header.Set("Not-Run", "1")
		header.Set("Server-Load", w.load())
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	got := false
	select {
	case w.slot <- struct{}{}:
		got = true
	case <-request.Context().Done():
	}
	w.mutex.Lock()
	w.waiting--
	if got {
		w.running++
	}
	w.mutex.Unlock()
	if !got {
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	current := &run{id: id, began: time.Now(), from: last}
	w.mutex.Lock()
	w.runs = append(w.runs, current)
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		current.ended = time.Now()
		w.running--
		w.mutex.Unlock()
		<-w.slot
	}()
	header.Set("Server-Seal", w.id+"."+id)
	header.Set("Server-Load", w.load())
	header.Set("Weight-Versions", "1")
	if w.answer != nil && w.answer(writer, request, current) {
		return
	}
	if extra := takeExtra(request); extra != "" {
		w.streamAfterExtra(writer, request, current, extra)
		return
	}
	w.stream(writer, request, current)
}

func (w *worker) stream(writer http.ResponseWriter, request *http.Request, current *run) {
	writer.Header().Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
	count, _ := strconv.Atoi(out)
	flusher := writer.(http.Flusher)
	wait := w.prefill
	for number := current.from + 1; number <= count; number++ {
		select {
		case <-request.Context().Done():
			w.note(current, "dropped", number-1)
			return
		case <-time.After(wait):
		}
		wait = w.gap
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s-%d\n\n", number, current.id, number); err != nil {
			w.note(current, "broken", number-1)
			return
		}
		flusher.Flush()
	}
	w.note(current, "whole", count)
}

func (w *worker) note(current *run, outcome string, events int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	current.outcome, current.events, current.ended = outcome, events, time.Now()
}

// workerList is the platform's list of workers.
type workerList struct {
	address string
	workers []*worker
	mutex   sync.Mutex
	second  int64
	calls   int
	// down is set while the list does not answer.
	down atomic.Bool
}

func newWorkerList(address string, workers []*worker) (*workerList, error) {
	l := &workerList{address: address, workers: workers}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(l.serve)) }()
	return l, nil
}

func (l *workerList) serve(writer http.ResponseWriter, request *http.Request) {
	if l.down.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.mutex.Lock()
	if now := time.Now().Unix(); now != l.second {
		l.second, l.calls = now, 0
	}
	l.calls++
	over := l.calls > listPerS
	l.mutex.Unlock()
	if over {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	zone := request.URL.Query().Get("zone")
	first, _ := strconv.Atoi(request.URL.Query().Get("pageToken"))
	var rows []map[string]any
	for _, w := range l.workers {
		if time.Since(w.startedAt) < listLag || zone != "" && zone != w.zone {
			continue
		}
		rows = append(rows, map[string]any{"id": w.id, "service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "coldLeftMs": 0, "stage": "mixed", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}})
	}
	page := map[string]any{"instances": rows[min(first, len(rows)):min(first+pageRows, len(rows))], "nextToken": nil}
	if first+pageRows < len(rows) {
		page["nextToken"] = strconv.Itoa(first + pageRows)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}
