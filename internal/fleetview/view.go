// Package fleetview keeps what the leader of the fleet group has learned of processes and
// workers in its term, and derives from it the initial voters of the store groups and which
// stores are drained. It performs no I/O and stores nothing: a new leader learns the state from
// the next calls.
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
	// ProcessTTL is how long a process counts as alive after its last call.
	ProcessTTL = 3 * time.Second
	// settleDelay is the time without a new store that must pass before the store groups are
	// bootstrapped. fewStoresDelay is that time if there are fewer stores than wanted.
	settleDelay = 500 * time.Millisecond
	// edgeTTL is how long an edge is counted after its last call. An edge calls every 0.5 s. With a
	// longer edgeTTL, an edge that has moved to a relay would be counted twice, because the relay
	// counts it as well.
	edgeTTL = 1200 * time.Millisecond
	// remainingStoreTTL is how long after its last call a store counts as a remaining store when
	// another store is to be drained. It exceeds the time between two calls, which is 0.5 s and the
	// time of an answer. It does not exceed that time by much, because a store that was lost a
	// moment ago may not come back with its disk (TestRemainingStoreCountOmitsLostStores).
	remainingStoreTTL = 900 * time.Millisecond
	fewStoresDelay    = 4 * time.Second
)

// View is the state of the leader of one term.
type View struct {
	// Term is the leader's term. Number increases with every change of Current.
	Term    uint64
	Number  uint64
	Current wire.FleetView
	// ListReadAt is when the oldest reading began by which the list of workers is known, zero if there
	// is no list. The platform may have changed the list since.
	ListReadAt time.Time
	// workers logs the list by view number. processesNumber is the number of the last view in
	// which anything but workers and the count of edges changed.
	workers         *workerset.Log
	processesNumber uint64
	processes       map[string]*process
	// lastNewStoreAt is when the latest new store made its first call.
	lastNewStoreAt time.Time
	// drained holds, by name of a retiring store and by group, when the group's leader last
	// reported that the store holds nothing of the group. The reports are for the view
	// drainedNumber.
	drained       map[string]map[int]time.Time
	drainedNumber uint64
}

// process is the last report of a process.
type process struct {
	report     wire.ProcessReport
	lastSeenAt time.Time
}

// New returns the empty view of a term.
func New(term uint64) *View {
	return &View{Term: term, workers: workerset.NewLog(0), processes: map[string]*process{}}
}

// ApplyReport stores a process's report on itself.
func (v *View) ApplyReport(now time.Time, report *wire.ProcessReport) {
	known := v.processes[report.Name]
	if known == nil && report.Kind == wire.ProcessStore {
		v.lastNewStoreAt = now
	}
	v.processes[report.Name] = &process{report: *report, lastSeenAt: now}
}

// stores returns the live stores in the order of their names.
func (v *View) stores(now time.Time) []*wire.ProcessReport {
	return v.liveProcesses(now, wire.ProcessStore)
}

// liveProcesses returns the live processes of a kind in the order of their names.
func (v *View) liveProcesses(now time.Time, kind wire.ProcessKind) []*wire.ProcessReport {
	var live []*wire.ProcessReport
	for _, known := range v.processes {
		if known.report.Kind == kind && now.Sub(known.lastSeenAt) <= ProcessTTL {
			live = append(live, &known.report)
		}
	}
	sort.Slice(live, func(a, b int) bool { return live[a].Name < live[b].Name })
	return live
}

// Refresh rebuilds Current and reports whether it changed.
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
	for _, relay := range v.liveProcesses(now, wire.ProcessRelay) {
		next.Relays = append(next.Relays, wire.ProcessAddress{Address: relay.Replica.Address, Zone: relay.Zone})
	}
	next.Groups = v.groupPlaces(now)
	next.Edges = v.countEdges(now)
	sameStores := sameProcesses(&next, &v.Current)
	if sameStores && next.Edges == v.Current.Edges && v.Number > 0 {
		return false
	}
	v.Current = next
	v.Number++
	if !sameStores || v.processesNumber == 0 {
		v.processesNumber = v.Number
	}
	return true
}

