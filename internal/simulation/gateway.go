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

// gatewayProcess is a gateway: the real routing and retry cores with a shell.
type gatewayProcess struct {
	process
	world    *World
	session  *session
	pipeline *routing.Pipeline
	budget   *retry.Budget
	relays   []*relay
	open     int
	stopping bool
	streams  streamSet
}

// streamSet holds what must be told when a process dies: the other ends of its
// streams.
type streamSet []func()

func (w *World) addGateway(number int) {
	g := &gatewayProcess{process: process{name: fmt.Sprintf("g%d", number+1), zone: number % w.profile.Zones}, world: w}
	w.gateways = append(w.gateways, g)
	g.start()
}

func (g *gatewayProcess) start() {
	g.alive = true
	g.life++
	g.relays, g.open, g.stopping, g.streams = nil, 0, false, nil
	g.budget = retry.NewBudget(retryPercent)
	g.pipeline = routing.NewPipeline(
		[]routing.Filter{routing.AvailableFilter{}, routing.ModelFilter{}, routing.ExcludeFilter{}},
		[]routing.WeightedScorer{{Scorer: routing.RendezvousScorer{}, Weight: 1}, {Scorer: routing.LoadScorer{}, Weight: 2}, {Scorer: routing.ZoneScorer{}, Weight: 1}},
		routing.BestPicker{},
	)
	previous := g.session
	g.session = g.world.newSession(&g.process, wire.RoleGateway, previous)
	g.session.changed = g.checkStreams
}

// checkStreams breaks the streams from dispatchers that control counts as dead.
func (g *gatewayProcess) checkStreams() {
	open := g.relays
	g.relays = nil
	for _, r := range open {
		if r.over {
			continue
		}
		g.relays = append(g.relays, r)
		if _, listed := g.session.view[r.dispatcher]; !listed && r.dispatcher != "" {
			r.cut()
		}
	}
}

// relay runs one online request over one or more dispatchers.
type relay struct {
	gateway    *gatewayProcess
	request    wire.GenerateRequest
	policy     retry.Policy
	exclude    map[string]bool
	attempts   int
	stream     int
	dispatcher string
	worker     string
	attemptID  string
	tokens     int
	text       strings.Builder
	started    bool
	over       bool
	deliver    func(text string)
	done       func(error)
}

// chat serves an online request. The caller gets text in order, then the end.
func (g *gatewayProcess) chat(request wire.GenerateRequest, deliver func(string), done func(error)) {
	if g.stopping || !g.session.serves() {
		done(failure.New(failure.NotRun, "send it again", "the gateway takes no new work").WithRetryAfter(time.Second))
		return
	}
	g.world.ledger.acted(g.name, g.session.config.Current().Revision)
	g.budget.Deposit()
	g.open++
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
		g.open--
		if g.world.mutation == MutationFalseNotRun && failure.Is(err, failure.OutcomeUnknown) {
			err = failure.New(failure.NotRun, "send it again", "a lie")
		}
		done(err)
	}
	g.relays = append(g.relays, r)
	g.world.timer(&g.process, time.Duration(request.TimeLeftMillis)*time.Millisecond, func() {
		r.end(failure.New(failure.DeadlineExceeded, "allow more time", "the deadline passed"))
	})
	r.attempt()
}

func (g *gatewayProcess) choose(request *routing.Request) *dispatcherProcess {
	var candidates []*routing.Candidate
	for _, name := range sortedKeys(g.session.view) {
		seen := g.session.view[name]
		models := map[string]bool{}
		for _, model := range seen.Models {
			models[model] = true
		}
		candidates = append(candidates, &routing.Candidate{Name: name, Zone: seen.Zone, Models: models, Unavailable: seen.Draining, Load: float64(seen.Utilization) / 255})
	}
	chosen := g.pipeline.Choose(request, candidates, g.world.random)
	if chosen == nil {
		return nil
	}
	return g.world.dispatcherByName(chosen.Name)
}

func (r *relay) attempt() {
	if r.over {
		return
	}
	g, w := r.gateway, r.gateway.world
	r.attempts++
	blocks := engine.PrefixBlocks(r.request.Model, "", r.request.Prompt)
	d := g.choose(&routing.Request{Model: r.request.Model, Zone: zoneName(g.zone), Blocks: blocks, Exclude: r.exclude})
	if d == nil {
		r.failed(failure.New(failure.NotRun, "send it again", "no dispatcher serves the model").WithRetryAfter(time.Second))
		return
	}
	r.exclude[d.name] = true
	r.dispatcher, r.worker = d.name, ""
	request := r.request
	request.AttemptID = fmt.Sprintf("%s-%d", request.RequestID, r.attempts)
	request.TimeLeftMillis = r.policy.Deadline.Sub(w.clock.now).Milliseconds()
	request.ContinueTokens = r.tokens
	request.ContinueText = r.text.String()
	r.open(d, func(frames func(*wire.GenerateFrame), done func(error)) { d.serve(&request, frames, done) }, func(err error) { r.failed(err) })
}

