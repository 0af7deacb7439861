package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/rpc"
)

// Paths of the emulator's own controls, which a real engine does not have.
const (
	PathFaults   = "/emulator/faults"
	PathCounters = "/emulator/counters"
)

const maxRequestBytes = 16 << 20

// Register adds the engine's handlers to a router.
func (e *Engine) Register(router rpc.Router) {
	router.HandleFunc(engine.PathGenerate, e.waitWhileFrozen(e.handleGenerate))
	router.HandleFunc(engine.PathStreams, e.waitWhileFrozen(e.handleResume))
	router.HandleFunc(engine.PathCancel, e.waitWhileFrozen(e.handleCancel))
	router.HandleFunc(engine.PathLoad, e.waitWhileFrozen(e.handleLoad))
	router.HandleFunc(engine.PathOrders, e.waitWhileFrozen(e.handleOrder))
	router.HandleFunc(engine.PathEvents, e.waitWhileFrozen(e.handleEvents))
	router.HandleFunc(engine.PathCache, e.waitWhileFrozen(e.handleCache))
	router.HandleFunc(PathFaults, e.handleFaults)
	router.HandleFunc(PathCounters, e.handleCounters)
}

// waitWhileFrozen delays each call until the engine is not frozen.
func (e *Engine) waitWhileFrozen(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		for e.faults.get().Frozen {
			select {
			case <-request.Context().Done():
				return
			case <-time.After(housekeepingInterval):
			}
		}
		handler(writer, request)
	}
}

func (e *Engine) handleGenerate(writer http.ResponseWriter, request *http.Request) {
	var body engine.GenerateRequest
	if !readJSON(writer, request, &body) {
		return
	}
	started, rejection := e.start(&body)
	if rejection != nil {
		writeError(writer, rejection)
		return
	}
	if e.options.ExitOnPrompt != "" && strings.Contains(body.Prompt, e.options.ExitOnPrompt) {
		e.options.OnExit()
		panic(http.ErrAbortHandler)
	}
	e.stream(writer, request, started, body.ContinueTokens)
}

func (e *Engine) handleResume(writer http.ResponseWriter, request *http.Request) {
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(writer, newError(engine.CodeInvalid, "offset must be a number"))
		return
	}
	e.mutex.Lock()
	found := e.attempts[request.URL.Query().Get("attempt_id")]
	e.mutex.Unlock()
	if found == nil {
		writeError(writer, newError(engine.CodeUnknownAttempt, "the attempt is not known"))
		return
	}
	e.stream(writer, request, found, offset)
}

// stream sends an attempt's events from the offset on until the attempt ends or the caller
// disconnects.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, source *attempt, offset int) {
	source.addReaders(1, time.Now())
	defer func() { source.addReaders(-1, time.Now()) }()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	sender := &eventSender{writer: writer, faults: e.faults}
	sender.flush()
	for {
		event, wait := source.next(offset)
		if event == nil {
			select {
			case <-wait:
				continue
			case <-request.Context().Done():
				return
			}
		}
		if !sender.send(event) || event.Type != engine.EventTokens {
			return
		}
		offset += event.Tokens
	}
}

func (e *Engine) handleCancel(writer http.ResponseWriter, request *http.Request) {
	var body engine.CancelRequest
	if readJSON(writer, request, &body) {
		e.cancel(body.AttemptID)
		writeJSON(writer, struct{}{})
	}
}

func (e *Engine) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, e.Load(time.Now()))
}

func (e *Engine) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var body engine.Order
	if !readJSON(writer, request, &body) {
		return
	}
	if rejection := e.executeOrder(&body); rejection != nil {
		writeError(writer, rejection)
		return
	}
	writeJSON(writer, struct{}{})
}

func (e *Engine) handleEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(writer, newError(engine.CodeInvalid, "after must be a number"))
		return
	}
	now := time.Now()
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: after}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, candidate := range e.events {
		if candidate.event.Sequence <= after || now.Sub(candidate.at) < e.options.EventLag {
			continue
		}
		page.Events = append(page.Events, candidate.event)
		page.Next = candidate.event.Sequence
	}
	writeJSON(writer, page)
}

// handleCache exports (GET) or imports (POST) the blocks of the prefix cache.
func (e *Engine) handleCache(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		var body engine.CacheEntry
		if readJSON(writer, request, &body) {
			e.mutex.Lock()
			e.model.cache.insert(body.Blocks)
			e.mutex.Unlock()
			writeJSON(writer, struct{}{})
		}
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entry := engine.CacheEntry{Blocks: []uint64{}}
	if found := e.attempts[request.URL.Query().Get("attempt_id")]; found != nil {
		cached := e.model.cache.match(found.sequence.blocks)
		entry.Blocks = found.sequence.blocks[:cached]
	}
	writeJSON(writer, entry)
}

func (e *Engine) handleFaults(writer http.ResponseWriter, request *http.Request) {
	var body Faults
	if readJSON(writer, request, &body) {
		e.SetFaults(body)
		writeJSON(writer, struct{}{})
	}
}

func (e *Engine) handleCounters(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, e.Counters())
}

func readJSON(writer http.ResponseWriter, request *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestBytes))
	if err := decoder.Decode(target); err != nil {
		writeError(writer, newError(engine.CodeInvalid, err.Error()))
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the client disconnected.
	_ = json.NewEncoder(writer).Encode(value)
}

func writeError(writer http.ResponseWriter, body *engine.ErrorBody) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(writer).Encode(body)
}

// eventSender writes server-sent events and injects faults.
type eventSender struct {
	writer http.ResponseWriter
	faults *faultInjector
}

func (s *eventSender) flush() {
	if flusher, ok := s.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// send writes an event and reports whether the stream continues.
func (s *eventSender) send(event *engine.Event) bool {
	if s.faults.occurs(func(f *Faults) float64 { return f.Disconnected }) {
		panic(http.ErrAbortHandler)
	}
	if s.faults.occurs(func(f *Faults) float64 { return f.Delayed }) {
		faults := s.faults.get()
		time.Sleep(faults.delay())
	}
	if s.faults.occurs(func(f *Faults) float64 { return f.Misrouted }) {
		misrouted := *event
		misrouted.AttemptID = "another-attempt"
		misrouted.Text = "crossed "
		s.write(&misrouted)
	}
	duplicate := s.faults.occurs(func(f *Faults) float64 { return f.Duplicated })
	if duplicate {
		s.write(event)
	}
	return s.write(event)
}

func (s *eventSender) write(event *engine.Event) bool {
	encoded, err := json.Marshal(event)
	if err != nil {
		return false
	}
	if _, err := s.writer.Write([]byte("data: " + string(encoded) + "\n\n")); err != nil {
		return false
	}
	s.flush()
	return true
}