// sameProcesses reports whether two views differ at most in workers and edges.
func sameProcesses(a, b *wire.FleetView) bool {
	return slices.Equal(a.Coordinators, b.Coordinators) && slices.Equal(a.Relays, b.Relays) &&
		slices.Equal(a.Stores, b.Stores) && slices.EqualFunc(a.Groups, b.Groups, samePlace) &&
		slices.EqualFunc(a.Initial, b.Initial, slices.Equal) && slices.Equal(a.Retiring, b.Retiring)
}

// edgeChangeDivisor sets the least change of the edge count that makes a new view: more than 1/8
// of the count. The count only sets the pace of load reports, and each change is sent to all
// processes.
const edgeChangeDivisor = 8

// countEdges returns the number of live edges, including those that poll relays, or the count of
// the current view if that is still close enough.
func (v *View) countEdges(now time.Time) int {
	edges := 0
	for _, known := range v.processes {
		if known.report.Kind == wire.ProcessEdge && now.Sub(known.lastSeenAt) <= edgeTTL {
			edges++
		}
	}
	for _, relay := range v.liveProcesses(now, wire.ProcessRelay) {
		edges += relay.Edges
	}
	current := v.Current.Edges
	if edges > 0 && current > 0 && max(edges-current, current-edges)*edgeChangeDivisor <= current {
		return current
	}
	return edges
}

// Since returns what differs from the view of the given number, zero for none. If the caller may
// have another list of workers than the one of that view, digests holds the digests of the buckets
// of the caller's list.
func (v *View) Since(number uint64, digests []byte) *wire.FleetView {
	update := v.Current
	workersSince := number
	if len(digests) > 0 {
		workersSince = 0
	}
	if hasWorkers(&v.Current) {
		workers := v.workers.Since(workersSince, digests)
		update.News = &workers
	}
	if number > 0 && v.processesNumber <= number {
		omitProcesses(&update)
	}
	return &update
}

// SinceGenerationFirst is Since for a process of wire.GenerationFirst. Such a process gets the
// whole list of workers if any worker changed, and only once the leader has read the whole list.
func (v *View) SinceGenerationFirst(number uint64) *wire.FleetView {
	update := v.Since(number, nil)
	changes := update.News
	update.News = nil
	switch {
	case !update.Listed:
	case number > 0 && changes.IsEmpty():
		update.SameWorkers, update.Listed = true, false
	default:
		update.Workers = v.Workers().Rows()
		for i := range update.Workers {
			// That generation does not know incarnations and addresses a worker by the id in the
			// list, so it gets the id without the incarnation.
			update.Workers[i].ID = incarnation.WorkerID(update.Workers[i].ID)
		}
	}
	return update
}

// hasWorkers reports whether the view has a list of workers, whole or partial.
func hasWorkers(fleet *wire.FleetView) bool { return fleet.Listed || fleet.Partial }

// omitProcesses removes everything but workers and edges from an update.
func omitProcesses(update *wire.FleetView) {
	update.SameStores = true
	update.Coordinators, update.Relays, update.Stores, update.Groups, update.Initial, update.Retiring = nil, nil, nil, nil, nil, nil
}

// Workers returns the list of workers.
func (v *View) Workers() *workerset.Set { return v.workers.Set() }

// SetWorkers stores the platform's list, as of readAt, and reports whether it changed.
func (v *View) SetWorkers(workers []wire.PoolWorker, readAt time.Time) bool {
	v.ListReadAt = readAt
	next := v.workers.Set().Replaced(workers)
	if v.Current.Listed && next.Digest() == v.workers.Set().Digest() {
		return false
	}
	v.Current.Listed, v.Current.Partial = true, false
	v.Number++
	v.workers.Put(v.Number, next)
	return true
}

// ContinueList begins the view with a list that is known from the leader of an earlier term, as of
// readAt. It must be called before any other change of the list.
func (v *View) ContinueList(workers *workerset.Set, readAt time.Time) {
	v.Current.Listed, v.ListReadAt = true, readAt
	// The first view that is told, after the processes are known, has the next number.
	v.workers.Put(v.Number+1, workers)
}

