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

// viewOfFleet shortens the signatures of readers.
type viewOfFleet = fleetview.View

func newMemory() *storage.Memory { return storage.NewMemory() }

const (
	actInterval = 60 * time.Millisecond
	readCheck   = 90 * time.Millisecond
	itemsPerJob = 3
	// maxTokens is the quota of each tenant: few jobs fit at a time.
	maxTokens = 6
)

// tenants are the owners of jobs; some belong to nobody.
var tenants = []tenancy.Name{"a", "b", ""}

// ledger plays callers, operators and readers, and keeps what they were promised.
type ledger struct {
	world      *World
	violations []string
	version    uint64
	// acknowledged is the highest version that an operator was told of.
	acknowledged uint64
	jobs         map[string]*promised
	chains       *chains
	names        []string
}

// promised is what callers know of a job.
type promised struct {
	owner    tenancy.Name
	accepted bool
	ended    bool
	endAsked bool
	results  []wire.BatchResultRow
}

func newLedger(w *World) *ledger {
	return &ledger{world: w, jobs: map[string]*promised{}, chains: newChains()}
}

func (l *ledger) violate(format string, arguments ...any) {
	if len(l.violations) < 5 {
		l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", l.world.now.Sub(began).Seconds())+fmt.Sprintf(format, arguments...))
	}
}

// begin starts all who use the fleet.
func (l *ledger) begin() {
	w := l.world
	repeat := func(interval time.Duration, action func()) {
		w.every(interval, func() bool { action(); return true })
	}
	repeat(5*actInterval, l.changeConfiguration)
	repeat(4*actInterval, l.submit)
	repeat(actInterval, l.work)
	repeat(20*actInterval, l.end)
	repeat(readCheck, l.readConfiguration)
	repeat(readCheck, l.readJobs)
}

// reachable returns a random living machine of the kind.
func (l *ledger) reachable(kind kind) *machine {
	machines := l.world.of(kind)
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
	m := l.reachable(kindCoordinator)
	if m == nil {
		return
	}
	l.version += uint64(1 + l.world.random.IntN(3))
	version := l.version
	if l.world.random.IntN(5) == 0 {
		// An older change comes once more.
		version -= min(version, uint64(l.world.random.IntN(4)))
	}
	source := []byte(fmt.Sprintf("source %d", version))
	m.propose(0, &wire.FleetCommand{Apply: &wire.ApplyRoutes{Version: version, Document: source, Source: source}}, func(_ []byte, err error) {
		if err == nil {
			l.acknowledged = max(l.acknowledged, version)
		}
	})
}

// readConfiguration reads at any coordinator: what is answered must not be older
// than what was acknowledged before.
func (l *ledger) readConfiguration() {
	if m := l.reachable(kindCoordinator); m != nil {
		m.lead(func(*viewOfFleet) { l.checkConfiguration(m) })
	}
}

func (l *ledger) checkConfiguration(m *machine) {
	routes := m.fleet.Routes()
	if routes.Version < l.acknowledged {
		l.violate("%s reads version %d after %d was acknowledged", m.name, routes.Version, l.acknowledged)
	}
	if routes.Source != nil && string(routes.Source) != fmt.Sprintf("source %d", routes.Version) {
		l.violate("%s reads %q under version %d", m.name, routes.Source, routes.Version)
	}
}

func (l *ledger) submit() {
	m := l.reachable(kindStore)
	if m == nil {
		return
	}
	owner := tenants[len(l.names)%len(tenants)]
	id := tenancy.ScopedName(owner, fmt.Sprintf("job-%d", len(l.names)))
	if len(l.names) > 0 && l.world.random.IntN(4) == 0 {
		id = l.names[l.world.random.IntN(len(l.names))]
	}
	known := l.jobs[id]
	if known == nil {
		known = &promised{owner: owner}
		l.jobs[id] = known
		l.names = append(l.names, id)
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
			l.violate("an answer does not decode: %v", err)
			return
		}
		if result.Failure == nil {
			known.accepted = true
		} else if known.accepted && !known.endAsked {
			l.violate("%s was accepted and is refused: %s", id, result.Failure.Message)
		}
	})
}

// work records progress and results at the leader, as its runner would.
func (l *ledger) work() {
	m := l.reachable(kindStore)
	if m == nil {
		return
	}
	for group := range groups {
		var records []wire.ItemRecord
		_ = m.node.Read(m.clock(), group, func(uint64, storage.Reader) error {
			for _, id := range l.names {
				if job, err := m.batch[group].Job(id); err == nil && job.Open() && l.world.random.IntN(3) == 0 {
					records = append(records, l.recordOf(job))
				}
			}
			return nil
		})
		if len(records) > 0 {
			m.propose(group, &wire.BatchCommand{Record: &wire.RecordItems{Items: records}}, nil)
		}
	}
}

