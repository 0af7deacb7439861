package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/coordination"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/jobstate"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Profile is a deployment with its load.
type Profile struct {
	Name           string
	Zones          int
	Workers        int
	Dispatchers    int
	Gateways       int
	Latencies      latencies
	OnlineCallers  int
	OnlineInterval time.Duration
	BatchCallers   int
	JobInterval    time.Duration
	JobItems       int
	ChangeInterval time.Duration
	ReservePercent int
	EngineStep     time.Duration
	// Engine is the capacity of engines in experiments; nil means the small engines of failure
	// runs.
	Engine *emulator.Capacity
	// WarmUp is when load begins. Faults are injected from FaultsFrom to FaultsTo. All three count
	// from the start of the run. Recovery is how long after FaultsTo the fleet may take to recover
	// and finish its work.
	WarmUp     time.Duration
	FaultsFrom time.Duration
	FaultsTo   time.Duration
	Recovery   time.Duration
	FaultCount int
}

func profile(name string, zones, workers int, jobInterval time.Duration) Profile {
	return Profile{
		Name:           name,
		Zones:          zones,
		Workers:        workers,
		Dispatchers:    3,
		Gateways:       3,
		Latencies:      latencies{sameZone: 200 * time.Microsecond, otherZone: time.Millisecond, client: 3 * time.Millisecond, jitter: 300 * time.Microsecond},
		OnlineCallers:  3,
		OnlineInterval: 400 * time.Millisecond,
		BatchCallers:   2,
		JobInterval:    jobInterval,
		JobItems:       30,
		ChangeInterval: 1500 * time.Millisecond,
		ReservePercent: 25,
		EngineStep:     20 * time.Millisecond,
		WarmUp:         5 * time.Second,
		FaultsFrom:     6 * time.Second,
		FaultsTo:       20 * time.Second,
		Recovery:       60 * time.Second,
		FaultCount:     8,
	}
}

// Profiles returns the deployments by name. In each, two callers submit batch jobs at the rates
// that the users gave.
func Profiles() map[string]Profile {
	return map[string]Profile{
		"stundir": profile("stundir", 3, 12, 8*time.Second),
		"kotare":  profile("kotare", 4, 18, 9*time.Second),
		"target":  targetProfile(),
	}
}

// targetProfile is a fleet of the size that the system is designed for, with little load. It shows
// the behaviour of control and the daemons at that size.
func targetProfile() Profile {
	target := profile("target", 9, 600, 8*time.Second)
	target.Dispatchers = 200
	target.Gateways = 130
	target.FaultsFrom = 8 * time.Second
	target.FaultsTo = 10 * time.Second
	target.FaultCount = 1
	return target
}

// Options configure one run.
type Options struct {
	Profile    Profile
	Seed       uint64
	FaultKinds []string
	Mutation   Mutation
	// Variant is set in experiments.
	Variant Variant
	// Schedule, if not nil, replaces the schedule that is drawn from the seed.
	Schedule []Fault
}

// World is one simulated fleet.
type World struct {
	profile           Profile
	variant           Variant
	experiment        *experiment
	mutation          Mutation
	clock             clock
	random            *rand.Rand
	workload          *rand.Rand
	network           network
	faults            faultState
	ledger            *ledger
	controls          []*controlProcess
	engines           []*engineProcess
	dispatchers       []*dispatcherProcess
	gateways          []*gatewayProcess
	platform          *platformProcess
	identities        uint64
	incarnations      uint64
	enginesByName     map[string]*engineProcess
	dispatchersByName map[string]*dispatcherProcess
	controlCalls      map[int64]int
	raceCount         int
	recoveryDeadline  time.Time
	plannedStopsOnly  bool
}

// Result holds the outcome of a run. Rejected is the number of requests without a complete answer.
// Items is the number of results of batch items that were read.
type Result struct {
	Seed        uint64
	Profile     string
	Schedule    []Fault
	Violations  []Violation
	Injected    map[string]int
	Requests    int
	Completed   int
	Rejected    int
	Jobs        int
	Items       int
	Changes     int
	Preemptions int
	Resumes     int
	// LeaderFailover, WorkerReassignment, InForce and InForceUnderFault are described at timings.
	LeaderFailover     []time.Duration
	WorkerReassignment []time.Duration
	InForce            []time.Duration
	InForceUnderFault  []time.Duration
	// PeakControlCalls is the highest number of calls to control in one second, from
	// Profile.FaultsFrom on.
	PeakControlCalls int
	// VirtualTime is the simulated time.
	VirtualTime time.Duration
}

