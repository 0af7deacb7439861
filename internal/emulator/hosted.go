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

// HostedWorker emulates a model worker of the users' platform. It answers with a stream of events
// and a seal header, runs up to Slots requests at once, and injects faults on demand.
type HostedWorker struct {
	ID    string
	Slots int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// HeaderNames are the names of the headers that the worker reads and sends, by default the names
	// on the users' platform. Set them before the first request.
	HeaderNames *httpheader.Names
	// KeepID makes the worker keep its ID when it restarts; set it before the first request.
	// Otherwise each incarnation has its own id.
	KeepID bool
	// HideStartTime makes the worker's report leave out its start time; set it before the first request.
	HideStartTime bool
	// Version is the version of the worker's software, which its list entry and its events tell. It
	// changes only with a restart.
	Version string

	server *httptest.Server
	mutex  sync.Mutex
	// exits is the number of the worker's exits. incarnation is the number of its restarts. down is
	// set between an exit and the restart.
	exits       int
	incarnation int
	// nextVersion is the version after the next restart, empty for the same.
	nextVersion string
	// startedAt is when the current incarnation started.
	startedAt time.Time
	down      bool
	closed    bool
	running   int
	requests  []HostedRequest
	// faultFor chooses the fault of a request; nil injects none. faultsBeforeBody is set if it does so
	// before the request's body is read.
	faultFor         func(request *HostedRequest) HostedFault
	faultsBeforeBody bool
	draining         bool
	disconnects      int
	// endlessAnswers counts answers without end, maxEndless is the most bytes that one of them had.
	endlessAnswers int
	maxEndless     int
	// brokenAnswers counts broken answers.
	brokenAnswers int
}

// HostedRequest is a request as the worker received it.
type HostedRequest struct {
	ID          string
	Method      string
	Target      string
	Host        string
	Body        string
	LastEventID int
	Header      http.Header
	// ArrivedAt is when the worker had read the request.
	ArrivedAt time.Time
}

// HostedFault is the fault that the worker injects into a request. The zero value is none.
type HostedFault struct {
	// NotRun rejects the request without running it.
	NotRun bool
	// RunFor is how long the worker runs the request before it answers.
	RunFor time.Duration
	// Status, if not 0, is the status of the answer, which then has no body. Marked adds the header that
	// states that it did not run the request.
	Status int
	Marked bool
	// BreakAfter, if not 0, is the number of events after which the connection is closed.
	BreakAfter int
	// Hang sends nothing until the caller disconnects.
	Hang bool
	// ExitAfter, if not 0, makes the worker exit this long after it has sent ExitEvents events of the
	// answer. With 0 events it sends no headers either, unless ExitHeaders is set. RestartAfter is the
	// time from the exit to the restart at the same address.
	ExitAfter    time.Duration
	ExitEvents   int
	ExitHeaders  bool
	RestartAfter time.Duration
	// Framing says how the end of the answer is marked.
	Framing Framing
	// Endless, if not empty, is sent in place of the answer. Trickle sends it slowly, byte by byte.
	Endless Endless
	Trickle bool
	// Broken, if not empty, is sent in place of the answer. The connection is closed RunFor later. A form
	// that comes during the upload needs InjectFaultsBeforeBody.
	Broken Broken
}

// Framing says how a caller knows where an answer ends.
type Framing uint8

const (
	// FramingChunks sends the answer in chunks.
	FramingChunks Framing = iota
	// FramingLength announces the length of the answer.
	FramingLength
	// FramingNone ends the answer with its connection.
	FramingNone
)

// HostedVersion is the software version of a new worker.
const HostedVersion = "v1"

// NewHostedWorker starts a worker that sends an event every eventInterval. Close stops it.
func NewHostedWorker(id string, slots int, eventInterval time.Duration) *HostedWorker {
	w := &HostedWorker{ID: id, Slots: slots, EventInterval: eventInterval, HeaderNames: platformHeaderNames(), Version: HostedVersion, startedAt: time.Now()}
	w.server = httptest.NewServer(http.HandlerFunc(w.serve))
	return w
}

// platformHeaderNames returns the header names of the users' platform that the emulator uses.
func platformHeaderNames() *httpheader.Names {
	return &httpheader.Names{
		RequestID:    "Request-Id",
		ExpectWorker: "Expect-Instance",
		NotRun:       "Not-Run",
		LastEvent:    "Last-Event-Id",
		Resumes:      "Resumes",
		Load:         "Server-Load",
		PromptParts:  "Prompt-Prefix",
		Tokens:       "Token-Count",
		WorkerID:     "Instance",
	}
}

// Close stops the worker. It does not restart.
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

// InjectFaults sets the function that chooses the fault of each request; nil injects none.
func (w *HostedWorker) InjectFaults(faultFor func(request *HostedRequest) HostedFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faultFor, w.faultsBeforeBody = faultFor, false
}

