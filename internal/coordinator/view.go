package coordinator

import (
	"slices"
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// processFresh is how long a process counts as living after its last call.
	processFresh = 3 * time.Second
	// settleTime is how long no new store must have come before the store
	// group forms, and patientTime the same where stores are fewer than wanted.
	settleTime  = 500 * time.Millisecond
	patientTime = 4 * time.Second
)

// view is what the leader of one term has seen of processes and workers. It is
// soft: a new leader learns it from the next calls. It is pure.
type view struct {
	term      uint64
	number    uint64
	current   wire.FleetView
	processes map[string]*process
	// lastNew is when a store was first heard of.
	lastNew time.Time
}

// process is a living process and when it was last heard.
type process struct {
	report wire.ProcessReport
	at     time.Time
}

func newView(term uint64) *view {
	return &view{term: term, processes: map[string]*process{}}
}

// heard takes in a process's report on itself.
func (v *view) heard(now time.Time, report *wire.ProcessReport) {
	known := v.processes[report.Name]
	if known == nil && report.Kind == wire.ProcessStore {
		v.lastNew = now
	}
	v.processes[report.Name] = &process{report: *report, at: now}
}

// stores returns the living stores in the order of their names.
func (v *view) stores(now time.Time) []*wire.ProcessReport {
	var stores []*wire.ProcessReport
	for _, known := range v.processes {
		if known.report.Kind == wire.ProcessStore && now.Sub(known.at) <= processFresh {
			stores = append(stores, &known.report)
		}
	}
	sort.Slice(stores, func(a, b int) bool { return stores[a].Name < stores[b].Name })
	return stores
}

// refresh makes the view anew and reports whether it differs.
func (v *view) refresh(now time.Time, coordinators []string, initial []wire.Replica, retiring []string) bool {
	next := wire.FleetView{
		Listed:       v.current.Listed,
		Workers:      v.current.Workers,
		Coordinators: coordinators,
		Initial:      initial,
		Retiring:     retiring,
	}
	for _, store := range v.stores(now) {
		next.Stores = append(next.Stores, store.Replica.Address)
	}
	for _, known := range v.processes {
		if known.report.Kind == wire.ProcessEdge && now.Sub(known.at) <= processFresh {
			next.Edges++
		}
	}
	same := slices.Equal(next.Coordinators, v.current.Coordinators) &&
		slices.Equal(next.Stores, v.current.Stores) && next.Edges == v.current.Edges &&
		slices.Equal(next.Initial, v.current.Initial) && slices.Equal(next.Retiring, v.current.Retiring)
	if same && v.number > 0 {
		return false
	}
	v.current = next
	v.number++
	return true
}

// listed takes in the platform's list and reports whether it differs.
func (v *view) listed(workers []wire.PoolWorker) bool {
	sort.Slice(workers, func(a, b int) bool { return workers[a].ID < workers[b].ID })
	if v.current.Listed && slices.Equal(workers, v.current.Workers) {
		return false
	}
	v.current.Listed = true
	v.current.Workers = workers
	v.number++
	return true
}

// firstVoters returns the voters that the store group is to form with, once it
// may: 2 x tolerate + 1 of the stores, spread over the zones.
func (v *view) firstVoters(now time.Time, tolerate int) []wire.Replica {
	stores := v.stores(now)
	wanted := 2*tolerate + 1
	quiet := now.Sub(v.lastNew)
	if len(stores) == 0 || quiet < settleTime || len(stores) < wanted && quiet < patientTime {
		return nil
	}
	var voters []wire.Replica
	perZone := map[string]int{}
	for len(voters) < wanted && len(stores) > 0 {
		best := 0
		for i, store := range stores {
			if perZone[store.Zone] < perZone[stores[best].Zone] {
				best = i
			}
		}
		voters = append(voters, stores[best].Replica)
		perZone[stores[best].Zone]++
		stores = slices.Delete(stores, best, best+1)
	}
	return voters
}

// remaining counts the living stores that are not to be emptied, without the
// named one.
func (v *view) remaining(now time.Time, name string, retiring []string) int {
	count := 0
	for _, store := range v.stores(now) {
		if store.Name != name && !slices.Contains(retiring, store.Name) {
			count++
		}
	}
	return count
}

// knows reports whether a store of that name has been heard.
func (v *view) knows(name string) bool {
	known := v.processes[name]
	return known != nil && known.report.Kind == wire.ProcessStore
}

// emptied returns the stores among the retiring ones that hold nothing any more,
// by the report of the store group's leader. It counts only if that leader knows
// this view, and so what is to retire.
func (v *view) emptied(request *wire.WatchRequest, pending []string) []string {
	if !request.Process.Leads || request.Term != v.term || request.View != v.number {
		return nil
	}
	var names []string
	for _, name := range pending {
		if !slices.Contains(request.Process.Members, name) {
			names = append(names, name)
		}
	}
	return names
}
