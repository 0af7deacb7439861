package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/httpheader"
)

// HostedWorker is a stand-in for a model worker of the users' platform: it
// answers with events and a seal, takes so many requests at once, and can be told
// to misbehave.
type HostedWorker struct {
	ID    string
	Slots int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// HeaderNames are the headers that it knows; those of the users' platform unless
	// they are set before the first request.
	HeaderNames *httpheader.Names
	// KeepID is set where the worker comes back under its ID after an end; it must be set
	// before the first request. Otherwise each life has another one.
	KeepID bool

	server *httptest.Server
	mutex  sync.Mutex
	// ends counts the times that the worker has ended, incarnation those that it has
	// come back; down is set in between.
	ends        int
	incarnation int
	// born is when the present life began.
	born    time.Time
	down    bool
	closed  bool
	running int
	seen    []HostedRequest
	behave  func(request *HostedRequest) HostedFault
	leaving bool
	left    int
}

// HostedRequest is a request as the worker got it.
type HostedRequest struct {
	ID          string
	Method      string
	Target      string
	Host        string
	Body        string
	LastEventID int
	Header      http.Header
}

// HostedFault says how the worker misbehaves at a request.
type HostedFault struct {
	// NotRun refuses it.
	NotRun bool
	// Status, where it is set, answers with it.
	Status int
	// BreakAfter, where it is set, breaks the connection after so many events.
	BreakAfter int
	// Hang sends nothing until the caller has left.
	Hang bool
	// ExitAfter, where it is set, ends the worker under the request after so long; Back is
	// after which time it is back at the same address.
	ExitAfter    time.Duration
	RestartAfter time.Duration
}

// NewHostedWorker starts a worker; Close ends it.
func NewHostedWorker(id string, slots int, pause time.Duration) *HostedWorker {
	w := &HostedWorker{ID: id, Slots: slots, EventInterval: pause, HeaderNames: platformNames(), born: time.Now()}
	w.server = httptest.NewServer(http.HandlerFunc(w.serve))
	return w
}

// platformNames are the names of the users' platform, as far as the stand-in
// knows them.
func platformNames() *httpheader.Names {
	return &httpheader.Names{
		RequestID:    "Request-Id",
		ExpectWorker: "Expect-Instance",
		NotRun:       "Not-Run",
		LastEvent:    "Last-Event-Id",
		Load:         "Server-Load",
		Tokens:       "Token-Count",
	}
}

// Close ends the worker for good.
func (w *HostedWorker) Close() {
	w.mutex.Lock()
	w.closed = true
	server := w.server
	w.mutex.Unlock()
	server.Close()
}

// Address returns the worker's IP:port.
func (w *HostedWorker) Address() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.server.Listener.Addr().String()
}

// InjectFaults sets how the worker misbehaves; nil means that it does not.
func (w *HostedWorker) InjectFaults(behave func(request *HostedRequest) HostedFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.behave = behave
}

// Drain lists the worker as draining.
func (w *HostedWorker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leaving = true
}

// Requests returns the requests that the worker ran.
func (w *HostedWorker) Requests() []HostedRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]HostedRequest(nil), w.seen...)
}

// Disconnects returns how many callers left before their answer was whole.
func (w *HostedWorker) Disconnects() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.left
}

func (w *HostedWorker) callerLeft() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.left++
}

// admit takes a request in and returns how the worker misbehaves at it.
func (w *HostedWorker) admit(request *HostedRequest) HostedFault {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fault := HostedFault{}
	if w.behave != nil {
		fault = w.behave(request)
	}
	if w.running >= w.Slots {
		fault.NotRun = true
	}
	if !fault.NotRun {
		w.running++
		w.seen = append(w.seen, *request)
	}
	return fault
}

