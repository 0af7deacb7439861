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
	maxLateness     = 2 * time.Second
	breakNoticeTime = 100 * time.Millisecond
)

// engineProcess is a worker: the emulator's model of continuous batching behind
// its protocol, with the ways in which answers go wrong.
type engineProcess struct {
	process
	world       *World
	incarnation uint64
	model       *emulator.Model
	fence       uint64
	leaving     bool
	stepping    bool
	attempts    map[string]*engineAttempt
	order       []string
	reports     []timedLoad
	// Until these moments answers come late, mixed up or twice.
	lateUntil    time.Time
	crossedUntil time.Time
	twiceUntil   time.Time
	// blocked is since when online work has waited while batch work ran.
	blocked time.Time
}

// engineAttempt is one attempt with what it has generated.
type engineAttempt struct {
	id      string
	online  bool
	first   int
	tokens  []string
	ended   bool
	stopped bool
	reader  *engineReader
}

// engineReader is the stream of one attempt to a dispatcher.
type engineReader struct {
	connection *connection
	next       int
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

// capacity returns the size of the profile's engines.
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
	e.life++
	e.incarnation++
	e.fence, e.leaving, e.stepping = 0, false, false
	e.attempts, e.order, e.reports = map[string]*engineAttempt{}, nil, nil
	e.blocked = time.Time{}
	e.model = emulator.NewModel(e.world.profile.capacity())
	e.world.every(&e.process, loadLag/2, e.report)
}

func (e *engineProcess) report() {
	e.reports = append(e.reports, timedLoad{at: e.world.clock.now, load: engine.Load{
		Worker:      e.name,
		Incarnation: e.incarnation,
		Epoch:       e.fence,
		Leaving:     e.leaving,
		Slots:       e.world.profile.capacity().Slots,
		Running:     e.model.Running(),
		Waiting:     e.model.Waiting(),
		KVTokens:    e.world.profile.capacity().KVTokens,
		Models:      []string{simulatedModel},
	}})
	if len(e.reports) > 8 {
		e.reports = e.reports[1:]
	}
}

// load returns a report that lags.
func (e *engineProcess) load() engine.Load {
	var newest engine.Load
	for _, reported := range e.reports {
		if e.world.clock.now.Sub(reported.at) >= loadLag {
			newest = reported.load
		}
	}
	return newest
}

// own is the fenced order by which a dispatcher takes the worker over.
func (e *engineProcess) own(fence uint64) bool {
	if fence < e.fence && e.world.mutation != MutationNoFencing {
		return false
	}
	e.world.ledger.fenced(e, fence)
	e.fence = max(e.fence, fence)
	return true
}

// generate starts an attempt and streams it to the reader. It returns the code
// of a refusal before the start.
func (e *engineProcess) generate(request *engine.GenerateRequest, reader *engineReader) string {
	switch {
	case request.Epoch < e.fence && e.world.mutation != MutationNoFencing:
		return engine.CodeStaleEpoch
	case e.leaving:
		return engine.CodeLeaving
	case e.attempts[request.AttemptID] != nil:
		return engine.CodeDuplicateAttempt
	}
	e.world.ledger.engineStarted(e, request)
	e.fence = max(e.fence, request.Epoch)
	e.model.Add(emulator.NewSequence(request))
	e.attempts[request.AttemptID] = &engineAttempt{
		id:     request.AttemptID,
		online: request.Priority >= engine.PriorityOnline,
		first:  request.ContinueTokens,
		reader: reader,
	}
	e.order = append(e.order, request.AttemptID)
	reader.next = request.ContinueTokens
	if !e.stepping {
		e.step()
	}
	return ""
}

// resume streams an attempt from an offset on; false if it is not known.
func (e *engineProcess) resume(id string, offset int, reader *engineReader) bool {
	found := e.attempts[id]
	if found == nil || found.stopped || offset < found.first {
		return false
	}
	reader.next = offset
	found.reader = reader
	e.feed(found)
	return true
}

func (e *engineProcess) cancel(id string) {
	e.model.Remove(id)
	if found := e.attempts[id]; found != nil && !found.ended {
		found.stopped = true
		found.reader = nil
	}
}

func (e *engineProcess) step() {
	e.stepping = !e.model.Idle()
	if !e.stepping {
		return
	}
	outputs, duration := e.model.Step()
	e.forgetEnded()
	e.watchBlocking()
	e.world.timer(&e.process, duration, func() {
		for _, output := range outputs {
			found := e.attempts[output.Sequence.ID]
			if found == nil {
				// It was cancelled during the step and forgotten since.
				continue
			}
			if output.Ended {
				found.ended = true
			} else {
				found.tokens = append(found.tokens, output.Text)
				e.world.generated(found.online)
			}
			e.feed(found)
		}
		e.step()
	})
}

