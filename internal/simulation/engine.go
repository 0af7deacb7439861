package simulation

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/membership"
)

const (
	engineSlots     = 4
	engineKVTokens  = 4096
	loadLag         = 500 * time.Millisecond
	platformLag     = time.Second
	maxEventDelay   = 2 * time.Second
	disconnectDelay = 100 * time.Millisecond
)

// engineProcess is a simulated worker: the emulator's model of continuous batching behind the
// engine protocol, with faults that delay, misroute and duplicate events.
type engineProcess struct {
	process
	world        *World
	incarnation  uint64
	model        *emulator.Model
	fencingEpoch uint64
	leaving      bool
	stepping     bool
	attempts     map[string]*engineAttempt
	attemptIDs   []string
	loadReports  []timedLoad
	// delayedUntil is the moment until which events are delayed. Until misroutedUntil, events are
	// mixed with those of other attempts. Until duplicatedUntil, events are sent twice.
	delayedUntil    time.Time
	misroutedUntil  time.Time
	duplicatedUntil time.Time
	// onlineBlockedSince is when online work began to wait while batch work ran. It is zero if no
	// online work waits or no batch work runs.
	onlineBlockedSince time.Time
}

// engineAttempt is one attempt with the tokens that it has generated.
type engineAttempt struct {
	id          string
	online      bool
	firstOffset int
	tokens      []string
	finished    bool
	cancelled   bool
	reader      *engineReader
}

