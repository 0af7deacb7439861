package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchplan"
	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	verdictInterval = 100 * time.Millisecond
	routeJobGap     = 350 * time.Millisecond
	// endedRouteBound is the longest time for which items may wait after their route has ended, while
	// nothing disturbs the fleet. It is checked from endedRouteCheckFrom on.
	endedRouteBound     = batchplan.RouteGrace + 3*time.Second
	endedRouteCheckFrom = healAt + 9*time.Second
)

// At each time of blindAt the stores hear no coordinator for blindTime, while edges do, and then all
// coordinators lose power for coordinatorsOff.
var blindAt = [...]time.Duration{5 * time.Second, 13 * time.Second, 21 * time.Second, 29 * time.Second}

const (
	blindTime       = 2 * time.Second
	coordinatorsOff = 4 * time.Second
)

// routeSpells are the numbers of versions after which each route alternately ends and comes back. Some
// spells are shorter than batchplan.RouteGrace and some longer.
var routeSpells = [...]uint64{10, 24, 50}

func routeName(number int) string { return fmt.Sprintf("route-%d", number) }

// hasRoute reports whether the configuration of the version has the route.
func hasRoute(version uint64, number int) bool { return version/routeSpells[number]%2 == 0 }

// configurationKnowledge is what a store or an edge knows of the configuration.
type configurationKnowledge struct {
	batchplan.Knowledge
	// term is the term in which a store leads a group, firstSeen when it first saw each job then.
	terms     map[int]uint64
	firstSeen map[string]time.Time
	absences  map[string]batchplan.RouteAbsence
}

// verdicts drives jobs on routes that come and go, and checks that stores abandon their items only after
// the end of the route, and then soon.
type verdicts struct {
	random *rand.Rand
	jobs   map[string]*routeJob
	ids    []string
	// seen are the versions that a leader has told, in order, with the first time of each.
	seen   []seenVersion
	counts verdictCounts
}

// routeJob is a job that was accepted under a version.
type routeJob struct {
	route    int
	accepted uint64
	at       time.Time
	judged   bool
}

type seenVersion struct {
	version uint64
	at      time.Time
}

// verdictCounts counts the jobs, the items abandoned, and those that waited for a newer configuration.
type verdictCounts struct{ jobs, abandoned, waited int }

// startVerdicts starts the polls for configurations, the submissions and the verdicts.
func (w *World) startVerdicts(seed uint64) {
	if seed%9 != 0 && seed%9 != 3 {
		return
	}
	w.verdicts = &verdicts{random: rand.New(rand.NewPCG(seed, 14)), jobs: map[string]*routeJob{}}
	w.every(pollInterval, func() bool {
		for _, m := range w.machinesOf(kindStore) {
			m.pollConfiguration()
		}
		for _, e := range w.edges {
			e.pollConfiguration()
		}
		return true
	})
	for _, at := range blindAt {
		w.after(at, w.blindStores)
	}
	w.every(routeJobGap, func() bool { w.submitRouteJob(); return true })
	w.every(verdictInterval, func() bool {
		for _, m := range w.machinesOf(kindStore) {
			m.judgeItems()
		}
		return true
	})
}

// blindStores cuts the stores off from the coordinators, while changes go on, and then powers off the
// coordinators. What edges have accepted meanwhile, no store can know.
func (w *World) blindStores() {
	w.log("cut the stores off from the coordinators for %s, then power off these for %s", blindTime, coordinatorsOff)
	link := func(cut bool) {
		for _, store := range w.machinesOf(kindStore) {
			for _, coordinator := range w.machinesOf(kindCoordinator) {
				store.blocked[coordinator.name], coordinator.blocked[store.name] = cut, cut
			}
		}
	}
	link(true)
	w.after(blindTime, func() {
		link(false)
		for _, coordinator := range w.machinesOf(kindCoordinator) {
			coordinator.powerOff()
			w.after(coordinatorsOff, func() { coordinator.restart(false) })
		}
	})
}

// pollConfiguration asks the coordinators for the newest configuration. Only the leader answers.
func (m *machine) pollConfiguration() {
	w := m.world
	if !m.alive || m.frozen {
		return
	}
	askedAt, incarnation := m.clock(), m.incarnation
	for _, coordinator := range w.machinesOf(kindCoordinator) {
		m.transmitWith(w.verdicts.random, coordinator, func() {
			coordinator.readAsLeader(func(*fleetview.View) {
				version := coordinator.fleet.Routes().Version
				w.verdicts.recordVersion(w.now, version)
				coordinator.transmitWith(w.verdicts.random, m, func() {
					if m.incarnation == incarnation && version >= m.configuration.Version {
						m.configuration.Version = version
						if askedAt.After(m.configuration.ConfirmedAt) {
							m.configuration.ConfirmedAt = askedAt
						}
					}
				})
			})
		})
	}
}

func (v *verdicts) recordVersion(now time.Time, version uint64) {
	if len(v.seen) == 0 || version > v.seen[len(v.seen)-1].version {
		v.seen = append(v.seen, seenVersion{version, now})
	}
}