// InjectFaultsBeforeBody is InjectFaults with a function that gets each request before its body is read.
func (w *HostedWorker) InjectFaultsBeforeBody(faultFor func(request *HostedRequest) HostedFault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faultFor, w.faultsBeforeBody = faultFor, true
}

func (w *HostedWorker) choosesBeforeBody() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faultsBeforeBody
}

// Drain makes HostedList report the worker as draining until it restarts.
func (w *HostedWorker) Drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = true
}

// Requests returns the requests that the worker ran.
func (w *HostedWorker) Requests() []HostedRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]HostedRequest(nil), w.requests...)
}

// Disconnects returns the number of callers that disconnected before their answer was complete.
func (w *HostedWorker) Disconnects() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.disconnects
}

func (w *HostedWorker) recordDisconnect() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.disconnects++
}

// admit chooses the fault of a request. Unless the request is rejected, admit also records it and
// takes a slot.
func (w *HostedWorker) admit(request *HostedRequest) HostedFault {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.running >= w.Slots {
		return HostedFault{NotRun: true}
	}
	fault := HostedFault{}
	if w.faultFor != nil {
		fault = w.faultFor(request)
	}
	if !fault.NotRun {
		w.running++
		if fault.Endless != EndlessRejection {
			w.requests = append(w.requests, *request)
		}
	}
	return fault
}

