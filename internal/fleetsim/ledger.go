package fleetsim

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/tenancy"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// viewOfFleet shortens the signatures of functions that read as the leader.
type viewOfFleet = fleetview.View

func newMemory() *storage.Memory { return storage.NewMemory() }

const (
	// actInterval is the time between two rounds of item records. Submissions, configuration changes
	// and requests to end a job come at multiples of it.
	actInterval  = 60 * time.Millisecond
	readInterval = 90 * time.Millisecond
	itemsPerJob  = 3
	// maxTokens is the token quota of each tenant, small enough that only a few jobs fit at a time.
	maxTokens = 6
)

// tenants are the owners of jobs. The empty name stands for jobs without an owner.
var tenants = []tenancy.Name{"a", "b", ""}

// ledger acts as callers, operators and readers, and records what they were promised.
type ledger struct {
	world      *World
	violations []string
	version    uint64
	// acknowledged is the highest configuration version acknowledged to an operator.
	acknowledged uint64
	jobs         map[string]*jobRecord
	chains       *chains
	jobIDs       []string
}

// jobRecord holds what callers know about a job.
type jobRecord struct {
	owner        tenancy.Name
	accepted     bool
	ended        bool
	endRequested bool
	results      []wire.BatchResultRow
}

func newLedger(w *World) *ledger {
	return &ledger{world: w, jobs: map[string]*jobRecord{}, chains: newChains(w.versionRandom, w.mutation)}
}

// recordViolation records a violation with its time in the run. Only the first five are kept.
func (l *ledger) recordViolation(format string, arguments ...any) {
	if len(l.violations) < 5 {
		l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", l.world.now.Sub(startTime).Seconds())+fmt.Sprintf(format, arguments...))
	}
}

// start schedules the actions of callers, operators and readers.
func (l *ledger) start() {
	w := l.world
	repeat := func(interval time.Duration, action func()) {
		w.every(interval, func() bool { action(); return true })
	}
	repeat(5*actInterval, l.changeConfiguration)
	repeat(4*actInterval, l.submitJob)
	repeat(actInterval, l.recordProgress)
	repeat(20*actInterval, l.endJob)
	repeat(readInterval, l.readConfiguration)
	repeat(readInterval, l.readJobs)
}

// randomMachine returns a random machine of the kind, nil if that machine is down or frozen.
func (l *ledger) randomMachine(kind kind) *machine {
	machines := l.world.machinesOf(kind)
	if len(machines) == 0 {
		return nil
	}
	m := machines[l.world.random.IntN(len(machines))]
	if !m.alive || m.frozen {
		return nil
	}
	return m
}

func (l *ledger) changeConfiguration() {
	m := l.randomMachine(kindCoordinator)
	if m == nil {
		return
	}
	l.version += uint64(1 + l.world.random.IntN(3))
	version := l.version
	if l.world.random.IntN(5) == 0 {
		// Send an older change once more.
		version -= min(version, uint64(l.world.random.IntN(4)))
	}
	source := []byte(fmt.Sprintf("source %d", version))
	m.propose(0, &wire.FleetCommand{Apply: &wire.ApplyRoutes{Version: version, Document: source, Source: source}}, func(_ []byte, err error) {
		if err == nil {
			l.acknowledged = max(l.acknowledged, version)
		}
	})
}

// readConfiguration reads at a random coordinator. The answer must not be older than what was
// acknowledged before.
func (l *ledger) readConfiguration() {
	if m := l.randomMachine(kindCoordinator); m != nil {
		m.readAsLeader(func(*viewOfFleet) { l.checkConfiguration(m) })
	}
}

func (l *ledger) checkConfiguration(m *machine) {
	routes := m.fleet.Routes()
	if routes.Version < l.acknowledged {
		l.recordViolation("%s reads version %d after %d was acknowledged", m.name, routes.Version, l.acknowledged)
	}
	if routes.Source != nil && string(routes.Source) != fmt.Sprintf("source %d", routes.Version) {
		l.recordViolation("%s reads %q under version %d", m.name, routes.Source, routes.Version)
	}
}

