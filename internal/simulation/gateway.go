package simulation

import (
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/routing"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	maxGatewayAttempts = 4
	retryPercent       = 20
	connectTimeout     = 2 * time.Second
)

// gatewayProcess is a simulated gateway: the real routing and retry packages behind simulated
// connections.
type gatewayProcess struct {
	process
	world        *World
	session      *session
	pipeline     *routing.Pipeline
	budget       *retry.Budget
	relays       []*relay
	openRequests int
	stopping     bool
	streams      streamSet
}

// streamSet holds callbacks that report the end of a process to the other ends of its streams.
type streamSet []func()

func (w *World) addGateway(number int) {
	g := &gatewayProcess{process: process{name: fmt.Sprintf("g%d", number+1), zone: number % w.profile.Zones}, world: w}
	w.gateways = append(w.gateways, g)
	g.start()
}

func (g *gatewayProcess) start() {
	g.alive = true
	g.generation++
	g.relays, g.openRequests, g.stopping, g.streams = nil, 0, false, nil
	g.budget = retry.NewBudget(retryPercent)
	g.pipeline = routing.NewPipeline(
		[]routing.Filter{routing.AvailableFilter{}, routing.ModelFilter{}, routing.ExcludeFilter{}},
		[]routing.WeightedScorer{{Scorer: routing.RendezvousScorer{}, Weight: 1}, {Scorer: routing.LoadScorer{}, Weight: 2}, {Scorer: routing.ZoneScorer{}, Weight: 1}},
		routing.BestPicker{},
	)
	previous := g.session
	g.session = g.world.newSession(&g.process, wire.RoleGateway, previous)
	g.session.onUpdate = g.breakDeadStreams
}

// breakDeadStreams breaks the streams from dispatchers that control no longer lists.
func (g *gatewayProcess) breakDeadStreams() {
	open := g.relays
	g.relays = nil
	for _, r := range open {
		if r.finished {
			continue
		}
		g.relays = append(g.relays, r)
		if _, listed := g.session.view[r.dispatcher]; !listed && r.dispatcher != "" {
			r.breakStream()
		}
	}
}

// relay runs one online request through one dispatcher after another. streamNumber is the number of
// its current stream. What arrives on an earlier stream is ignored.
type relay struct {
	gateway      *gatewayProcess
	request      wire.GenerateRequest
	policy       retry.Policy
	exclude      map[string]bool
	attempts     int
	streamNumber int
	dispatcher   string
	worker       string
	attemptID    string
	tokens       int
	text         strings.Builder
	started      bool
	finished     bool
	deliver      func(text string)
	done         func(error)
}

// serve runs an online request. The caller gets the text in order, then the outcome.
func (g *gatewayProcess) serve(request wire.GenerateRequest, deliver func(string), done func(error)) {
	if g.stopping || !g.session.serves() {
		done(failure.New(failure.NotRun, "send it again", "the gateway takes no new work").WithRetryAfter(time.Second))
		return
	}
	g.world.ledger.checkRevisionUsed(g.name, g.session.config.Current().Revision)
	g.budget.Deposit()
	g.openRequests++
	r := &relay{
		gateway: g,
		request: request,
		exclude: map[string]bool{},
		deliver: deliver,
		policy: retry.Policy{
			MaxAttempts:   maxGatewayAttempts,
			NotRepeatable: request.NotRepeatable && g.world.mutation != MutationRetryNotRepeatable,
			Deadline:      g.world.clock.now.Add(time.Duration(request.TimeLeftMillis) * time.Millisecond),
		},
	}
	r.done = func(err error) {
		g.openRequests--
		if g.world.mutation == MutationFalseNotRun && failure.Is(err, failure.OutcomeUnknown) {
			err = failure.New(failure.NotRun, "send it again", "a lie")
		}
		done(err)
	}
	g.relays = append(g.relays, r)
	g.world.timer(&g.process, time.Duration(request.TimeLeftMillis)*time.Millisecond, func() {
		r.finish(failure.New(failure.DeadlineExceeded, "allow more time", "the deadline passed"))
	})
	r.attempt()
}

// choose returns the dispatcher for a request, or nil if there is none.
func (g *gatewayProcess) choose(request *routing.Request) *dispatcherProcess {
	var candidates []*routing.Candidate
	for _, name := range sortedKeys(g.session.view) {
		peer := g.session.view[name]
		models := map[string]bool{}
		for _, model := range peer.Models {
			models[model] = true
		}
		candidates = append(candidates, &routing.Candidate{Name: name, Zone: peer.Zone, Models: models, Unavailable: peer.Draining, Load: float64(peer.Utilization) / 255})
	}
	chosen := g.pipeline.Choose(request, candidates, g.world.random)
	if chosen == nil {
		return nil
	}
	return g.world.dispatcherByName(chosen.Name)
}