// open opens a stream to a dispatcher. begin runs there; failed runs here once
// if the stream does not become whole.
func (r *relay) open(d *dispatcherProcess, begin func(frames func(*wire.GenerateFrame), done func(error)), failed func(error)) {
	g, w := r.gateway, r.gateway.world
	r.stream++
	stream, life := r.stream, g.life
	current := func() bool { return !r.over && r.stream == stream }
	frames := w.connect(&d.process, &g.process)
	send := func(run func()) {
		frames.send(func() {
			if current() {
				run()
			}
		})
	}
	broken := func() {
		if current() {
			r.stream++
			failed(errStreamCut)
		}
	}
	if w.network.drops(&g.process, &d.process) {
		w.timer(&g.process, connectTimeout, func() {
			if current() {
				r.stream++
				failed(failure.New(failure.NotRun, "try another peer", "no connection to %s", d.name))
			}
		})
		return
	}
	w.transmit(&g.process, &d.process, func() {
		d.streams = append(d.streams, func() { w.enter(&g.process, life, broken) })
		begin(func(frame *wire.GenerateFrame) { send(func() { r.take(frame) }) }, func(err error) {
			send(func() {
				r.stream++
				if err == nil {
					r.end(nil)
					return
				}
				failed(err)
			})
		})
	}, func() {
		if current() {
			r.stream++
			failed(failure.New(failure.NotRun, "try another peer", "no connection to %s", d.name))
		}
	})
}

// cut ends the stream that is being read, because its dispatcher is gone.
func (r *relay) cut() {
	r.stream++
	r.dispatcher = ""
	r.failed(errStreamCut)
}

func (r *relay) take(frame *wire.GenerateFrame) {
	r.started = true
	switch frame.Kind {
	case wire.FrameStarted:
		r.attemptID, r.worker = frame.AttemptID, frame.Worker
	case wire.FrameTokens:
		if frame.Offset != r.tokens && r.gateway.world.mutation != MutationNoSequencer {
			r.cut()
			return
		}
		r.tokens += frame.Tokens
		r.text.WriteString(frame.Text)
		r.deliver(frame.Text)
	}
}

// failed resumes a cut stream through another dispatcher where there is one to
// resume, and lets the policy decide otherwise.
func (r *relay) failed(err error) {
	if r.over {
		return
	}
	if !failure.Is(err, failure.NotRun) {
		r.started = true
	}
	worker, attemptID := r.worker, r.attemptID
	r.worker = ""
	if failure.Is(err, failure.OutcomeUnknown) && worker != "" {
		if other := r.another(); other != nil {
			r.gateway.world.ledger.resumes++
			r.dispatcher = other.name
			r.open(other, func(frames func(*wire.GenerateFrame), done func(error)) {
				other.resume(worker, attemptID, r.tokens, frames, done)
			}, func(error) { r.next(err) })
			return
		}
	}
	r.next(err)
}

func (r *relay) another() *dispatcherProcess {
	for _, name := range sortedKeys(r.gateway.session.view) {
		if !r.exclude[name] {
			return r.gateway.world.dispatcherByName(name)
		}
	}
	return nil
}

func (r *relay) next(err error) {
	g := r.gateway
	if r.policy.Next(g.world.clock.now, r.attempts, err, g.budget) == retry.Retry {
		r.attempt()
		return
	}
	if r.started && failure.Is(err, failure.NotRun) {
		err = failure.New(failure.OutcomeUnknown, "send it again if it may be repeated", "an earlier attempt may have run")
	}
	r.end(err)
}

func (r *relay) end(err error) {
	if r.over {
		return
	}
	r.over = true
	r.done(err)
}

// stop is the planned stop of a gateway.
func (g *gatewayProcess) stop(then func()) {
	g.stopping = true
	deadline := g.world.clock.now.Add(drainTimeout)
	var wait func()
	wait = func() {
		if g.open > 0 && g.world.clock.now.Before(deadline) {
			g.world.timer(&g.process, drainPoll, wait)
			return
		}
		g.session.leaving = true
		g.session.beat()
		// The last frames reach their callers before the connections close.
		g.world.timer(&g.process, drainPoll, then)
	}
	wait()
}
