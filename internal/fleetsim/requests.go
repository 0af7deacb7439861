package fleetsim

import (
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/quarantine"
)

// requestKind is a kind of requests of callers.
type requestKind uint8

const (
	// harmlessRequest is one request that comes again and again, and makes no worker exit.
	harmlessRequest requestKind = iota
	// crashingRequest is one request that comes again and again. Each worker that runs it exits.
	crashingRequest
	// soundRequest are requests of which no two are alike, with common parts in their prompts. They
	// make no worker exit.
	soundRequest
	// crashingPartRequest are requests of which no two are alike. Each worker that runs one exits
	// because of crashingPart in its prompt; the other parts are those of soundRequest.
	crashingPartRequest
	kindCount
)

// crashLimit is the number of exits under each kind of request from which on sends count as late.
var crashLimit = [kindCount]int{crashingRequest: quarantine.Threshold, crashingPartRequest: 5}

func (k requestKind) crashes() bool { return crashLimit[k] > 0 }

// The parts of prompts. rareParts is the number of parts that only some sound requests have.
const (
	commonPart   = quarantine.Fingerprint(101)
	crashingPart = quarantine.Fingerprint(102)
	firstRare    = quarantine.Fingerprint(103)
	rareParts    = 5
)

// crashCount counts what became of a crashing kind of request: how often it was sent to a worker, how
// many workers exited under it and how often it was sent late. limitAt is the time of exit number
// crashLimit.
type crashCount struct {
	sent, exits, late int
	limitAt           time.Time
}

// startPromptParts starts the callers of requests with parts in their prompts.
func (w *World) startPromptParts() {
	w.every(15*time.Millisecond, func() bool { w.arrive(soundRequest); return true })
	w.after(faultsFrom, func() {
		w.every(210*time.Millisecond, func() bool { w.arrive(crashingPartRequest); return true })
	})
	w.after(ownExitsAt, func() {
		w.log("most workers exit")
		for _, worker := range w.workers[1:] {
			w.exitWorker(worker)
		}
	})
}

// randomOf returns the source of random numbers for a kind of request.
func (w *World) randomOf(kind requestKind) *rand.Rand {
	if kind == soundRequest || kind == crashingPartRequest {
		return w.partRandom
	}
	return w.extraRandom
}

// newSubject returns what the next request of the kind is judged by.
func (w *World) newSubject(kind requestKind) *quarantine.Subject {
	if kind == harmlessRequest || kind == crashingRequest {
		return &quarantine.Subject{Request: quarantine.Fingerprint(1 + kind)}
	}
	w.lastRequest++
	s := &quarantine.Subject{Request: firstRare + rareParts + w.lastRequest, Parts: []quarantine.Fingerprint{commonPart}}
	if kind == crashingPartRequest {
		s.Parts = append(s.Parts, crashingPart)
	}
	s.Parts = append(s.Parts, firstRare+quarantine.Fingerprint(w.partRandom.IntN(rareParts)))
	if w.mutation == MutationWholeRequests {
		s.Parts = nil
	}
	return s
}

// recordSuccess records a success. With MutationNoCredit the parts of the prompt get one only while
// workers are known to have exited under them.
func (e *edge) recordSuccess(s *quarantine.Subject) {
	if e.world.mutation != MutationNoCredit {
		e.cache.RecordSuccess(e.clock(), s)
		return
	}
	for _, fingerprint := range append([]quarantine.Fingerprint{s.Request}, s.Parts...) {
		e.cache.RecordSuccess(e.clock(), &quarantine.Subject{Request: fingerprint})
	}
}

// recordCrashingSend counts the sends of a crashing kind of request, and checks that the late ones
// among them are at most maxLateSends.
func (w *World) recordCrashingSend(e *edge, kind requestKind) {
	count := &w.crashCounts[kind]
	count.sent++
	if count.exits < crashLimit[kind] || !e.isUndisturbed() || w.now.Sub(count.limitAt) <= settleTime {
		return
	}
	if count.late++; count.late > maxLateSends {
		w.ledger.recordViolation("after %d worker exits under requests of kind %d, %s sends one to another worker; late sends: %d", count.exits, kind, e.name, count.late)
	}
}

// countCrash counts a worker exit under a kind of request.
func (w *World) countCrash(kind requestKind) {
	count := &w.crashCounts[kind]
	if count.exits++; count.exits == crashLimit[kind] {
		count.limitAt = w.now
	}
}
