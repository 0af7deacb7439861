package simulation

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/loadgen"
)

// Variant is one way of running online and batch work on one fleet.
type Variant struct {
	Name   string
	Online bool
	Batch  bool
	// ReservePercent is the fixed reserve; with Adaptive set it is the most that
	// the reserve may grow to.
	ReservePercent  int
	AdaptiveReserve bool
	// EnginePriorities leaves the order to the engines: nothing is preempted
	// and no slot is kept free.
	EnginePriorities bool
	// Surge multiplies the online load between two moments; zero for none.
	Surge              int
	SurgeFrom, SurgeTo time.Duration
}

// Variants returns those that are measured side by side.
func Variants() []Variant {
	return []Variant{
		{Name: "online alone", Online: true},
		{Name: "batch alone", Batch: true},
		{Name: "engines' priorities only", Online: true, Batch: true, EnginePriorities: true},
		{Name: "no reserve, preemption", Online: true, Batch: true},
		{Name: "fixed reserve 5%", Online: true, Batch: true, ReservePercent: 5},
		{Name: "fixed reserve 10%", Online: true, Batch: true, ReservePercent: 10},
		{Name: "fixed reserve 25%", Online: true, Batch: true, ReservePercent: 25},
		{Name: "fixed reserve 50%", Online: true, Batch: true, ReservePercent: 50},
		{Name: "adaptive reserve", Online: true, Batch: true, ReservePercent: 50, AdaptiveReserve: true},
	}
}

// Measurement is what one variant showed, over all seeds.
type Measurement struct {
	Variant Variant
	// FirstToken, Gap and Yield are in microseconds: until a caller's first
	// token, between two of its tokens, and from a preemption's decision until
	// the batch work was off its engine.
	FirstToken        *hdrhistogram.Histogram
	Gap               *hdrhistogram.Histogram
	PreemptionLatency *hdrhistogram.Histogram
	// RejectionLatency is the time until a refused request had its answer.
	RejectionLatency *hdrhistogram.Histogram
	// BatchTokens and OnlineTokens are generated tokens a second, one value for
	// each seed.
	BatchTokens  []float64
	OnlineTokens []float64
	// OnlineShare is the share of slot time that online work held.
	OnlineShare []float64
	Requests    int
	Completed   int
	Rejected    int
	Preemptions int
	Violations  []Violation
	// Goodput holds whole answers by the second of their end.
	Goodput []int
}

func newMeasured(variant Variant) *Measurement {
	return &Measurement{Variant: variant, FirstToken: loadgen.NewHistogram(), Gap: loadgen.NewHistogram(), PreemptionLatency: loadgen.NewHistogram(), RejectionLatency: loadgen.NewHistogram()}
}

func recordDuration(histogram *hdrhistogram.Histogram, length time.Duration) {
	// Values beyond the range are far past every deadline.
	_ = histogram.RecordValue(length.Microseconds())
}

func (m *Measurement) add(other *Measurement) {
	m.FirstToken.Merge(other.FirstToken)
	m.Gap.Merge(other.Gap)
	m.PreemptionLatency.Merge(other.PreemptionLatency)
	m.RejectionLatency.Merge(other.RejectionLatency)
	m.BatchTokens = append(m.BatchTokens, other.BatchTokens...)
	m.OnlineTokens = append(m.OnlineTokens, other.OnlineTokens...)
	m.OnlineShare = append(m.OnlineShare, other.OnlineShare...)
	m.Requests += other.Requests
	m.Completed += other.Completed
	m.Rejected += other.Rejected
	m.Preemptions += other.Preemptions
	m.Violations = append(m.Violations, other.Violations...)
	for second, count := range other.Goodput {
		for len(m.Goodput) <= second {
			m.Goodput = append(m.Goodput, 0)
		}
		m.Goodput[second] += count
	}
}

// experiment collects a run's measurements.
type experiment struct {
	measured     *Measurement
	from, till   time.Time
	batchTokens  int
	onlineTokens int
	onlineSlots  float64
	slots        float64
}