// attempt sends the request to another dispatcher, to continue after the tokens received so far.
func (r *relay) attempt() {
	if r.finished {
		return
	}
	g, w := r.gateway, r.gateway.world
	r.attempts++
	blocks := engine.PrefixBlocks(r.request.Model, "", r.request.Prompt)
	d := g.choose(&routing.Request{Model: r.request.Model, Zone: zoneName(g.zone), Blocks: blocks, Exclude: r.exclude})
	if d == nil {
		r.handleFailure(failure.New(failure.NotRun, "send it again", "no dispatcher serves the model").WithRetryAfter(time.Second))
		return
	}
	r.exclude[d.name] = true
	r.dispatcher, r.worker = d.name, ""
	request := r.request
	request.AttemptID = fmt.Sprintf("%s-%d", request.RequestID, r.attempts)
	request.TimeLeftMillis = r.policy.Deadline.Sub(w.clock.now).Milliseconds()
	request.ContinueTokens = r.tokens
	request.ContinueText = r.text.String()
	r.openStream(d, func(onFrame func(*wire.GenerateFrame), done func(error)) { d.serve(&request, onFrame, done) }, func(err error) { r.handleFailure(err) })
}

// openStream opens a stream to a dispatcher. start runs at the dispatcher. onFailure runs at the
// gateway, once, if the stream fails before its end.
func (r *relay) openStream(d *dispatcherProcess, start func(onFrame func(*wire.GenerateFrame), done func(error)), onFailure func(error)) {
	g, w := r.gateway, r.gateway.world
	r.streamNumber++
	number, generation := r.streamNumber, g.generation
	current := func() bool { return !r.finished && r.streamNumber == number }
	connection := w.connect(&d.process, &g.process)
	send := func(run func()) {
		connection.send(func() {
			if current() {
				run()
			}
		})
	}
	onDisconnect := func() {
		if current() {
			r.streamNumber++
			onFailure(errStreamCut)
		}
	}
	if w.network.isCut(&g.process, &d.process) {
		w.timer(&g.process, connectTimeout, func() {
			if current() {
				r.streamNumber++
				onFailure(failure.New(failure.NotRun, "try another peer", "no connection to %s", d.name))
			}
		})
		return
	}
	w.transmit(&g.process, &d.process, func() {
		d.streams = append(d.streams, func() { w.enter(&g.process, generation, onDisconnect) })
		start(func(frame *wire.GenerateFrame) { send(func() { r.receive(frame) }) }, func(err error) {
			send(func() {
				r.streamNumber++
				if err == nil {
					r.finish(nil)
					return
				}
				onFailure(err)
			})
		})
	}, func() {
		if current() {
			r.streamNumber++
			onFailure(failure.New(failure.NotRun, "try another peer", "no connection to %s", d.name))
		}
	})
}

// breakStream ends the current stream, because its dispatcher is lost or an event is out of
// sequence.
func (r *relay) breakStream() {
	r.streamNumber++
	r.dispatcher = ""
	r.handleFailure(errStreamCut)
}

// receive handles one frame of the current stream.
func (r *relay) receive(frame *wire.GenerateFrame) {
	r.started = true
	switch frame.Kind {
	case wire.FrameStarted:
		r.attemptID, r.worker = frame.AttemptID, frame.Worker
	case wire.FrameTokens:
		if frame.Offset != r.tokens && r.gateway.world.mutation != MutationNoSequencer {
			r.breakStream()
			return
		}
		r.tokens += frame.Tokens
		r.text.WriteString(frame.Text)
		r.deliver(frame.Text)
	}
}

// handleFailure resumes a broken stream through another dispatcher, if there is one and the worker
// is known. Otherwise it leaves the decision to the retry policy.
func (r *relay) handleFailure(err error) {
	if r.finished {
		return
	}
	if !failure.Is(err, failure.NotRun) {
		r.started = true
	}
	worker, attemptID := r.worker, r.attemptID
	r.worker = ""
	if failure.Is(err, failure.OutcomeUnknown) && worker != "" {
		if other := r.untriedDispatcher(); other != nil {
			r.gateway.world.ledger.resumes++
			r.dispatcher = other.name
			r.openStream(other, func(onFrame func(*wire.GenerateFrame), done func(error)) {
				other.resume(worker, attemptID, r.tokens, onFrame, done)
			}, func(error) { r.retryOrFinish(err) })
			return
		}
	}
	r.retryOrFinish(err)
}

// untriedDispatcher returns a dispatcher that got no attempt of this request yet, or nil.
func (r *relay) untriedDispatcher() *dispatcherProcess {
	for _, name := range sortedKeys(r.gateway.session.view) {
		if !r.exclude[name] {
			return r.gateway.world.dispatcherByName(name)
		}
	}
	return nil
}

// retryOrFinish makes another attempt if the retry policy allows it, and ends the request
// otherwise.
func (r *relay) retryOrFinish(err error) {
	g := r.gateway
	if r.policy.Next(g.world.clock.now, r.attempts, err, g.budget) == retry.Retry {
		r.attempt()
		return
	}
	if r.started && failure.Is(err, failure.NotRun) {
		err = failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "an earlier attempt may have run")
	}
	r.finish(err)
}

func (r *relay) finish(err error) {
	if r.finished {
		return
	}
	r.finished = true
	r.done(err)
}

// stop is the planned stop: the gateway takes no new requests and waits for the open ones, at most
// for drainTimeout.
func (g *gatewayProcess) stop(onStopped func()) {
	g.stopping = true
	deadline := g.world.clock.now.Add(drainTimeout)
	var wait func()
	wait = func() {
		if g.openRequests > 0 && g.world.clock.now.Before(deadline) {
			g.world.timer(&g.process, drainPoll, wait)
			return
		}
		g.session.leaving = true
		g.session.sendHeartbeat()
		// The wait lets the last frames reach their callers before the connections close.
		g.world.timer(&g.process, drainPoll, onStopped)
	}
	wait()
}