// Streams of random numbers that are derived from one seed. They are separate so that a run with
// one fault less has the same load.
const (
	streamNetwork = iota + 1
	streamWorkload
	streamSchedule
	streamFleet
)

// Run simulates one seed.
func Run(options Options) *Result {
	w := newWorld(options)
	schedule := options.Schedule
	if schedule == nil {
		schedule = drawSchedule(rand.New(rand.NewPCG(options.Seed, streamSchedule)), options.FaultKinds, w.profile.FaultsFrom, w.profile.FaultsTo, w.profile.FaultCount)
	}
	w.plannedStopsOnly = true
	for _, fault := range schedule {
		w.plannedStopsOnly = w.plannedStopsOnly && faultKinds[fault.Kind].planned
	}
	w.scheduleFaults(schedule)
	w.startLoad()
	w.clock.runUntil(simulationStart.Add(w.profile.FaultsTo), w.hasViolation)
	w.awaitRecovery()
	return w.result(options, schedule)
}

func newWorld(options Options) *World {
	w := &World{
		profile:  options.Profile,
		mutation: options.Mutation,
		variant:  options.Variant,
		clock:    clock{now: simulationStart},
		random:   rand.New(rand.NewPCG(options.Seed, streamFleet)),
		workload: rand.New(rand.NewPCG(options.Seed, streamWorkload)),
		network: network{
			latencies: options.Profile.Latencies,
			loss:      0.0005,
			cutLinks:  map[[2]string]bool{},
			random:    rand.New(rand.NewPCG(options.Seed, streamNetwork)),
		},
		faults:            faultState{counts: map[string]int{}},
		enginesByName:     map[string]*engineProcess{},
		dispatchersByName: map[string]*dispatcherProcess{},
		controlCalls:      map[int64]int{},
	}
	w.ledger = newLedger(&w.clock)
	w.ledger.faultFree = func() bool { return len(w.faults.counts) == 0 }
	w.ledger.timings.servingDaemons = w.servingDaemons
	w.ledger.timings.faulty = func() bool { return w.faults.active > 0 }
	w.recoveryDeadline = simulationStart.Add(w.profile.FaultsTo + w.profile.Recovery)
	w.addPlatform()
	for number := 0; number < w.profile.Workers; number++ {
		w.addEngine(number)
	}
	for number := 0; number < controlCount; number++ {
		w.addControl(number)
		w.applyDiskMutation(w.controls[number].disk)
	}
	for _, c := range w.controls {
		c.start()
	}
	for number := 0; number < w.profile.Dispatchers; number++ {
		w.addDispatcher(number)
	}
	for number := 0; number < w.profile.Gateways; number++ {
		w.addGateway(number)
	}
	return w
}

func (w *World) startLoad() {
	w.every(&w.platform.process, timingInterval, func() { w.ledger.timings.checkPending(w.clock.now) })
	end := simulationStart.Add(w.profile.FaultsTo)
	w.clock.after(w.profile.WarmUp/3, w.createTenant)
	for number := 0; number < w.profile.OnlineCallers; number++ {
		w.onlineCaller(number, end)
	}
	for number := 0; number < w.profile.BatchCallers; number++ {
		w.batchCaller(number, end)
	}
	for number := 1; number <= 2; number++ {
		w.operator(number, end)
	}
}

// hasViolation reports whether a promise has been broken, which ends the run.
func (w *World) hasViolation() bool { return len(w.ledger.violations) > 0 }

// allProcesses returns all processes except callers.
func (w *World) allProcesses() []*process {
	var all []*process
	for _, c := range w.controls {
		all = append(all, &c.process)
	}
	for _, e := range w.engines {
		all = append(all, &e.process)
	}
	for _, d := range w.dispatchers {
		all = append(all, &d.process)
	}
	for _, g := range w.gateways {
		all = append(all, &g.process)
	}
	return append(all, &w.platform.process)
}

// servingDaemons returns the names of the daemons that serve. Daemons that don't serve reject work,
// and so don't use their configuration.
func (w *World) servingDaemons() []string {
	var names []string
	for _, d := range w.dispatchers {
		if w.serving(&d.process, d.session) {
			names = append(names, d.name)
		}
	}
	for _, g := range w.gateways {
		if w.serving(&g.process, g.session) {
			names = append(names, g.name)
		}
	}
	return names
}

func (w *World) serving(p *process, s *session) bool {
	return p.alive && !w.clock.now.Before(p.frozenUntil) && s.serves()
}

const (
	timingInterval = 20 * time.Millisecond
	recoveryPoll   = 500 * time.Millisecond
	readRounds     = 15
	readInterval   = 2 * time.Second
)