// hasEnded reports whether the route was missing from a version at least as new as the given one.
func (v *verdicts) hasEnded(route int, accepted uint64) bool {
	for _, seen := range v.seen {
		if seen.version >= accepted && !hasRoute(seen.version, route) {
			return true
		}
	}
	return false
}

// missingSince returns since when the newest versions lack the route, and whether they do.
func (v *verdicts) missingSince(route int) (since time.Time, missing bool) {
	for i := len(v.seen) - 1; i >= 0 && !hasRoute(v.seen[i].version, route); i-- {
		since, missing = v.seen[i].at, true
	}
	return since, missing
}

// submitRouteJob submits a job through an edge, on a route that the edge knows.
func (w *World) submitRouteJob() {
	v := w.verdicts
	e := w.edges[v.random.IntN(len(w.edges))]
	route := v.random.IntN(len(routeSpells))
	version := e.configuration.Version
	if !e.alive || e.frozen || version == 0 || !hasRoute(version, route) {
		return
	}
	job := &routeJob{route: route, accepted: version, at: w.now}
	id := fmt.Sprintf("on-route-%d", len(v.ids))
	v.jobs[id], v.ids = job, append(v.ids, id)
	told := version
	if v.random.IntN(3) == 0 {
		// An edge of an earlier build tells no version.
		told = 0
	}
	submit := &wire.SubmitBatch{ID: id, Route: routeName(route), Host: "h", Accepted: told, Items: []wire.BatchItem{{ID: id, Path: "/"}}}
	for _, store := range w.machinesOf(kindStore) {
		e.transmitWith(v.random, store, func() {
			store.propose(groupOf(id), &wire.BatchCommand{Submit: submit}, func(_ []byte, err error) {
				if err == nil {
					v.counts.jobs++
				}
			})
		})
	}
}

// judgeItems abandons the items whose route has ended, in the groups that this store leads. A build
// that doesn't know the version of a job judges nothing here.
func (m *machine) judgeItems() {
	if !m.alive || m.frozen || m.earlierBuild || m.configuration.Version == 0 {
		return
	}
	known := &m.configuration
	if known.terms == nil {
		known.terms, known.firstSeen, known.absences = map[int]uint64{}, map[string]time.Time{}, map[string]batchplan.RouteAbsence{}
	}
	for group := range groups {
		command := &wire.BatchCommand{Record: &wire.RecordItems{}}
		_ = m.node.Read(m.clock(), group, func(term uint64, _ storage.Reader) error {
			for _, id := range m.world.verdicts.ids {
				job, err := m.batch[group].Job(id)
				if err != nil || !job.Open() {
					continue
				}
				if _, found := known.firstSeen[id]; !found || known.terms[group] != term {
					known.firstSeen[id], known.absences[id] = m.clock(), batchplan.RouteAbsence{}
				}
				if m.judge(job) {
					command.Record.Items = append(command.Record.Items, wire.ItemRecord{Job: id, State: wire.ItemAbandoned})
				}
			}
			known.terms[group] = term
			return nil
		})
		if len(command.Record.Items) > 0 {
			m.propose(group, command, nil)
		}
	}
}

// judge reports whether the item of a job is to be abandoned, and checks the verdict.
func (m *machine) judge(job *batchstate.Job) bool {
	w, v := m.world, m.world.verdicts
	truth := v.jobs[job.ID]
	known := m.configuration.Knowledge
	covered := known.Covers(job.Accepted, m.configuration.firstSeen[job.ID])
	switch w.mutation {
	case MutationTrustOldConfiguration:
		covered, known.ConfirmedAt = true, m.clock()
	case MutationTrustVersion:
		covered, known.ConfirmedAt = known.Version >= job.Accepted, m.clock()
	case MutationNoVerdict:
		covered = false
	}
	absence := m.configuration.absences[job.ID]
	ended := false
	if hasRoute(known.Version, truth.route) {
		absence.RecordPresent()
	} else {
		ended = absence.RecordMissing(known, covered)
		if !covered {
			v.counts.waited++
		}
	}
	m.configuration.absences[job.ID] = absence
	if ended && !truth.judged {
		truth.judged = true
		v.counts.abandoned++
		if !v.hasEnded(truth.route, truth.accepted) {
			w.ledger.recordViolation("%s abandons the item of %s by version %d, but %s has been there since version %d, under which it was accepted", m.name, job.ID, known.Version, job.Route, truth.accepted)
		}
	}
	if !ended && w.now.Sub(startTime) > endedRouteCheckFrom {
		v.checkWait(w, m, job)
	}
	return ended
}

// checkWait checks that an item does not wait for a route that ended long ago.
func (v *verdicts) checkWait(w *World, m *machine, job *batchstate.Job) {
	truth := v.jobs[job.ID]
	since, missing := v.missingSince(truth.route)
	known := min(w.now.Sub(since), w.now.Sub(truth.at), m.clock().Sub(m.configuration.firstSeen[job.ID]))
	if missing && known > endedRouteBound {
		w.ledger.recordViolation("%s lets the item of %s wait %s after the end of %s", m.name, job.ID, w.now.Sub(since), job.Route)
	}
}