const (
	experimentWarmUp = 8 * time.Second
	// batchWaiting is how many items are kept waiting, so that the fleet never
	// runs out of them.
	batchWaiting = 1200
	// burstEvery, burstSize and burstLength describe bursts of quick questions.
	burstEvery  = 8 * time.Second
	burstSize   = 120
	burstLength = 500 * time.Millisecond
	// reviewShare is the part of requests that are long reviews.
	reviewShare = 0.05
)

// experimentProfile gives a deployment engines of the usual size and the load of
// an experiment: steady quick questions, bursts, and some long reviews.
func experimentProfile(profile Profile, variant Variant, length time.Duration) Profile {
	capacity := emulator.DefaultCapacity()
	profile.Engine = &capacity
	profile.ReservePercent = variant.ReservePercent
	profile.OnlineCallers = 0
	profile.BatchCallers = 0
	profile.ChangeInterval = 10 * time.Second
	profile.FaultsTo = experimentWarmUp + length
	return profile
}

// RunExperiment runs one variant with one seed and measures it for the length
// given.
func RunExperiment(profile Profile, variant Variant, length time.Duration, seed uint64) *Measurement {
	w := newWorld(Options{Profile: experimentProfile(profile, variant, length), Seed: seed, Variant: variant})
	w.experiment = &experiment{
		measured: newMeasured(variant),
		from:     epoch.Add(experimentWarmUp),
		till:     epoch.Add(experimentWarmUp + length),
	}
	w.startLoad()
	if variant.Batch {
		w.keepBatchWaiting()
	}
	if variant.Online {
		w.steadyQuestions(variant)
		w.bursts()
	}
	w.every(&w.platform.process, sampleInterval, w.sampleSlots)
	w.clock.runUntil(w.experiment.till.Add(2*time.Second), w.broken)
	return w.experiment.finish(w)
}

const sampleInterval = 50 * time.Millisecond

func (w *World) sampleSlots() {
	if !w.measuring() {
		return
	}
	for _, e := range w.engines {
		online := 0
		for _, id := range e.order {
			if found := e.attempts[id]; found.online && !found.ended && !found.stopped {
				online++
			}
		}
		w.experiment.onlineSlots += float64(online)
		w.experiment.slots += float64(w.profile.Engine.Slots)
	}
}

func (w *World) measuring() bool {
	return w.experiment != nil && !w.clock.now.Before(w.experiment.from) && w.clock.now.Before(w.experiment.till)
}

func (x *experiment) finish(w *World) *Measurement {
	m := x.measured
	seconds := x.till.Sub(x.from).Seconds()
	m.BatchTokens = []float64{float64(x.batchTokens) / seconds}
	m.OnlineTokens = []float64{float64(x.onlineTokens) / seconds}
	m.OnlineShare = []float64{x.onlineSlots / max(x.slots, 1)}
	m.Preemptions = w.ledger.preemptions
	m.Violations = w.ledger.violations
	for _, record := range w.ledger.order {
		if record.asked.Before(x.from) || !record.asked.Before(x.till) {
			continue
		}
		m.Requests++
		switch {
		case record.over && record.err == nil:
			m.Completed++
		case record.over && failure.Is(record.err, failure.NotRun):
			m.Rejected++
		}
	}
	return m
}

// generated takes in a token of an engine.
func (w *World) generated(online bool) {
	if !w.measuring() {
		return
	}
	if online {
		w.experiment.onlineTokens++
	} else {
		w.experiment.batchTokens++
	}
}

// steadyQuestions asks quick questions and long reviews at random moments. The
// rate is a share of what the fleet can do.
func (w *World) steadyQuestions(variant Variant) {
	p := w.newCaller("desk")
	count := 0
	var again func()
	again = func() {
		if w.clock.now.After(w.experiment.till) {
			return
		}
		count++
		w.ask(p, fmt.Sprintf("s.%d", count))
		rate := questionsPerWorker * float64(w.profile.Workers)
		if since := w.clock.now.Sub(w.experiment.from); variant.Surge > 0 && since >= variant.SurgeFrom && since < variant.SurgeTo {
			rate *= float64(variant.Surge)
		}
		w.timer(p, time.Duration(w.workload.ExpFloat64()/rate*float64(time.Second)), again)
	}
	w.timer(p, w.profile.WarmUp, again)
}

