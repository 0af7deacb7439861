package membership

import (
	"sort"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxMovesPerPlan bounds the workers that one plan moves between live owners only for balance.
// Assignments of workers without a live owner are not limited.
const maxMovesPerPlan = 4

// Owner is a dispatcher that may own workers.
type Owner struct {
	Name string
	Zone string
}

// Plan returns the changes after which every worker has a live owner, in the worker's own zone
// if that keeps the owners' shares even, and workers that are no longer known have none. The
// meta group verifies and commits the result.
func Plan(workers *Workers, owners []Owner, current map[string]wire.Assignment, drained func(string) bool) wire.AssignCommand {
	planner := newPlanner(workers, owners, current, drained)
	planner.forgetUnknown()
	planner.assignOrphans()
	planner.balance()
	return planner.command
}

// planner holds the state of one call of Plan.
type planner struct {
	workers *Workers
	owners  []Owner
	current map[string]wire.Assignment
	drained func(string) bool
	owned   map[string][]string
	command wire.AssignCommand
}

func newPlanner(workers *Workers, owners []Owner, current map[string]wire.Assignment, drained func(string) bool) *planner {
	p := &planner{workers: workers, owners: owners, current: current, drained: drained, owned: map[string][]string{}}
	live := map[string]bool{}
	for _, owner := range owners {
		live[owner.Name] = true
	}
	for _, id := range sortedNames(current) {
		if _, known := workers.known[id]; known && live[current[id].Dispatcher] {
			p.owned[current[id].Dispatcher] = append(p.owned[current[id].Dispatcher], id)
		}
	}
	return p
}

// forgetUnknown removes the assignments of workers that are no longer known.
func (p *planner) forgetUnknown() {
	for _, id := range sortedNames(p.current) {
		if p.workers.known[id] == nil {
			p.command.Forget = append(p.command.Forget, id)
		}
	}
}

// assignOrphans assigns workers that are new or whose owner is no longer live, and updates the
// assignments of workers whose description has changed.
func (p *planner) assignOrphans() {
	if len(p.owners) == 0 {
		return
	}
	for _, id := range sortedNames(p.workers.known) {
		wanted := p.describe(id)
		assigned, found := p.current[id]
		owner := assigned.Dispatcher
		if !found || !p.isLive(owner) {
			owner = p.leastLoaded(wanted.Zone)
			p.owned[owner] = append(p.owned[owner], id)
		}
		wanted.Dispatcher = owner
		wanted.Epoch = assigned.Epoch
		if wanted != assigned {
			p.command.Assignments = append(p.command.Assignments, wanted)
		}
	}
}

func (p *planner) describe(id string) wire.Assignment {
	known := p.workers.known[id]
	return wire.Assignment{
		Worker:      id,
		Address:     known.listed.Address,
		Zone:        known.listed.Zone,
		Incarnation: known.listed.Incarnation,
		Leaving:     known.leaving || p.drained(id),
		Version:     known.listed.Version,
	}
}

func (p *planner) isLive(name string) bool {
	for _, owner := range p.owners {
		if owner.Name == name {
			return true
		}
	}
	return false
}

// leastLoaded returns the owner with the fewest workers; among equals an owner in the zone is
// preferred.
func (p *planner) leastLoaded(zone string) string {
	best := p.owners[0]
	for _, owner := range p.owners[1:] {
		difference := len(p.owned[owner.Name]) - len(p.owned[best.Name])
		nearer := owner.Zone == zone && best.Zone != zone
		if difference < 0 || (difference == 0 && nearer) {
			best = owner
		}
	}
	return best.Name
}

// balance moves workers from the owner with the most workers to the one with the fewest while
// their numbers differ by more than one.
func (p *planner) balance() {
	for move := 0; move < maxMovesPerPlan && len(p.owners) > 1; move++ {
		ordered := append([]Owner(nil), p.owners...)
		sort.SliceStable(ordered, func(a, b int) bool {
			return len(p.owned[ordered[a].Name]) < len(p.owned[ordered[b].Name])
		})
		emptiest, fullest := ordered[0], ordered[len(ordered)-1]
		if len(p.owned[fullest.Name])-len(p.owned[emptiest.Name]) < 2 {
			return
		}
		p.move(fullest.Name, emptiest)
	}
}

// move reassigns one worker, preferably one in the zone of the new owner.
func (p *planner) move(from string, to Owner) {
	candidates := p.owned[from]
	chosen := len(candidates) - 1
	for index, id := range candidates {
		if p.workers.known[id].listed.Zone == to.Zone {
			chosen = index
			break
		}
	}
	id := candidates[chosen]
	p.owned[from] = append(append([]string(nil), candidates[:chosen]...), candidates[chosen+1:]...)
	p.owned[to.Name] = append(p.owned[to.Name], id)
	wanted := p.describe(id)
	wanted.Dispatcher = to.Name
	for index := range p.command.Assignments {
		if p.command.Assignments[index].Worker == id {
			p.command.Assignments[index] = wanted
			return
		}
	}
	p.command.Assignments = append(p.command.Assignments, wanted)
}