func (l *ledger) submitJob() {
	m := l.randomMachine(kindStore)
	if m == nil {
		return
	}
	owner := tenants[len(l.jobIDs)%len(tenants)]
	id := tenancy.ScopedName(owner, fmt.Sprintf("job-%d", len(l.jobIDs)))
	if len(l.jobIDs) > 0 && l.world.random.IntN(4) == 0 {
		id = l.jobIDs[l.world.random.IntN(len(l.jobIDs))]
	}
	known := l.jobs[id]
	if known == nil {
		known = &jobRecord{owner: owner}
		l.jobs[id] = known
		l.jobIDs = append(l.jobIDs, id)
	}
	submit := &wire.SubmitBatch{ID: id, Route: "r", Host: "h", Owner: string(known.owner), Limit: maxTokens}
	for i := 0; i < itemsPerJob; i++ {
		submit.Items = append(submit.Items, wire.BatchItem{ID: fmt.Sprintf("%s-%d", id, i), Path: "/", Body: []byte(id), Tokens: 1})
	}
	m.propose(groupOf(id), &wire.BatchCommand{Submit: submit}, func(answer []byte, err error) {
		var result wire.BatchResult
		if err != nil {
			return
		}
		if _, err := result.UnmarshalMsg(answer); err != nil {
			l.recordViolation("the answer to a submission can't be decoded: %v", err)
			return
		}
		if result.Failure == nil {
			known.accepted = true
		} else if known.accepted && !known.endRequested {
			l.recordViolation("%s was accepted before and is now rejected: %s", id, result.Failure.Message)
		}
	})
}

// recordProgress records progress and results of items at the leaders of groups, as their batch
// runners do.
func (l *ledger) recordProgress() {
	m := l.randomMachine(kindStore)
	if m == nil {
		return
	}
	for group := range groups {
		command := &wire.BatchCommand{Record: &wire.RecordItems{}, Save: &wire.RecordItems{}}
		_ = m.node.Read(m.clock(), group, func(uint64, storage.Reader) error {
			for _, id := range l.jobIDs {
				if job, err := m.batch[group].Job(id); err == nil && job.Open() && l.world.random.IntN(3) == 0 {
					l.addRecord(command, job, m.earlierBuild)
				}
			}
			return nil
		})
		if len(command.Record.Items)+len(command.Save.Items) > 0 {
			m.propose(group, command, nil)
		}
	}
}

// addRecord adds the next record of a random item to the command.
func (l *ledger) addRecord(command *wire.BatchCommand, job *batchstate.Job, earlierBuild bool) {
	number := l.world.random.IntN(len(job.Items))
	item := &job.Items[number]
	random := l.world.random
	serving := servingVersions(l.world.now.Sub(startTime))
	picked := l.chains.pick(item, serving, earlierBuild, random.IntN(4) == 0, random.IntN(maxChainsPerItem))
	record := picked.next(job.ID, number, item.ID, l.chains.versions[picked.id])
	switch l.world.random.IntN(4) {
	case 0:
		picked.complete(&record)
	case 1:
		if l.world.random.IntN(4) == 0 {
			record.State = wire.ItemAbandoned
		}
	}
	if record.State == wire.ItemWaiting && !picked.recorded {
		command.Save.Items = append(command.Save.Items, record)
		return
	}
	command.Record.Items = append(command.Record.Items, record)
}

// endJob asks a random store to end a random job.
func (l *ledger) endJob() {
	m := l.randomMachine(kindStore)
	if m == nil || len(l.jobIDs) == 0 {
		return
	}
	id := l.jobIDs[l.world.random.IntN(len(l.jobIDs))]
	known := l.jobs[id]
	known.endRequested = true
	m.propose(groupOf(id), &wire.BatchCommand{End: &wire.BatchName{ID: id}}, func(answer []byte, err error) {
		var result wire.BatchResult
		if err != nil {
			return
		}
		if _, err := result.UnmarshalMsg(answer); err == nil && result.Failure == nil {
			known.ended = true
		}
	})
}

// readJobs reads all jobs at a random store, for each group whose reads it answers.
func (l *ledger) readJobs() {
	if m := l.randomMachine(kindStore); m != nil {
		for group := range groups {
			_ = m.node.Read(m.clock(), group, func(_ uint64, reader storage.Reader) error {
				l.checkJobs(m, group, reader)
				return nil
			})
		}
	}
}

// groupOf returns the group that stores a job.
func groupOf(id string) int { return placement.GroupOf(id, groups) }

func (l *ledger) checkJobs(m *machine, group int, reader storage.Reader) {
	for _, id := range l.jobIDs {
		if groupOf(id) != group {
			continue
		}
		known := l.jobs[id]
		read, err := m.batch[group].Read(reader, id, 0, 1<<20)
		if failure.Is(err, failure.NotFound) {
			if known.accepted || len(known.results) > 0 {
				l.recordViolation("%s has lost job %s", m.name, id)
			}
			continue
		}
		if err != nil {
			l.recordViolation("%s can't read %s: %v", m.name, id, err)
			continue
		}
		l.checkResults(m, id, known, read.Results)
		l.checkBodies(m, reader, id)
		l.checkOwner(m, id, known)
	}
	l.checkQuota(m, group)
}

