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
	// ReservePercent is the fixed reserve. With AdaptiveReserve it is the maximum of the adaptive
	// reserve.
	ReservePercent  int
	AdaptiveReserve bool
	// EnginePriorities leaves the order of work to the engines: the scheduler preempts nothing and
	// keeps no slot free.
	EnginePriorities bool
	// Surge is the factor of the online load from SurgeFrom to SurgeTo, counted from the end of the
	// warm-up. Zero means no surge.
	Surge              int
	SurgeFrom, SurgeTo time.Duration
}

// Variants returns the variants that an experiment compares.
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

// Measurement holds the measured values of one variant over all seeds.
type Measurement struct {
	Variant Variant
	// FirstToken, Gap and PreemptionLatency are in microseconds: from a request to its first token,
	// between two tokens of a request, and from the decision to cancel a batch attempt until its
	// engine has cancelled it.
	FirstToken        *hdrhistogram.Histogram
	Gap               *hdrhistogram.Histogram
	PreemptionLatency *hdrhistogram.Histogram
	// RejectionLatency is the time from a request to its failure, in microseconds.
	RejectionLatency *hdrhistogram.Histogram
	// BatchTokens and OnlineTokens are generated tokens a second, one value per seed.
	BatchTokens  []float64
	OnlineTokens []float64
	// OnlineShare is the fraction of slot time that online work used, one value per seed.
	OnlineShare []float64
	Requests    int
	Completed   int
	Rejected    int
	Preemptions int
	Violations  []Violation
	// Goodput counts the successful answers by the second of their end after the warm-up.
	Goodput []int
}

func newMeasurement(variant Variant) *Measurement {
	return &Measurement{Variant: variant, FirstToken: loadgen.NewHistogram(), Gap: loadgen.NewHistogram(), PreemptionLatency: loadgen.NewHistogram(), RejectionLatency: loadgen.NewHistogram()}
}

func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	// An error means that the value is out of range, which is far beyond every deadline.
	_ = histogram.RecordValue(duration.Microseconds())
}

