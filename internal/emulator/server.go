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

// Paths of the emulator's own switches, which no real engine has.
const (
	PathFaults   = "/emulator/faults"
	PathCounters = "/emulator/counters"
)

const maxRequestBytes = 16 << 20

// Register adds the engine's protocol to a server.
func (e *Engine) Register(router rpc.Router) {
	router.HandleFunc(engine.PathGenerate, e.unfrozen(e.handleGenerate))
	router.HandleFunc(engine.PathStreams, e.unfrozen(e.handleResume))
	router.HandleFunc(engine.PathCancel, e.unfrozen(e.handleCancel))
	router.HandleFunc(engine.PathLoad, e.unfrozen(e.handleLoad))
	router.HandleFunc(engine.PathOrders, e.unfrozen(e.handleOrder))
	router.HandleFunc(engine.PathEvents, e.unfrozen(e.handleEvents))
	router.HandleFunc(engine.PathCache, e.unfrozen(e.handleCache))
	router.HandleFunc(PathFaults, e.handleFaults)
	router.HandleFunc(PathCounters, e.handleCounters)
}

// unfrozen holds a call for as long as the engine is frozen.
func (e *Engine) unfrozen(handler http.HandlerFunc) http.HandlerFunc {
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
	started, refusal := e.start(&body)
	if refusal != nil {
		writeRefusal(writer, refusal)
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
		writeRefusal(writer, refuse(engine.CodeInvalid, "offset must be a number"))
		return
	}
	e.mutex.Lock()
	found := e.attempts[request.URL.Query().Get("attempt_id")]
	e.mutex.Unlock()
	if found == nil {
		writeRefusal(writer, refuse(engine.CodeUnknownAttempt, "the attempt is not known"))
		return
	}
	e.stream(writer, request, found, offset)
}

// stream sends an attempt's events from the offset until its end.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, from *attempt, offset int) {
	from.addReader(1, time.Now())
	defer func() { from.addReader(-1, time.Now()) }()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	sender := &eventSender{writer: writer, faults: e.faults}
	sender.flush()
	for {
		event, wait := from.next(offset)
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
	if refusal := e.order(&body); refusal != nil {
		writeRefusal(writer, refusal)
		return
	}
	writeJSON(writer, struct{}{})
}

func (e *Engine) handleEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeRefusal(writer, refuse(engine.CodeInvalid, "after must be a number"))
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
		writeRefusal(writer, refuse(engine.CodeInvalid, err.Error()))
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone.
	_ = json.NewEncoder(writer).Encode(value)
}

func writeRefusal(writer http.ResponseWriter, refusal *engine.ErrorBody) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(writer).Encode(refusal)
}

// eventSender writes server-sent events, with faults.
type eventSender struct {
	writer http.ResponseWriter
	faults *faultSource
}

func (s *eventSender) flush() {
	if flusher, ok := s.writer.(http.Flusher); ok {
		flusher.Flush()
	}
}

// send writes an event and reports whether the stream goes on.
func (s *eventSender) send(event *engine.Event) bool {
	if s.faults.strikes(func(f *Faults) float64 { return f.Disconnected }) {
		panic(http.ErrAbortHandler)
	}
	if s.faults.strikes(func(f *Faults) float64 { return f.Delayed }) {
		faults := s.faults.get()
		time.Sleep(faults.lateBy())
	}
	if s.faults.strikes(func(f *Faults) float64 { return f.Misrouted }) {
		crossed := *event
		crossed.AttemptID = "another-attempt"
		crossed.Text = "crossed "
		s.write(&crossed)
	}
	repeat := s.faults.strikes(func(f *Faults) float64 { return f.Duplicated })
	if repeat {
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
