package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/promise"
	"github.com/sedgemast/sedgemast/internal/upstream"
)

const (
	// answerInterval is the time between two requests whose workers may fail in any way. Each asks for
	// answerEvents events, and has answerTime.
	answerInterval = 120 * time.Millisecond
	answerEvents   = 12
	answerTime     = 4 * time.Second
	// answerLatency is how long a worker takes to answer.
	answerLatency = 30 * time.Millisecond
	// endlessInterval is the time between two reads of an answer without end. An edge's link delivers
	// linkBytes in that time, and an edge has edgeMemory.
	endlessInterval = 10 * time.Millisecond
	linkBytes       = 1_250_000
	edgeMemory      = 284 << 20
	// In one of unsoundSeconds seconds all workers reject requests or fail at once.
	unsoundSeconds = 5
	// answerAttempts bounds the workers that one request is sent to.
	answerAttempts = 3
)

// ranStatuses are the statuses with which a worker may fail after it has begun a request.
var ranStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}

// endlessPieces are what a worker sends again and again: comments, one event without its end, events.
var endlessPieces = []string{": " + strings.Repeat("x", 1<<10) + "\n\n", "x", "id: 1\ndata: x\n\n"}

// answerCounts counts what became of the requests.
type answerCounts struct {
	asked, whole, rejected, unknown, broken, failedRuns, endless, malformed int
}

// answerCall is a request at an edge, and what only the simulation knows about its runs.
type answerCall struct {
	edge        *edge
	incarnation int
	repeatable  bool
	deadline    time.Time
	sends       promise.Sends
	attempts    int
	// runs is the number of workers that have begun the request. events is the number of events that the
	// caller has.
	runs   int
	events int
}

// startAnswers starts the callers of requests whose workers may fail with any status, marked or not, before
// or after they began, send without end, or send what is no valid or no whole answer.
func (w *World) startAnswers(seed uint64) {
	w.answerRandom = rand.New(rand.NewPCG(seed, 15))
	w.every(answerInterval, func() bool {
		e := w.edges[w.answerRandom.IntN(len(w.edges))]
		if e.alive && !e.frozen {
			w.answerCounts.asked++
			call := &answerCall{edge: e, incarnation: e.incarnation, repeatable: w.answerRandom.IntN(2) == 0, deadline: w.now.Add(answerTime)}
			call.attempt()
		}
		return true
	})
}

// attempt sends the request to a worker, which draws what it does.
func (c *answerCall) attempt() {
	w := c.edge.world
	c.attempts++
	if w.mutation == MutationForgetSends {
		c.sends = promise.Sends{}
	}
	c.sends.Begin()
	drawn := w.answerRandom.IntN(100)
	if int(w.now.Sub(startTime).Seconds())%unsoundSeconds == 0 {
		drawn = 50 + drawn*35/100
	}
	switch {
	case drawn < 50:
		c.runs++
		c.answer(http.StatusOK, false)
	case drawn < 60:
		c.answer(http.StatusServiceUnavailable, true)
	case drawn < 65:
		c.answer(http.StatusMisdirectedRequest, false)
	case drawn < 85:
		c.runs++
		w.answerCounts.failedRuns++
		status := ranStatuses[w.answerRandom.IntN(len(ranStatuses))]
		if contradiction := w.answerRandom.IntN(4) == 0; contradiction {
			c.answer([]int{http.StatusOK, http.StatusInternalServerError}[w.answerRandom.IntN(2)], true)
			return
		}
		c.answer(status, false)
	case drawn < 92:
		c.runs++
		w.answerCounts.malformed++
		c.receiveBroken(emulator.BrokenForms[w.answerRandom.IntN(len(emulator.BrokenForms))])
	default:
		c.runs++
		w.answerCounts.endless++
		c.receiveEndless(endlessPieces[w.answerRandom.IntN(len(endlessPieces))])
	}
	if c.runs > 1 && !c.repeatable {
		w.ledger.recordViolation("%s lets %d workers run a request that may run once", c.edge.name, c.runs)
	}
}

// answer delivers the head of a worker's answer to the edge.
func (c *answerCall) answer(status int, marked bool) {
	w := c.edge.world
	w.after(answerLatency, func() {
		c.edge.runWhenAwake(c.incarnation, func() { c.handle(status, marked) })
	})
}