func (m *Measurement) merge(other *Measurement) {
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

// experiment collects the measurements of one run, from start to end.
type experiment struct {
	measurement  *Measurement
	start, end   time.Time
	batchTokens  int
	onlineTokens int
	onlineSlots  float64
	slots        float64
}

const (
	experimentWarmUp = 8 * time.Second
	// minWaitingItems is the number of batch items below which another job is submitted, so that
	// the fleet never runs out of items.
	minWaitingItems = 1200
	// burstInterval, burstSize and burstDuration describe bursts of short requests. burstSize is the
	// size of a burst for 12 workers.
	burstInterval = 8 * time.Second
	burstSize     = 120
	burstDuration = 500 * time.Millisecond
	// longRequestShare is the fraction of requests with a long prompt.
	longRequestShare = 0.05
)

// experimentProfile returns the profile with engines of the default capacity and without the
// callers of failure runs, as experiments make their own load.
func experimentProfile(profile Profile, variant Variant, duration time.Duration) Profile {
	capacity := emulator.DefaultCapacity()
	profile.Engine = &capacity
	profile.ReservePercent = variant.ReservePercent
	profile.OnlineCallers = 0
	profile.BatchCallers = 0
	profile.ChangeInterval = 10 * time.Second
	profile.FaultsTo = experimentWarmUp + duration
	return profile
}

// RunExperiment runs one variant with one seed and measures it for the duration given, after the
// warm-up.
func RunExperiment(profile Profile, variant Variant, duration time.Duration, seed uint64) *Measurement {
	w := newWorld(Options{Profile: experimentProfile(profile, variant, duration), Seed: seed, Variant: variant})
	w.experiment = &experiment{
		measurement: newMeasurement(variant),
		start:       simulationStart.Add(experimentWarmUp),
		end:         simulationStart.Add(experimentWarmUp + duration),
	}
	w.startLoad()
	if variant.Batch {
		w.keepItemsWaiting()
	}
	if variant.Online {
		w.sendSteadyLoad(variant)
		w.sendBursts()
	}
	w.every(&w.platform.process, sampleInterval, w.sampleSlots)
	w.clock.runUntil(w.experiment.end.Add(2*time.Second), w.hasViolation)
	return w.experiment.finish(w)
}

const sampleInterval = 50 * time.Millisecond

// sampleSlots samples how many slots online work uses.
func (w *World) sampleSlots() {
	if !w.measuring() {
		return
	}
	for _, e := range w.engines {
		online := 0
		for _, id := range e.attemptIDs {
			if attempt := e.attempts[id]; attempt.online && !attempt.finished && !attempt.cancelled {
				online++
			}
		}
		w.experiment.onlineSlots += float64(online)
		w.experiment.slots += float64(w.profile.Engine.Slots)
	}
}

func (w *World) measuring() bool {
	return w.experiment != nil && !w.clock.now.Before(w.experiment.start) && w.clock.now.Before(w.experiment.end)
}

// finish computes the values that are known at the end of the run.
func (x *experiment) finish(w *World) *Measurement {
	m := x.measurement
	seconds := x.end.Sub(x.start).Seconds()
	m.BatchTokens = []float64{float64(x.batchTokens) / seconds}
	m.OnlineTokens = []float64{float64(x.onlineTokens) / seconds}
	m.OnlineShare = []float64{x.onlineSlots / max(x.slots, 1)}
	m.Preemptions = w.ledger.preemptions
	m.Violations = w.ledger.violations
	for _, record := range w.ledger.requestOrder {
		if record.sentAt.Before(x.start) || !record.sentAt.Before(x.end) {
			continue
		}
		m.Requests++
		switch {
		case record.finished && record.err == nil:
			m.Completed++
		case record.finished && failure.Is(record.err, failure.NotRun):
			m.Rejected++
		}
	}
	return m
}

// recordToken counts a token that an engine has generated.
func (w *World) recordToken(online bool) {
	if !w.measuring() {
		return
	}
	if online {
		w.experiment.onlineTokens++
	} else {
		w.experiment.batchTokens++
	}
}

// sendSteadyLoad sends short and long online requests at random intervals, at a rate that is
// proportional to the number of workers.
func (w *World) sendSteadyLoad(variant Variant) {
	p := w.newCaller("desk")
	count := 0
	var sendNext func()
	sendNext = func() {
		if w.clock.now.After(w.experiment.end) {
			return
		}
		count++
		w.sendOnline(p, fmt.Sprintf("s.%d", count))
		rate := steadyRatePerWorker * float64(w.profile.Workers)
		if since := w.clock.now.Sub(w.experiment.start); variant.Surge > 0 && since >= variant.SurgeFrom && since < variant.SurgeTo {
			rate *= float64(variant.Surge)
		}
		w.timer(p, time.Duration(w.workload.ExpFloat64()/rate*float64(time.Second)), sendNext)
	}
	w.timer(p, w.profile.WarmUp, sendNext)
}

// steadyRatePerWorker is in requests a second; the requests use about a quarter of a worker's
// slots.
const steadyRatePerWorker = 10.0

// sendBursts sends many online requests within burstDuration, at every burstInterval.
func (w *World) sendBursts() {
	p := w.newCaller("counter")
	count := 0
	w.every(p, burstInterval, func() {
		for number := 0; number < burstSize*w.profile.Workers/12; number++ {
			count++
			id := fmt.Sprintf("b.%d", count)
			w.timer(p, time.Duration(w.workload.Float64()*float64(burstDuration)), func() { w.sendOnline(p, id) })
		}
	})
}

// keepItemsWaiting submits another batch job whenever fewer than minWaitingItems items wait.
func (w *World) keepItemsWaiting() {
	p := w.newCaller("term")
	count := 0
	w.timer(p, w.profile.WarmUp, func() {
		w.every(p, 100*time.Millisecond, func() {
			if w.waitingItems() >= minWaitingItems {
				return
			}
			count++
			w.submit(p, w.ledger.newJob(w, fmt.Sprintf("heap-x-%d", count), 200))
		})
	})
}

// waitingItems returns the number of submitted items that have no result yet.
func (w *World) waitingItems() int {
	waiting := 0
	for _, job := range w.ledger.jobs {
		if job.id == "" {
			waiting += len(job.lines)
			continue
		}
		if job.completed {
			continue
		}
		record, err := w.readJobRecord(groupOf(job), job.id)
		if err != nil {
			continue
		}
		job.completed = int(record.Succeeded) == len(job.lines)
		waiting += len(job.lines) - int(record.Succeeded)
	}
	return waiting
}

// requestShape returns random lengths for the prompt and the answer of an online request.
func (w *World) requestShape(random *rand.Rand) (words, tokens int) {
	if w.experiment == nil {
		return random.IntN(40), 8 + random.IntN(24)
	}
	if random.Float64() < longRequestShare {
		return 1500 + random.IntN(1500), 64
	}
	return 20 + random.IntN(100), 16 + random.IntN(48)
}

// Experiment runs each variant with each seed from FirstSeed to LastSeed.
type Experiment struct {
	Profile  Profile
	Variants []Variant
	// Duration is the measured time of each run, after the warm-up.
	Duration  time.Duration
	FirstSeed uint64
	LastSeed  uint64
}

// Run runs all variants over all seeds, one run per processor at a time, and returns one
// measurement per variant.
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
		total := newMeasurement(variant)
		for _, measurement := range results[index] {
			total.merge(measurement)
		}
		merged = append(merged, total)
	}
	return merged
}

// promptOf returns a prompt with the given number of words before its id. Prompts start with the
// same words, so that they share a prefix.
func promptOf(id string, words int) string {
	return strings.Repeat("room ", words) + "timetable clash " + id
}