// maxRemembered is how many attempts an engine keeps; later readers of older ones
// find them gone.
const maxRemembered = 512

func (e *engineProcess) forgetEnded() {
	if len(e.order) < 2*maxRemembered {
		return
	}
	kept := e.order[:0]
	for index, id := range e.order {
		found := e.attempts[id]
		if index < maxRemembered && (found.ended || found.stopped) && found.reader == nil {
			delete(e.attempts, id)
			continue
		}
		kept = append(kept, id)
	}
	e.order = kept
}

// watchBlocking notes since when online work waits while batch work runs.
func (e *engineProcess) watchBlocking() {
	waiting, batch := 0, 0
	for _, id := range e.order {
		found := e.attempts[id]
		if found.ended || found.stopped {
			continue
		}
		if found.online && len(found.tokens) == 0 {
			waiting++
		}
		if !found.online {
			batch++
			e.world.ledger.working(id)
		}
	}
	if e.model.Waiting() == 0 || waiting == 0 || batch == 0 {
		e.blocked = time.Time{}
		return
	}
	if e.blocked.IsZero() {
		e.blocked = e.world.clock.now
	}
	e.world.ledger.blocked(e, e.world.clock.now.Sub(e.blocked))
}

// feed sends the reader what it has not been sent.
func (e *engineProcess) feed(from *engineAttempt) {
	reader := from.reader
	if reader == nil {
		return
	}
	for reader.next < from.first+len(from.tokens) {
		offset := reader.next
		reader.next++
		e.deliver(reader, &engine.Event{Type: engine.EventTokens, AttemptID: from.id, Offset: offset, Tokens: 1, Text: from.tokens[offset-from.first]})
	}
	if from.ended {
		e.deliver(reader, &engine.Event{Type: engine.EventEnd, AttemptID: from.id, Offset: reader.next, FinishReason: "stop"})
		from.reader = nil
	}
}

// deliver sends one event, with the faults of the moment.
func (e *engineProcess) deliver(reader *engineReader, sent *engine.Event) {
	w, now := e.world, e.world.clock.now
	if now.Before(e.crossedUntil) && w.random.IntN(2) == 0 && len(e.order) > 1 {
		other := e.attempts[e.order[w.random.IntN(len(e.order))]]
		if len(other.tokens) > 0 && other.id != sent.AttemptID {
			w.faults.struck("answers_crossed")
			reader.send(&engine.Event{Type: engine.EventTokens, AttemptID: other.id, Offset: sent.Offset, Tokens: 1, Text: other.tokens[0]})
		}
	}
	if now.Before(e.lateUntil) && w.random.IntN(8) == 0 {
		w.faults.struck("answers_late")
		reader.connection.delayUntil(now.Add(time.Duration(w.random.Int64N(int64(maxLateness)))))
	}
	reader.send(sent)
	if now.Before(e.twiceUntil) && w.random.IntN(3) == 0 {
		w.faults.struck("answers_twice")
		reader.send(sent)
	}
}

func (r *engineReader) send(sent *engine.Event) {
	r.connection.send(func() { r.deliver(sent, nil) })
}

// breakStreams ends the streams of an engine, as when its connections break.
func (e *engineProcess) breakStreams() {
	for _, id := range e.order {
		found := e.attempts[id]
		if reader := found.reader; reader != nil {
			found.reader = nil
			w := e.world
			w.clock.after(breakNoticeTime, func() {
				w.enter(reader.connection.to, reader.connection.toLife, func() { reader.deliver(nil, errStreamCut) })
			})
		}
	}
}

// platformProcess is the platform's lagging list.
type platformProcess struct {
	process
	world  *World
	states []timedList
	// contradictUntil is until when the list goes back and forth.
	contradictUntil time.Time
}

type timedList struct {
	at   time.Time
	rows []membership.ListedWorker
}

func (w *World) addPlatform() {
	w.platform = &platformProcess{process: process{name: "platform", alive: true}, world: w}
	w.every(&w.platform.process, platformLag/4, w.platform.record)
}

func (p *platformProcess) record() {
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

// list returns the list as it was some time ago; a contradicting one sometimes
// goes back further.
func (p *platformProcess) list() []membership.ListedWorker {
	lag := platformLag
	if p.world.clock.now.Before(p.contradictUntil) && p.world.random.IntN(2) == 0 {
		p.world.faults.struck("platform_contradicts")
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