// questionsPerWorker is the steady rate for each worker, in requests a second:
// about a quarter of its slots.
const questionsPerWorker = 10.0

// bursts asks many quick questions within half a second, again and again.
func (w *World) bursts() {
	p := w.newCaller("counter")
	count := 0
	w.every(p, burstEvery, func() {
		for number := 0; number < burstSize*w.profile.Workers/12; number++ {
			count++
			id := fmt.Sprintf("b.%d", count)
			w.timer(p, time.Duration(w.workload.Float64()*float64(burstLength)), func() { w.ask(p, id) })
		}
	})
}

// keepBatchWaiting submits heaps so that items always wait.
func (w *World) keepBatchWaiting() {
	p := w.newCaller("term")
	count := 0
	w.timer(p, w.profile.WarmUp, func() {
		w.every(p, 100*time.Millisecond, func() {
			if w.waitingItems() >= batchWaiting {
				return
			}
			count++
			w.submit(p, w.ledger.newJob(w, fmt.Sprintf("heap-x-%d", count), 200))
		})
	})
}

func (w *World) waitingItems() int {
	waiting := 0
	for _, job := range w.ledger.jobs {
		if job.id == "" {
			waiting += len(job.lines)
			continue
		}
		if job.done {
			continue
		}
		record, err := w.jobRecord(groupOf(job), job.id)
		if err != nil {
			continue
		}
		job.done = int(record.Succeeded) == len(job.lines)
		waiting += len(job.lines) - int(record.Succeeded)
	}
	return waiting
}

// questionShape draws the prompt and the length of an online request.
func (w *World) questionShape(random *rand.Rand) (words, tokens int) {
	if w.experiment == nil {
		return random.IntN(40), 8 + random.IntN(24)
	}
	if random.Float64() < reviewShare {
		return 1500 + random.IntN(1500), 64
	}
	return 20 + random.IntN(100), 16 + random.IntN(48)
}

// Experiment runs variants over seeds.
type Experiment struct {
	Profile  Profile
	Variants []Variant
	// Duration is the measured part of each run, after the warm-up.
	Duration  time.Duration
	FirstSeed uint64
	LastSeed  uint64
}

// Run runs all variants over all seeds, several at a time.
func (x Experiment) Run() []*Measurement {
	type run struct {
		variant int
		seed    uint64
	}
	runs := make(chan run)
	seeds := int(x.LastSeed - x.FirstSeed + 1)
	results := make([][]*Measurement, len(x.Variants))
	for index := range results {
		results[index] = make([]*Measurement, seeds)
	}
	var workers sync.WaitGroup
	for worker := 0; worker < runtime.NumCPU(); worker++ {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for next := range runs {
				results[next.variant][next.seed-x.FirstSeed] = RunExperiment(x.Profile, x.Variants[next.variant], x.Duration, next.seed)
			}
		}()
	}
	for variant := range x.Variants {
		for seed := x.FirstSeed; seed <= x.LastSeed; seed++ {
			runs <- run{variant, seed}
		}
	}
	close(runs)
	workers.Wait()
	return mergeSeeds(x.Variants, results)
}

func mergeSeeds(variants []Variant, results [][]*Measurement) []*Measurement {
	var merged []*Measurement
	for index, variant := range variants {
		total := newMeasured(variant)
		for _, measured := range results[index] {
			total.add(measured)
		}
		merged = append(merged, total)
	}
	return merged
}

// prompt returns a text of the given number of words that shares its beginning
// with others of its kind.
func promptOf(id string, words int) string {
	return strings.Repeat("room ", words) + "timetable clash " + id
}