// handle decides what becomes of the request, as the edge does.
func (c *answerCall) handle(status int, marked bool) {
	statement := promise.StatementOf(status, marked)
	switch c.edge.world.mutation {
	case MutationTrustStatus:
		if !marked && statement == promise.Nothing {
			statement = promise.Answer
		}
	case MutationTrustMark:
		if marked {
			statement = promise.NotRun
		}
	}
	switch {
	case statement == promise.NotRun:
		c.sends.Disprove()
		c.retry(true)
	case statement == promise.Nothing:
		c.retry(c.repeatable)
	case status >= http.StatusInternalServerError && c.repeatable && c.attempts < answerAttempts:
		c.retry(true)
	case status == http.StatusOK:
		c.events = answerEvents
		c.finish(status)
	default:
		c.finish(status)
	}
}

// retry makes another attempt if that is allowed, else it answers by what is known.
func (c *answerCall) retry(allowed bool) {
	w := c.edge.world
	switch {
	case allowed && c.attempts < answerAttempts && w.now.Before(c.deadline):
		c.attempt()
	case c.sends.MayHaveRun():
		c.finish(http.StatusBadGateway)
	default:
		c.finish(http.StatusServiceUnavailable)
	}
}

// finish gives the caller its answer, and checks it.
func (c *answerCall) finish(status int) {
	w := c.edge.world
	if !c.sends.Allows(status) && w.mutation != MutationTrustStatus {
		status = http.StatusBadGateway
	}
	counts := &w.answerCounts
	refuses := status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusMisdirectedRequest
	switch {
	case status == http.StatusOK:
		counts.whole++
		if c.events != answerEvents {
			w.ledger.recordViolation("%s passes %d events for a whole answer of %d", c.edge.name, c.events, answerEvents)
		}
	case refuses:
		counts.rejected++
		if c.runs > 0 {
			w.ledger.recordViolation("%s answers %d to a request that %d workers have run", c.edge.name, status, c.runs)
		}
	default:
		counts.unknown++
	}
}

// receiveEndless reads the piece of an answer again and again, as the edge does, until a bound cuts it.
func (c *answerCall) receiveEndless(piece string) {
	w, e := c.edge.world, c.edge
	tokens := fmt.Sprintf("10,%d", answerEvents)
	limit := 2 * upstream.AnswerLimit(tokens)
	var parser upstream.EventParser
	var received, held int64
	e.endlessAnswers++
	startedAt := w.now
	ended := false
	end := func(then func()) {
		ended = true
		if e.incarnation == c.incarnation {
			e.endlessAnswers--
			e.endlessBytes -= held
			then()
		}
	}
	w.every(endlessInterval, func() bool {
		if ended || e.incarnation != c.incarnation || !e.alive {
			return false
		}
		if e.frozen {
			return true
		}
		share := int64(linkBytes / max(1, e.endlessAnswers))
		if w.mutation == MutationNoAnswerBounds {
			// Each byte puts the deadline off, and all are kept.
			received, held = received+share, held+share
			e.endlessBytes += share
			c.checkMemory()
			if w.now.Sub(startedAt) > answerTime {
				end(func() { c.retry(false) })
			}
			return !ended
		}
		count := int(min(share, 1<<20)) / len(piece)
		for part := 0; part < count && !ended; part += 64 {
			data := strings.Repeat(piece, min(64, count-part))
			received += int64(len(data))
			before := held
			for _, event := range parser.Feed([]byte(data)) {
				if event.HasID {
					c.events++
				}
			}
			held = int64(parser.Buffered())
			e.endlessBytes += held - before
			c.checkMemory()
			switch {
			case upstream.TooManyEvents(c.events, tokens) && w.mutation != MutationAnyEvents:
				end(func() { w.answerCounts.broken++ })
			case parser.Err() != nil || received > limit:
				end(c.continueElsewhere)
			}
		}
		return !ended
	})
}

// continueElsewhere lets another worker continue the answer after the events that the caller has. One that
// has nothing to add ends it.
func (c *answerCall) continueElsewhere() {
	if c.events > answerEvents {
		c.finish(http.StatusOK)
		return
	}
	c.events = 0
	c.retry(c.repeatable)
}

// checkMemory checks that what the edge keeps of answers fits into its memory.
func (c *answerCall) checkMemory() {
	if e := c.edge; e.endlessBytes > edgeMemory {
		e.world.ledger.recordViolation("%s keeps %d MB of answers without end", e.name, e.endlessBytes>>20)
	}
}

// String returns the counts for the log of a test.
func (c answerCounts) String() string {
	return fmt.Sprintf("%d asked: %d whole, %d rejected, %d unknown, %d broken; %d failed runs, %d answers without end, %d malformed", c.asked, c.whole, c.rejected, c.unknown, c.broken, c.failedRuns, c.endless, c.malformed)
}