// AddWorkers adds a part of the platform's list, as of readAt, while the whole list has not been
// read, and reports whether the view changed. Processes that have no list yet start to serve with
// the part.
func (v *View) AddWorkers(workers []wire.PoolWorker, readAt time.Time) bool {
	if v.Current.Listed || len(workers) == 0 {
		return false
	}
	if v.ListReadAt.IsZero() || readAt.Before(v.ListReadAt) {
		v.ListReadAt = readAt
	}
	v.Current.Partial = true
	v.Number++
	v.workers.Put(v.Number, v.workers.Set().With(workers, nil))
	return true
}

// InitialVoters returns the voters of each store group to bootstrap, 2 x tolerate + 1 of the
// stores each, or nil while the groups may not be bootstrapped yet.
func (v *View) InitialVoters(now time.Time, tolerate int) [][]wire.Replica {
	stores := v.stores(now)
	wanted := 2*tolerate + 1
	sinceNewStore := now.Sub(v.lastNewStoreAt)
	if len(stores) == 0 || sinceNewStore < settleDelay || len(stores) < wanted && sinceNewStore < fewStoresDelay {
		return nil
	}
	replicas := make(map[uint64]wire.Replica, len(stores))
	candidates := make([]placement.Candidate, 0, len(stores))
	for _, store := range stores {
		replicas[store.Replica.ID] = store.Replica
		candidates = append(candidates, placement.Candidate{ID: store.Replica.ID, Zone: store.Zone})
	}
	var groups [][]wire.Replica
	for _, ids := range placement.InitialVoters(candidates, placement.GroupCount(len(stores), wanted), wanted) {
		var voters []wire.Replica
		for _, id := range ids {
			voters = append(voters, replicas[id])
		}
		groups = append(groups, voters)
	}
	return groups
}

// RemainingStoreCount returns the number of stores that are present now and not to be drained,
// without the named one.
func (v *View) RemainingStoreCount(now time.Time, name string, retiring []string) int {
	count := 0
	for _, known := range v.processes {
		store := &known.report
		counts := store.Kind == wire.ProcessStore && now.Sub(known.lastSeenAt) <= remainingStoreTTL
		if counts && store.Name != name && !slices.Contains(retiring, store.Name) {
			count++
		}
	}
	return count
}

// HasStore reports whether a store of that name has called.
func (v *View) HasStore(name string) bool {
	known := v.processes[name]
	return known != nil && known.report.Kind == wire.ProcessStore
}

// DrainedStores returns those of the pending stores that hold nothing any more, by the reports of
// the leaders of all groups. A report counts for ProcessTTL. It counts only if the leader that sent
// it knows the current view, and so which stores are retiring.
func (v *View) DrainedStores(now time.Time, request *wire.WatchRequest, pending []string, groups int) []string {
	if request.Term != v.Term || request.View != v.Number {
		return nil
	}
	if v.drainedNumber != v.Number || v.drained == nil {
		v.drained, v.drainedNumber = map[string]map[int]time.Time{}, v.Number
	}
	var names []string
	for _, name := range pending {
		v.recordDrained(now, name, request.Process.Led)
		if v.isDrained(now, name, groups) {
			names = append(names, name)
		}
	}
	return names
}

// recordDrained records of which groups the store holds nothing.
func (v *View) recordDrained(now time.Time, name string, led []wire.GroupReport) {
	if v.drained[name] == nil {
		v.drained[name] = map[int]time.Time{}
	}
	for i := range led {
		delete(v.drained[name], led[i].Group)
		if !slices.Contains(led[i].Members, name) {
			v.drained[name][led[i].Group] = now
		}
	}
}

// isDrained reports whether the store holds nothing of any group.
func (v *View) isDrained(now time.Time, name string, groups int) bool {
	for group := range groups {
		reportedAt, drained := v.drained[name][group]
		if !drained || now.Sub(reportedAt) > ProcessTTL {
			return false
		}
	}
	return true
}