// checkOwner checks that a job belongs to the tenant that submitted it.
func (l *ledger) checkOwner(m *machine, id string, known *jobRecord) {
	if job, err := m.batch[groupOf(id)].Job(id); err == nil && job.Owner != known.owner {
		l.recordViolation("%s says that %q belongs to %q, not to %q", m.name, id, job.Owner, known.owner)
	}
}

// checkQuota checks that no tenant has more waiting tokens in a group than its quota.
func (l *ledger) checkQuota(m *machine, group int) {
	waiting := map[tenancy.Name]int64{}
	m.batch[group].EachJob(func(job *batchstate.Job) {
		if job.Ended || l.jobs[job.ID] == nil {
			return
		}
		for i := range job.Items {
			if job.Items[i].State == wire.ItemWaiting {
				waiting[l.jobs[job.ID].owner] += job.Items[i].Tokens
			}
		}
	})
	for owner, tokens := range waiting {
		if tokens > maxTokens {
			l.recordViolation("%s has %d waiting tokens of tenant %q, more than the quota of %d", m.name, tokens, owner, maxTokens)
		}
	}
}

// checkResults checks that results that were read before are still there and unchanged, and that no
// item has two results.
func (l *ledger) checkResults(m *machine, id string, known *jobRecord, results []wire.BatchResultRow) {
	if len(results) < len(known.results) {
		l.recordViolation("%s lists %d results of %s, %d were read before", m.name, len(results), id, len(known.results))
		return
	}
	if known.ended && len(results) > len(known.results) && len(known.results) > 0 && l.jobs[id].ended {
		// Results that were committed before the job ended may be read for the first time after its
		// end. After that read the list must not grow again; this check does not detect it if the
		// list does grow.
		known.results = results
	}
	items := map[string]bool{}
	for position, row := range results {
		if position < len(known.results) && known.results[position] != row {
			l.recordViolation("result %d of %s changed from %+v to %+v", position, id, known.results[position], row)
		}
		if items[row.ID] {
			l.recordViolation("item %s has two results in %s", row.ID, id)
		}
		items[row.ID] = true
		if row.State == wire.ItemCompleted {
			l.checkText(row)
		}
	}
	known.results = results
}

// checkText checks that no event is missing or repeated, and that each chain started where the part
// of the text before it ends.
func (l *ledger) checkText(row wire.BatchResultRow) {
	if fault := l.chains.textFault(row.ID, row.Text); fault != "" {
		l.recordViolation("%s has the text %q: %s", row.ID, row.Text, fault)
	}
}

func (l *ledger) checkBodies(m *machine, reader storage.Reader, id string) {
	job, err := m.batch[groupOf(id)].Job(id)
	if err != nil || job.Ended {
		return
	}
	for number := range job.Items {
		if job.Items[number].State != wire.ItemWaiting {
			continue
		}
		content, err := m.batch[groupOf(id)].Content(reader, id, number)
		if err != nil || string(content.Body) != id {
			l.recordViolation("%s has lost the body of %s-%d: %v", m.name, id, number, err)
		}
	}
}

// checkFinalState checks that after the heal all groups answer reads, hold what was promised, and
// have replaced every lost disk.
func (l *ledger) checkFinalState() {
	for _, kind := range []kind{kindCoordinator, kindStore} {
		if !l.world.repaired(kind) {
			l.recordViolation("at the end, a group lacks a leader or stable voters whose disks are all present")
		}
	}
	if !l.checkReads(kindCoordinator, 0, func(m *machine, _ storage.Reader) { l.checkConfiguration(m) }) {
		l.recordViolation("no coordinator answers reads at the end")
	}
	for group := range groups {
		if !l.checkReads(kindStore, group, func(m *machine, reader storage.Reader) { l.checkJobs(m, group, reader) }) {
			l.recordViolation("no store answers reads of group %d at the end", group)
		}
	}
}

// checkReads runs a check at every machine of the kind that answers reads of the group, and reports
// whether any does.
func (l *ledger) checkReads(kind kind, group int, check func(m *machine, reader storage.Reader)) bool {
	answered := false
	for _, m := range l.world.machinesOf(kind) {
		if !m.alive {
			continue
		}
		err := m.node.Read(m.clock(), group, func(_ uint64, reader storage.Reader) error {
			check(m, reader)
			return nil
		})
		answered = answered || err == nil
	}
	return answered
}