func (l *ledger) recordOf(job *batchstate.Job) wire.ItemRecord {
	number := l.world.random.IntN(len(job.Items))
	item := &job.Items[number]
	random := l.world.random
	record := l.chains.pick(item, random.IntN(4) == 0, random.IntN(maxChains)).next(job.ID, number, item.ID)
	switch l.world.random.IntN(4) {
	case 0:
		record.State = wire.ItemCompleted
	case 1:
		if l.world.random.IntN(4) == 0 {
			record.State = wire.ItemAbandoned
		}
	}
	return record
}

func (l *ledger) end() {
	m := l.reachable(kindStore)
	if m == nil || len(l.names) == 0 {
		return
	}
	id := l.names[l.world.random.IntN(len(l.names))]
	known := l.jobs[id]
	known.endAsked = true
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

// readJobs reads all jobs at any store that answers reads.
func (l *ledger) readJobs() {
	if m := l.reachable(kindStore); m != nil {
		for group := range groups {
			_ = m.node.Read(m.clock(), group, func(_ uint64, reader storage.Reader) error {
				l.checkJobs(m, group, reader)
				return nil
			})
		}
	}
}

// groupOf returns the group that keeps a job.
func groupOf(id string) int { return placement.GroupOf(id, groups) }

func (l *ledger) checkJobs(m *machine, group int, reader storage.Reader) {
	for _, id := range l.names {
		if groupOf(id) != group {
			continue
		}
		known := l.jobs[id]
		read, err := m.batch[group].Read(reader, id, 0, 1<<20)
		if failure.Is(err, failure.NotFound) {
			if known.accepted || len(known.results) > 0 {
				l.violate("%s has lost %s", m.name, id)
			}
			continue
		}
		if err != nil {
			l.violate("%s can't read %s: %v", m.name, id, err)
			continue
		}
		l.checkResults(m, id, known, read.Results)
		l.checkBodies(m, reader, id)
		l.checkOwner(m, id, known)
	}
	l.checkQuota(m, group)
}

// checkOwner checks that a job belongs to whom handed it in.
func (l *ledger) checkOwner(m *machine, id string, known *promised) {
	if job, err := m.batch[groupOf(id)].Job(id); err == nil && job.Owner != known.owner {
		l.violate("%s says that %q belongs to %q, not to %q", m.name, id, job.Owner, known.owner)
	}
}

// checkQuota checks that no tenant has more tokens waiting in a group than it may.
func (l *ledger) checkQuota(m *machine, group int) {
	waiting := map[tenancy.Name]int64{}
	m.batch[group].EachJob(func(job *batchstate.Job) {
		if job.Ended {
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
			l.violate("%s has %d tokens of %q waiting, %d may", m.name, tokens, owner, maxTokens)
		}
	}
}

func (l *ledger) checkResults(m *machine, id string, known *promised, results []wire.BatchResultRow) {
	if len(results) < len(known.results) {
		l.violate("%s lists %d results of %s, %d were read before", m.name, len(results), id, len(known.results))
		return
	}
	if known.ended && len(results) > len(known.results) && len(known.results) > 0 && l.jobs[id].ended {
		// What was committed before the end may be read after it for the first
		// time; it must not grow again later, which the next read shows.
		known.results = results
	}
	items := map[string]bool{}
	for position, row := range results {
		if position < len(known.results) && known.results[position] != row {
			l.violate("position %d of %s was %+v, is %+v", position, id, known.results[position], row)
		}
		if items[row.ID] {
			l.violate("%s stands twice in %s", row.ID, id)
		}
		items[row.ID] = true
		if row.State == wire.ItemCompleted {
			l.checkText(row)
		}
	}
	known.results = results
}

// checkText checks that no event is missing or stands twice, and that each run
// began where the one before it in the text ends.
func (l *ledger) checkText(row wire.BatchResultRow) {
	if fault := l.chains.fault(row.ID, row.Text); fault != "" {
		l.violate("%s has the text %q: %s", row.ID, row.Text, fault)
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
			l.violate("%s has lost the body of %s-%d: %v", m.name, id, number, err)
		}
	}
}

// finish checks that after everything was mended all groups answer, hold what was
// promised, and have replaced every disk that was lost.
func (l *ledger) finish() {
	for _, kind := range []kind{kindCoordinator, kindStore} {
		if !l.world.repaired(kind) {
			l.violate("a group still counts on a disk that is gone")
		}
	}
	if !l.answers(kindCoordinator, 0, func(m *machine, _ storage.Reader) { l.checkConfiguration(m) }) {
		l.violate("no coordinator answers reads at the end")
	}
	for group := range groups {
		if !l.answers(kindStore, group, func(m *machine, reader storage.Reader) { l.checkJobs(m, group, reader) }) {
			l.violate("no store answers reads of group %d at the end", group)
		}
	}
}

func (l *ledger) answers(kind kind, group int, check func(m *machine, reader storage.Reader)) bool {
	answered := false
	for _, m := range l.world.of(kind) {
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