// awaitRecovery runs the fleet until all work has ended, which must happen within Profile.Recovery,
// and checks the final state.
func (w *World) awaitRecovery() {
	for !w.hasViolation() {
		w.clock.runUntil(w.clock.now.Add(recoveryPoll), w.hasViolation)
		missing := w.unfinished()
		if missing == "" {
			break
		}
		if w.clock.now.After(w.recoveryDeadline) {
			w.ledger.violate("recovery", "not recovered %s after the faults: %s", w.profile.Recovery, missing)
			return
		}
	}
	if w.hasViolation() {
		return
	}
	if leader := w.metaLeaderProcess(); leader != nil {
		w.ledger.checkHistory(leader.meta.History(1 << 20))
	}
	w.readAllResults()
}

// unfinished describes one request, job or change that has not ended yet. It is empty if there is
// none.
func (w *World) unfinished() string {
	for _, record := range w.ledger.requestOrder {
		if !record.finished {
			return "request " + record.id + " has no answer"
		}
	}
	for _, job := range w.ledger.jobs {
		if job.id == "" {
			return "job " + job.key + " is not accepted"
		}
		group := jobstate.GroupOfTenant(job.tenant, jobGroups)
		record, err := w.readJobRecord(group, job.id)
		if err != nil {
			return fmt.Sprintf("job %s: %v", job.id, err)
		}
		if !job.hasFinalState(&record) {
			return fmt.Sprintf("job %s is %s with %d of %d items", job.id, record.State, record.Succeeded, record.Items)
		}
	}
	for _, id := range sortedKeys(w.ledger.changes) {
		if change := w.ledger.changes[id]; change.revision == 0 && !change.rejected {
			return "change " + id + " has no answer"
		}
	}
	if len(w.ledger.timings.pending) > 0 {
		return fmt.Sprintf("revision %d is not in force everywhere", w.ledger.timings.pending[0].revision)
	}
	return ""
}

// readJobRecord reads a job at the leader of its group.
func (w *World) readJobRecord(group int, id string) (wire.JobRecord, error) {
	var record wire.JobRecord
	err := errNoLeader
	for _, c := range w.controls {
		if !c.alive {
			continue
		}
		read := c.readJobs(group, func(*coordination.JobLeader, storage.Reader) (err error) {
			record, err = c.jobs[group-1].Job("", id)
			return err
		})
		if read == nil {
			return record, nil
		}
	}
	return record, err
}

var errNoLeader = fmt.Errorf("no %s of its group", consensus.Leader)

// readAllResults reads all jobs several times and checks that every result of a job that was not
// cancelled is readable.
func (w *World) readAllResults() {
	p := w.newCaller("reader")
	for _, job := range w.ledger.jobs {
		w.readJob(p, job)
	}
	w.clock.runUntil(w.clock.now.Add(readInterval), w.hasViolation)
	for round := 0; round < readRounds; round++ {
		for _, job := range w.ledger.jobs {
			w.readJob(p, job)
		}
		w.clock.runUntil(w.clock.now.Add(readInterval), w.hasViolation)
	}
	for _, job := range w.ledger.jobs {
		if job.cancelledAt.IsZero() && !job.cancelRequested && len(job.results) != len(job.lines) && !w.hasViolation() {
			w.ledger.violate("readable", "job %s has %d of %d results readable", job.id, len(job.results), len(job.lines))
		}
	}
}

// result collects the outcome of the run.
func (w *World) result(options Options, schedule []Fault) *Result {
	result := &Result{
		Seed:               options.Seed,
		Profile:            w.profile.Name,
		Schedule:           schedule,
		Violations:         w.ledger.violations,
		Injected:           w.faults.counts,
		Requests:           len(w.ledger.requestOrder),
		Jobs:               len(w.ledger.jobs),
		Changes:            len(w.ledger.accepted),
		Preemptions:        w.ledger.preemptions,
		Resumes:            w.ledger.resumes,
		LeaderFailover:     w.ledger.timings.LeaderFailover,
		WorkerReassignment: w.ledger.timings.WorkerReassignment,
		InForce:            w.ledger.timings.InForce,
		InForceUnderFault:  w.ledger.timings.InForceUnderFault,
		VirtualTime:        w.clock.now.Sub(simulationStart),
	}
	for second, calls := range w.controlCalls {
		if second >= simulationStart.Add(w.profile.FaultsFrom).Unix() {
			result.PeakControlCalls = max(result.PeakControlCalls, calls)
		}
	}
	for _, record := range w.ledger.requestOrder {
		if record.finished && record.err == nil {
			result.Completed++
		}
	}
	result.Rejected = result.Requests - result.Completed
	for _, job := range w.ledger.jobs {
		result.Items += len(job.results)
	}
	return result
}