func (w *HostedWorker) serve(writer http.ResponseWriter, httpRequest *http.Request) {
	if httpRequest.URL.Path == hostedReportPath {
		w.serveReport(writer)
		return
	}
	if httpRequest.URL.Path == hostedHealthPath {
		w.serveHealth(writer)
		return
	}
	header := httpRequest.Header
	writer.Header().Set(w.HeaderNames.RequestID, header.Get(w.HeaderNames.RequestID))
	if expected := header.Get(w.HeaderNames.ExpectWorker); expected != "" && expected != w.Incarnation() {
		writer.Header().Set("Instance", w.Incarnation())
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	lastEventID, _ := strconv.Atoi(header.Get(w.HeaderNames.LastEvent))
	request := &HostedRequest{
		ID:          header.Get(w.HeaderNames.RequestID),
		Method:      httpRequest.Method,
		Target:      httpRequest.RequestURI,
		Host:        httpRequest.Host,
		LastEventID: lastEventID,
		Header:      header.Clone(),
		ArrivedAt:   time.Now(),
	}
	beforeBody := w.choosesBeforeBody()
	if !beforeBody && request.readBody(httpRequest.Body) != nil {
		return
	}
	fault := w.admit(request)
	if fault.NotRun {
		writer.Header().Set(w.HeaderNames.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	if beforeBody && !fault.Broken.DuringUpload() && request.readBody(httpRequest.Body) != nil {
		return
	}
	if fault.Broken != "" {
		w.sendBroken(writer, request.ID, &fault)
		return
	}
	writer.Header().Set(w.HeaderNames.Load, w.loadHeader())
	writer.Header().Set("Server-Seal", w.ID+"."+request.ID)
	if fault.Status != 0 {
		time.Sleep(fault.RunFor)
		if fault.Marked {
			writer.Header().Set(w.HeaderNames.NotRun, "1")
		}
		writer.WriteHeader(fault.Status)
		return
	}
	if fault.ExitAfter > 0 && fault.ExitEvents == 0 && !fault.ExitHeaders {
		w.exitDuringRequest(&fault)
	}
	if fault.Endless != "" {
		w.sendEndless(writer, request.ID, &fault)
		return
	}
	if fault.Hang {
		<-httpRequest.Context().Done()
		w.recordDisconnect()
		return
	}
	w.stream(writer, httpRequest, request, fault)
}

// hostedHealthPath is the path at which a worker says whether it takes requests.
const hostedHealthPath = "/healthz"

// serveHealth answers 200 with the worker's incarnation, or 503 if the worker is draining.
func (w *HostedWorker) serveHealth(writer http.ResponseWriter) {
	writer.Header().Set("Instance", w.Incarnation())
	w.mutex.Lock()
	draining := w.draining
	w.mutex.Unlock()
	if draining {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// hostedReportPath is the path of a worker's report on itself.
const hostedReportPath = "/-/report"

// serveReport answers with the start time of the current incarnation.
func (w *HostedWorker) serveReport(writer http.ResponseWriter) {
	w.mutex.Lock()
	startedAt := w.startedAt.UnixMilli()
	w.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	born := fmt.Sprintf(`,"born":%d`, startedAt)
	if w.HideStartTime {
		born = ""
	}
	// A failed write means that the caller disconnected.
	_, _ = fmt.Fprintf(writer, `{"stage":"mixed","running":0%s}`, born)
}

func (w *HostedWorker) release() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
}

// loadHeader returns the value of the header Load: running requests, waiting requests and slots.
func (w *HostedWorker) loadHeader() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", w.running, w.Slots)
}

// HostedEvent returns the data of a request's event at a worker of the version, from which a test
// computes the expected text.
func HostedEvent(version, id string, number int) string {
	return fmt.Sprintf("%s-%d@%s", id, number, version)
}

// stream sends the events that follow the last one that the caller received.
func (w *HostedWorker) stream(writer http.ResponseWriter, httpRequest *http.Request, request *HostedRequest, fault HostedFault) {
	writer.Header().Set("Content-Type", "text/event-stream")
	_, outputTokens, _ := strings.Cut(request.Header.Get(w.HeaderNames.Tokens), ",")
	count, _ := strconv.Atoi(outputTokens)
	version := w.version()
	fault.Framing.setHeader(writer.Header(), eventsBytes(version, request.ID, request.LastEventID+1, count))
	flusher, _ := writer.(http.Flusher)
	select {
	case <-httpRequest.Context().Done():
		w.recordDisconnect()
		return
	case <-time.After(fault.RunFor):
	}
	if fault.ExitAfter > 0 && fault.ExitHeaders {
		flusher.Flush()
		w.exitDuringRequest(&fault)
	}
	for sent, number := 0, request.LastEventID+1; number <= count; number++ {
		select {
		case <-httpRequest.Context().Done():
			w.recordDisconnect()
			return
		case <-time.After(w.EventInterval):
		}
		if fault.BreakAfter > 0 && sent >= fault.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(writer, hostedEventText(version, request.ID, number)); err != nil {
			return
		}
		if flusher != nil {
			flusher.Flush()
		}
		sent++
		if fault.ExitAfter > 0 && sent >= fault.ExitEvents {
			w.exitDuringRequest(&fault)
		}
	}
}

// exitDuringRequest makes the worker exit while it handles a request.
func (w *HostedWorker) exitDuringRequest(fault *HostedFault) {
	time.Sleep(fault.ExitAfter)
	w.exit(fault.RestartAfter)
	panic(http.ErrAbortHandler)
}

// hostedEventText returns an event as it is sent.
func hostedEventText(version, id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, HostedEvent(version, id, number))
}

// eventsBytes returns the length in bytes of the events from first to last.
func eventsBytes(version, id string, first, last int) int {
	total := 0
	for number := first; number <= last; number++ {
		total += len(hostedEventText(version, id, number))
	}
	return total
}

// setHeader sets the headers that announce how the end of an answer of the given length is marked.
func (f Framing) setHeader(header http.Header, length int) {
	switch f {
	case FramingLength:
		header.Set("Content-Length", strconv.Itoa(length))
	case FramingNone:
		// net/http then sends neither a length nor chunks, and closes the connection at the end.
		header.Set("Transfer-Encoding", "identity")
	}
}

// HostedList emulates the platform's paginated worker list.
type HostedList struct {
	server  *httptest.Server
	service string
	mutex   sync.Mutex
	workers []*HostedWorker
	// pageDelay is the time that each page takes.
	pageDelay time.Duration
}

// NewHostedList starts a list of the workers of one service. Close stops it.
func NewHostedList(service string, workers ...*HostedWorker) *HostedList {
	l := &HostedList{service: service, workers: workers}
	l.server = httptest.NewServer(http.HandlerFunc(l.serve))
	return l
}

// Close stops the list.
func (l *HostedList) Close() { l.server.Close() }

// SetPageDelay sets the time that each page takes.
func (l *HostedList) SetPageDelay(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pageDelay = delay
}

// Address returns the list's IP:port.
func (l *HostedList) Address() string { return l.server.Listener.Addr().String() }

// hostedPageRows is the number of rows of a page. It is small so that a list has several pages.
const hostedPageRows = 2

// hostedRow is one row of the list.
type hostedRow struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Version string `json:"version"`
}

// hostedPage is one page of the list.
type hostedPage struct {
	Instances []hostedRow `json:"instances"`
	NextToken *string     `json:"nextToken"`
}

func (l *HostedList) serve(writer http.ResponseWriter, request *http.Request) {
	l.mutex.Lock()
	delay := l.pageDelay
	l.mutex.Unlock()
	time.Sleep(delay)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first, _ := strconv.Atoi(request.URL.Query().Get("pageToken"))
	page := hostedPage{Instances: []hostedRow{}}
	for i := first; i < len(l.workers) && i < first+hostedPageRows; i++ {
		worker := l.workers[i]
		worker.mutex.Lock()
		state := "ready"
		if worker.draining {
			state = "draining"
		}
		worker.mutex.Unlock()
		page.Instances = append(page.Instances, hostedRow{ID: worker.Incarnation(), Service: l.service, Address: worker.Address(), Zone: "zone-a", Slots: worker.Slots, State: state, Version: worker.version()})
	}
	if next := first + hostedPageRows; next < len(l.workers) {
		token := strconv.Itoa(next)
		page.NextToken = &token
	}
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(writer).Encode(page)
}