// engineReader is the stream of one attempt's events to a dispatcher.
type engineReader struct {
	connection *connection
	nextOffset int
	deliver    func(*engine.Event, error)
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

func (w *World) addEngine(number int) {
	e := &engineProcess{process: process{name: engineName(number), zone: number % w.profile.Zones}, world: w}
	w.engines = append(w.engines, e)
	w.enginesByName[e.name] = e
	e.start()
}

func engineName(number int) string { return fmt.Sprintf("e%d", number) }

func (w *World) engineByName(name string) *engineProcess { return w.enginesByName[name] }

// capacity returns the capacity of the profile's engines.
func (p *Profile) capacity() emulator.Capacity {
	if p.Engine != nil {
		return *p.Engine
	}
	return emulator.Capacity{
		Slots:         engineSlots,
		KVTokens:      engineKVTokens,
		CacheBlocks:   64,
		PrefillTokens: 512,
		StepBase:      p.EngineStep,
	}
}

func (e *engineProcess) start() {
	e.alive = true
	e.generation++
	e.incarnation++
	e.fencingEpoch, e.leaving, e.stepping = 0, false, false
	e.attempts, e.attemptIDs, e.loadReports = map[string]*engineAttempt{}, nil, nil
	e.onlineBlockedSince = time.Time{}
	e.model = emulator.NewModel(e.world.profile.capacity())
	e.world.every(&e.process, loadLag/2, e.recordLoad)
}

// recordLoad records a load report, which load returns once it is loadLag old.
func (e *engineProcess) recordLoad() {
	e.loadReports = append(e.loadReports, timedLoad{at: e.world.clock.now, load: engine.Load{
		Worker:      e.name,
		Incarnation: e.incarnation,
		Epoch:       e.fencingEpoch,
		Leaving:     e.leaving,
		Slots:       e.world.profile.capacity().Slots,
		Running:     e.model.Running(),
		Waiting:     e.model.Waiting(),
		KVTokens:    e.world.profile.capacity().KVTokens,
		Models:      []string{simulatedModel},
	}})
	if len(e.loadReports) > 8 {
		e.loadReports = e.loadReports[1:]
	}
}

// load returns the newest load report that is at least loadLag old.
func (e *engineProcess) load() engine.Load {
	var newest engine.Load
	for _, report := range e.loadReports {
		if e.world.clock.now.Sub(report.at) >= loadLag {
			newest = report.load
		}
	}
	return newest
}

// claim makes a dispatcher the owner of the worker, unless a later epoch has claimed it.
func (e *engineProcess) claim(newEpoch uint64) bool {
	if newEpoch < e.fencingEpoch && e.world.mutation != MutationNoFencing {
		return false
	}
	e.world.ledger.workerClaimed(e, newEpoch)
	e.fencingEpoch = max(e.fencingEpoch, newEpoch)
	return true
}

// generate starts an attempt and streams it to the reader. It returns the code of the rejection if
// the attempt is not started.
func (e *engineProcess) generate(request *engine.GenerateRequest, reader *engineReader) string {
	switch {
	case request.Epoch < e.fencingEpoch && e.world.mutation != MutationNoFencing:
		return engine.CodeStaleEpoch
	case e.leaving:
		return engine.CodeLeaving
	case e.attempts[request.AttemptID] != nil:
		return engine.CodeDuplicateAttempt
	}
	e.world.ledger.attemptStarted(e, request)
	e.fencingEpoch = max(e.fencingEpoch, request.Epoch)
	e.model.Add(emulator.NewSequence(request))
	e.attempts[request.AttemptID] = &engineAttempt{
		id:          request.AttemptID,
		online:      request.Priority >= engine.PriorityOnline,
		firstOffset: request.ContinueTokens,
		reader:      reader,
	}
	e.attemptIDs = append(e.attemptIDs, request.AttemptID)
	reader.nextOffset = request.ContinueTokens
	if !e.stepping {
		e.step()
	}
	return ""
}

// resume streams an attempt from an offset. It returns false if the engine can't resume it there.
func (e *engineProcess) resume(id string, offset int, reader *engineReader) bool {
	attempt := e.attempts[id]
	if attempt == nil || attempt.cancelled || offset < attempt.firstOffset {
		return false
	}
	reader.nextOffset = offset
	attempt.reader = reader
	e.sendPending(attempt)
	return true
}

// cancel stops an attempt and its stream.
func (e *engineProcess) cancel(id string) {
	e.model.Remove(id)
	if attempt := e.attempts[id]; attempt != nil && !attempt.finished {
		attempt.cancelled = true
		attempt.reader = nil
	}
}

// step runs steps of the model one after another while it has work.
func (e *engineProcess) step() {
	e.stepping = !e.model.Idle()
	if !e.stepping {
		return
	}
	outputs, duration := e.model.Step()
	e.evictEnded()
	e.checkBlocking()
	e.world.timer(&e.process, duration, func() {
		for _, output := range outputs {
			attempt := e.attempts[output.Sequence.ID]
			if attempt == nil {
				// The attempt was cancelled during the step and has been evicted since.
				continue
			}
			if output.Ended {
				attempt.finished = true
			} else {
				attempt.tokens = append(attempt.tokens, output.Text)
				e.world.recordToken(attempt.online)
			}
			e.sendPending(attempt)
		}
		e.step()
	})
}

// retainedAttempts is how many of its newest attempts an engine always keeps. Older attempts that
// have ended and have no reader are evicted, so that their streams can't be resumed any more.
const retainedAttempts = 512

// evictEnded evicts old attempts that have ended and have no reader.
func (e *engineProcess) evictEnded() {
	if len(e.attemptIDs) < 2*retainedAttempts {
		return
	}
	kept := e.attemptIDs[:0]
	for index, id := range e.attemptIDs {
		attempt := e.attempts[id]
		if index < retainedAttempts && (attempt.finished || attempt.cancelled) && attempt.reader == nil {
			delete(e.attempts, id)
			continue
		}
		kept = append(kept, id)
	}
	e.attemptIDs = kept
}

// checkBlocking measures how long online work waits while batch work runs, and reports it and the
// active batch attempts to the ledger.
func (e *engineProcess) checkBlocking() {
	waitingOnline, runningBatch := 0, 0
	for _, id := range e.attemptIDs {
		attempt := e.attempts[id]
		if attempt.finished || attempt.cancelled {
			continue
		}
		if attempt.online && len(attempt.tokens) == 0 {
			waitingOnline++
		}
		if !attempt.online {
			runningBatch++
			e.world.ledger.checkBatchAttempt(id)
		}
	}
	if e.model.Waiting() == 0 || waitingOnline == 0 || runningBatch == 0 {
		e.onlineBlockedSince = time.Time{}
		return
	}
	if e.onlineBlockedSince.IsZero() {
		e.onlineBlockedSince = e.world.clock.now
	}
	e.world.ledger.checkBlocked(e, e.world.clock.now.Sub(e.onlineBlockedSince))
}

// sendPending sends the attempt's reader the events that it has not got yet.
func (e *engineProcess) sendPending(attempt *engineAttempt) {
	reader := attempt.reader
	if reader == nil {
		return
	}
	for reader.nextOffset < attempt.firstOffset+len(attempt.tokens) {
		offset := reader.nextOffset
		reader.nextOffset++
		e.deliver(reader, &engine.Event{Type: engine.EventTokens, AttemptID: attempt.id, Offset: offset, Tokens: 1, Text: attempt.tokens[offset-attempt.firstOffset]})
	}
	if attempt.finished {
		e.deliver(reader, &engine.Event{Type: engine.EventEnd, AttemptID: attempt.id, Offset: reader.nextOffset, FinishReason: "stop"})
		attempt.reader = nil
	}
}

// deliver sends one event and applies the faults that are active.
func (e *engineProcess) deliver(reader *engineReader, event *engine.Event) {
	w, now := e.world, e.world.clock.now
	if now.Before(e.misroutedUntil) && w.random.IntN(2) == 0 && len(e.attemptIDs) > 1 {
		other := e.attempts[e.attemptIDs[w.random.IntN(len(e.attemptIDs))]]
		if len(other.tokens) > 0 && other.id != event.AttemptID {
			w.faults.record("answers_crossed")
			reader.send(&engine.Event{Type: engine.EventTokens, AttemptID: other.id, Offset: event.Offset, Tokens: 1, Text: other.tokens[0]})
		}
	}
	if now.Before(e.delayedUntil) && w.random.IntN(8) == 0 {
		w.faults.record("answers_late")
		reader.connection.delayUntil(now.Add(time.Duration(w.random.Int64N(int64(maxEventDelay)))))
	}
	reader.send(event)
	if now.Before(e.duplicatedUntil) && w.random.IntN(3) == 0 {
		w.faults.record("answers_twice")
		reader.send(event)
	}
}

func (r *engineReader) send(event *engine.Event) {
	r.connection.send(func() { r.deliver(event, nil) })
}

// breakStreams ends the streams of an engine as if its connections broke.
func (e *engineProcess) breakStreams() {
	for _, id := range e.attemptIDs {
		attempt := e.attempts[id]
		if reader := attempt.reader; reader != nil {
			attempt.reader = nil
			w := e.world
			w.clock.after(disconnectDelay, func() {
				w.enter(reader.connection.to, reader.connection.toGeneration, func() { reader.deliver(nil, errStreamCut) })
			})
		}
	}
}

// platformProcess is the platform that lists the workers, with a lag.
type platformProcess struct {
	process
	world  *World
	states []timedList
	// inconsistentUntil is the moment until which the list alternates between newer and older
	// states.
	inconsistentUntil time.Time
}

type timedList struct {
	at   time.Time
	rows []membership.ListedWorker
}

func (w *World) addPlatform() {
	w.platform = &platformProcess{process: process{name: "platform", alive: true}, world: w}
	w.every(&w.platform.process, platformLag/4, w.platform.recordState)
}

// recordState records the list of workers as it is now.
func (p *platformProcess) recordState() {
	var rows []membership.ListedWorker
	for _, e := range p.world.engines {
		if e.alive {
			rows = append(rows, membership.ListedWorker{ID: e.name, Address: e.name, Zone: zoneName(e.zone), Incarnation: e.incarnation, Leaving: e.leaving})
		}
	}
	p.states = append(p.states, timedList{at: p.world.clock.now, rows: rows})
	if len(p.states) > 16 {
		p.states = p.states[1:]
	}
}

// list returns the list as it was platformLag ago, or sometimes an older one while the fault
// platform_contradicts is active.
func (p *platformProcess) list() []membership.ListedWorker {
	lag := platformLag
	if p.world.clock.now.Before(p.inconsistentUntil) && p.world.random.IntN(2) == 0 {
		p.world.faults.record("platform_contradicts")
		lag = 3 * platformLag
	}
	var rows []membership.ListedWorker
	for _, state := range p.states {
		if p.world.clock.now.Sub(state.at) >= lag {
			rows = state.rows
		}
	}
	if p.world.mutation != MutationIgnoreLeaving {
		return rows
	}
	changed := append([]membership.ListedWorker(nil), rows...)
	for i := range changed {
		changed[i].Leaving = false
	}
	return changed
}

func zoneName(zone int) string { return "zone-" + string(rune('a'+zone)) }