func (w *HostedWorker) serve(writer http.ResponseWriter, httpRequest *http.Request) {
	if httpRequest.URL.Path == hostedReport {
		w.report(writer)
		return
	}
	header := httpRequest.Header
	writer.Header().Set(w.HeaderNames.RequestID, header.Get(w.HeaderNames.RequestID))
	if expected := header.Get(w.HeaderNames.ExpectWorker); expected != "" && expected != w.Incarnation() {
		writer.Header().Set("Instance", w.Incarnation())
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(httpRequest.Body)
	if err != nil {
		return
	}
	last, _ := strconv.Atoi(header.Get(w.HeaderNames.LastEvent))
	request := &HostedRequest{
		ID:          header.Get(w.HeaderNames.RequestID),
		Method:      httpRequest.Method,
		Target:      httpRequest.RequestURI,
		Host:        httpRequest.Host,
		Body:        string(body),
		LastEventID: last,
		Header:      header.Clone(),
	}
	fault := w.admit(request)
	if fault.NotRun {
		writer.Header().Set(w.HeaderNames.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	writer.Header().Set(w.HeaderNames.Load, w.load())
	writer.Header().Set("Server-Seal", w.ID+"."+request.ID)
	if fault.Status != 0 {
		writer.WriteHeader(fault.Status)
		return
	}
	if fault.ExitAfter > 0 {
		time.Sleep(fault.ExitAfter)
		w.end(fault.RestartAfter)
		panic(http.ErrAbortHandler)
	}
	if fault.Hang {
		<-httpRequest.Context().Done()
		w.callerLeft()
		return
	}
	w.stream(writer, httpRequest, request, fault)
}

// hostedReport is the path of what a worker says of itself.
const hostedReport = "/-/report"

// report tells when the present life began.
func (w *HostedWorker) report(writer http.ResponseWriter) {
	w.mutex.Lock()
	born := w.born.UnixMilli()
	w.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_, _ = fmt.Fprintf(writer, `{"stage":"mixed","running":0,"born":%d}`, born)
}

func (w *HostedWorker) release() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
}

// load returns what the worker tells of itself.
func (w *HostedWorker) load() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", w.running, w.Slots)
}

// HostedEvent returns the data of a request's event, so that a test can tell
// what the whole text must be.
func HostedEvent(id string, number int) string { return fmt.Sprintf("%s-%d", id, number) }

// stream sends the events after the last one that the caller has.
func (w *HostedWorker) stream(writer http.ResponseWriter, httpRequest *http.Request, request *HostedRequest, fault HostedFault) {
	writer.Header().Set("Content-Type", "text/event-stream")
	_, out, _ := strings.Cut(request.Header.Get(w.HeaderNames.Tokens), ",")
	count, _ := strconv.Atoi(out)
	flusher, _ := writer.(http.Flusher)
	for sent, number := 0, request.LastEventID+1; number <= count; number++ {
		select {
		case <-httpRequest.Context().Done():
			w.callerLeft()
			return
		case <-time.After(w.EventInterval):
		}
		if fault.BreakAfter > 0 && sent >= fault.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, HostedEvent(request.ID, number)); err != nil {
			return
		}
		if flusher != nil {
			flusher.Flush()
		}
		sent++
	}
}

// HostedList is a stand-in for the platform's list of workers, in pages.
type HostedList struct {
	server  *httptest.Server
	service string
	mutex   sync.Mutex
	workers []*HostedWorker
}

// NewHostedList starts a list of workers of one service; Close ends it.
func NewHostedList(service string, workers ...*HostedWorker) *HostedList {
	l := &HostedList{service: service, workers: workers}
	l.server = httptest.NewServer(http.HandlerFunc(l.serve))
	return l
}

// Close ends the list.
func (l *HostedList) Close() { l.server.Close() }

// Address returns the list's IP:port.
func (l *HostedList) Address() string { return l.server.Listener.Addr().String() }

// hostedPageRows is how many rows a page has: few, so that there are several.
const hostedPageRows = 2

// hostedRow is one row of the list.
type hostedRow struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// hostedPage is one answer of the list.
type hostedPage struct {
	Instances []hostedRow `json:"instances"`
	NextToken *string     `json:"nextToken"`
}

func (l *HostedList) serve(writer http.ResponseWriter, request *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first, _ := strconv.Atoi(request.URL.Query().Get("pageToken"))
	page := hostedPage{Instances: []hostedRow{}}
	for i := first; i < len(l.workers) && i < first+hostedPageRows; i++ {
		worker := l.workers[i]
		worker.mutex.Lock()
		state := "ready"
		if worker.leaving {
			state = "draining"
		}
		worker.mutex.Unlock()
		page.Instances = append(page.Instances, hostedRow{ID: worker.Incarnation(), Service: l.service, Address: worker.Address(), Zone: "zone-a", Slots: worker.Slots, State: state})
	}
	if next := first + hostedPageRows; next < len(l.workers) {
		token := strconv.Itoa(next)
		page.NextToken = &token
	}
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(writer).Encode(page)
}
