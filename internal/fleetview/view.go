// Package fleetview is what the leader of the fleet group has seen of processes
// and workers in its term, and what follows from it: who the first voters of the
// store group are, and which stores hold nothing any more. It is pure and soft: a
// new leader learns it from the next calls.
package fleetview

import (
	"slices"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

const (
	// ProcessTTL is how long a process counts as living after its last call.
	ProcessTTL = 3 * time.Second
	// settleTime is how long no new store must have come before the store
	// group forms, and patientTime the same where stores are fewer than wanted.
	settleTime = 500 * time.Millisecond
	// edgeFresh is how lately an edge must have been heard to be counted: it may have gone to
	// a relay that counts it, too, and its calls are 0.5 s apart.
	edgeFresh = 1200 * time.Millisecond
	// remainFresh is how lately a store must have been heard to count as one that remains
	// when another is to be emptied: longer than the time between its calls, 0.5 s and an
	// answer, and not much longer, because one that was lost a moment ago may not come
	// back with its disk (TestRetiringCountsWhoIsThere).
	remainFresh = 900 * time.Millisecond
	patientTime = 4 * time.Second
)

// View is what the leader of one term has seen.
type View struct {
	// Term is the leader's term, Number grows with every change of Current.
	Term    uint64
	Number  uint64
	Current wire.FleetView
	// workers is the list, by the numbers of the views. storesAt is the number of the view
	// in which all else but the count of edges changed last.
	workers   *workerset.Log
	storesAt  uint64
	processes map[string]*process
	// lastNew is when a store was first heard of.
	lastNew time.Time
	// left holds when the leader of each store group last told that a retiring
	// store, by name, holds nothing of the group, in the view of leftIn.
	left   map[string]map[int]time.Time
	leftIn uint64
}

// process is a living process and when it was last heard.
type process struct {
	report wire.ProcessReport
	at     time.Time
}

// New begins a term.
func New(term uint64) *View {
	return &View{Term: term, workers: workerset.NewLog(0), processes: map[string]*process{}}
}

// ApplyReport takes in a process's report on itself.
func (v *View) ApplyReport(now time.Time, report *wire.ProcessReport) {
	known := v.processes[report.Name]
	if known == nil && report.Kind == wire.ProcessStore {
		v.lastNew = now
	}
	v.processes[report.Name] = &process{report: *report, at: now}
}

// stores returns the living stores in the order of their names.
func (v *View) stores(now time.Time) []*wire.ProcessReport { return v.living(now, wire.ProcessStore) }

// living returns the living processes of a kind in the order of their names.
func (v *View) living(now time.Time, kind wire.ProcessKind) []*wire.ProcessReport {
	var living []*wire.ProcessReport
	for _, known := range v.processes {
		if known.report.Kind == kind && now.Sub(known.at) <= ProcessTTL {
			living = append(living, &known.report)
		}
	}
	sort.Slice(living, func(a, b int) bool { return living[a].Name < living[b].Name })
	return living
}

// Refresh makes the view anew and reports whether it differs.
func (v *View) Refresh(now time.Time, coordinators []string, initial [][]wire.Replica, retiring []string) bool {
	next := wire.FleetView{
		Listed:       v.Current.Listed,
		Partial:      v.Current.Partial,
		Coordinators: coordinators,
		Initial:      initial,
		Retiring:     retiring,
	}
	for _, store := range v.stores(now) {
		next.Stores = append(next.Stores, wire.ProcessAddress{Address: store.Replica.Address, Zone: store.Zone})
	}
	for _, relay := range v.living(now, wire.ProcessRelay) {
		next.Relays = append(next.Relays, wire.ProcessAddress{Address: relay.Replica.Address, Zone: relay.Zone})
	}
	next.Groups = v.groups(now)
	next.Edges = v.countEdges(now)
	sameStores := sameProcesses(&next, &v.Current)
	if sameStores && next.Edges == v.Current.Edges && v.Number > 0 {
		return false
	}
	v.Current = next
	v.Number++
	if !sameStores || v.storesAt == 0 {
		v.storesAt = v.Number
	}
	return true
}

// sameProcesses reports whether two views differ at most in workers and edges.
func sameProcesses(a, b *wire.FleetView) bool {
	return slices.Equal(a.Coordinators, b.Coordinators) && slices.Equal(a.Relays, b.Relays) &&
		slices.Equal(a.Stores, b.Stores) && slices.EqualFunc(a.Groups, b.Groups, samePlace) &&
		slices.EqualFunc(a.Initial, b.Initial, slices.Equal) && slices.Equal(a.Retiring, b.Retiring)
}

// edgeParts is the part, one in so many, by which the count of edges must change to be
// told anew: it only paces reports of loads, and each change is told to all processes.
const edgeParts = 8

// countEdges counts the living edges, those that watch relays included, or returns the
// count last told where that is still about right.
func (v *View) countEdges(now time.Time) int {
	edges := 0
	for _, known := range v.processes {
		if known.report.Kind == wire.ProcessEdge && now.Sub(known.at) <= edgeFresh {
			edges++
		}
	}
	for _, relay := range v.living(now, wire.ProcessRelay) {
		edges += relay.Edges
	}
	told := v.Current.Edges
	if edges > 0 && told > 0 && max(edges-told, told-edges)*edgeParts <= told {
		return told
	}
	return edges
}

// Since returns what differs from the view of the number, zero for none. Where the caller's
// list of workers may be another one than the number stands for, digests are those of its
// buckets.
func (v *View) Since(number uint64, digests []byte) *wire.FleetView {
	news := v.Current
	workersNumber := number
	if len(digests) > 0 {
		workersNumber = 0
	}
	if tellsWorkers(&v.Current) {
		workers := v.workers.Since(workersNumber, digests)
		news.News = &workers
	}
	if number > 0 && v.storesAt <= number {
		leaveOutProcesses(&news)
	}
	return &news
}

// SinceGenerationFirst is Since for a process of wire.GenerationFirst, which is told the list of
// workers whole, once all of it has been read, wherever it has changed.
func (v *View) SinceGenerationFirst(number uint64) *wire.FleetView {
	news := v.Since(number, nil)
	changes := news.News
	news.News = nil
	switch {
	case !news.Listed:
	case number > 0 && changes.Nothing():
		news.SameWorkers, news.Listed = true, false
	default:
		news.Workers = v.Workers().Rows()
		for i := range news.Workers {
			// That generation knows of no lives: it tells the worker the name that it is told.
			news.Workers[i].ID = incarnation.WorkerID(news.Workers[i].ID)
		}
	}
	return news
}

// tellsWorkers reports whether there is a list to tell of, whole or in part.
func tellsWorkers(fleet *wire.FleetView) bool { return fleet.Listed || fleet.Partial }

// leaveOutProcesses leaves all but workers and edges out of news.
func leaveOutProcesses(news *wire.FleetView) {
	news.SameStores = true
	news.Coordinators, news.Relays, news.Stores, news.Groups, news.Initial, news.Retiring = nil, nil, nil, nil, nil, nil
}

// Workers returns the list.
func (v *View) Workers() *workerset.Set { return v.workers.Set() }

// SetWorkers takes in the platform's list and reports whether it differs.
func (v *View) SetWorkers(workers []wire.PoolWorker) bool {
	next := v.workers.Set().Replaced(workers)
	if v.Current.Listed && next.Digest() == v.workers.Set().Digest() {
		return false
	}
	v.Current.Listed, v.Current.Partial = true, false
	v.Number++
	v.workers.Put(v.Number, next)
	return true
}

// AddWorkers takes in a part of the platform's list while the whole has not been read, and
// reports whether it adds anything. Processes that have no list begin to serve with it.
func (v *View) AddWorkers(workers []wire.PoolWorker) bool {
	if v.Current.Listed || len(workers) == 0 {
		return false
	}
	v.Current.Partial = true
	v.Number++
	v.workers.Put(v.Number, v.workers.Set().With(workers, nil))
	return true
}

// InitialVoters returns the voters that the store groups are to form with, once they
// may, by group: 2 x tolerate + 1 of the stores each.
func (v *View) InitialVoters(now time.Time, tolerate int) [][]wire.Replica {
	stores := v.stores(now)
	wanted := 2*tolerate + 1
	quiet := now.Sub(v.lastNew)
	if len(stores) == 0 || quiet < settleTime || len(stores) < wanted && quiet < patientTime {
		return nil
	}
	replicas := make(map[uint64]wire.Replica, len(stores))
	candidates := make([]placement.Candidate, 0, len(stores))
	for _, store := range stores {
		replicas[store.Replica.ID] = store.Replica
		candidates = append(candidates, placement.Candidate{ID: store.Replica.ID, Zone: store.Zone})
	}
	var groups [][]wire.Replica
	for _, chosen := range placement.InitialVoters(candidates, placement.GroupCount(len(stores), wanted), wanted) {
		var voters []wire.Replica
		for _, id := range chosen {
			voters = append(voters, replicas[id])
		}
		groups = append(groups, voters)
	}
	return groups
}

// RemainingStoreCount counts the stores that are there now and are not to be emptied, without the
// named one.
func (v *View) RemainingStoreCount(now time.Time, name string, retiring []string) int {
	count := 0
	for _, known := range v.processes {
		store := &known.report
		counts := store.Kind == wire.ProcessStore && now.Sub(known.at) <= remainFresh
		if counts && store.Name != name && !slices.Contains(retiring, store.Name) {
			count++
		}
	}
	return count
}

// HasStore reports whether a store of that name has been heard.
func (v *View) HasStore(name string) bool {
	known := v.processes[name]
	return known != nil && known.report.Kind == wire.ProcessStore
}

// DrainedStores returns the stores among the retiring ones that hold nothing any more,
// by the reports of the leaders of all groups. A report counts only if its leader
// knows this view, and so what is to retire, and for ProcessFresh.
func (v *View) DrainedStores(now time.Time, request *wire.WatchRequest, pending []string, groups int) []string {
	if request.Term != v.Term || request.View != v.Number {
		return nil
	}
	if v.leftIn != v.Number || v.left == nil {
		v.left, v.leftIn = map[string]map[int]time.Time{}, v.Number
	}
	var names []string
	for _, name := range pending {
		v.noteLeft(now, name, request.Process.Led)
		if v.leftAll(now, name, groups) {
			names = append(names, name)
		}
	}
	return names
}

// noteLeft takes in which groups the store holds nothing of.
func (v *View) noteLeft(now time.Time, name string, led []wire.GroupReport) {
	if v.left[name] == nil {
		v.left[name] = map[int]time.Time{}
	}
	for i := range led {
		delete(v.left[name], led[i].Group)
		if !slices.Contains(led[i].Members, name) {
			v.left[name][led[i].Group] = now
		}
	}
}

// leftAll reports whether the store holds nothing of any group.
func (v *View) leftAll(now time.Time, name string, groups int) bool {
	for group := range groups {
		at, left := v.left[name][group]
		if !left || now.Sub(at) > ProcessTTL {
			return false
		}
	}
	return true
}
