package membership

import (
	"sort"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxMovesPerPlan bounds how many workers one plan moves between living owners
// for balance alone; workers without an owner are not bounded.
const maxMovesPerPlan = 4

// Owner is a dispatcher that may own workers.
type Owner struct {
	Name string
	Zone string
}

// Plan returns the changes that bring the assignments in line with the workers
// and owners there are: every worker has a living owner, in its own zone where
// that keeps the owners' shares even. The result is verified and committed by
// the meta group.
func Plan(workers *Workers, owners []Owner, current map[string]wire.Assignment, drained func(string) bool) wire.AssignCommand {
	planner := newPlanner(workers, owners, current, drained)
	planner.forgetGone()
	planner.placeOrphans()
	planner.balance()
	return planner.command
}

// planner holds one planning run.
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
	living := map[string]bool{}
	for _, owner := range owners {
		living[owner.Name] = true
	}
	for _, id := range sortedNames(current) {
		if _, known := workers.known[id]; known && living[current[id].Dispatcher] {
			p.owned[current[id].Dispatcher] = append(p.owned[current[id].Dispatcher], id)
		}
	}
	return p
}

func (p *planner) forgetGone() {
	for _, id := range sortedNames(p.current) {
		if p.workers.known[id] == nil {
			p.command.Forget = append(p.command.Forget, id)
		}
	}
}

// placeOrphans assigns workers that are new, whose owner is gone, or about
// which something has changed.
func (p *planner) placeOrphans() {
	if len(p.owners) == 0 {
		return
	}
	for _, id := range sortedNames(p.workers.known) {
		wanted := p.describe(id)
		assigned, found := p.current[id]
		owner := assigned.Dispatcher
		if !found || !p.lives(owner) {
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
	}
}

func (p *planner) lives(name string) bool {
	for _, owner := range p.owners {
		if owner.Name == name {
			return true
		}
	}
	return false
}

// leastLoaded returns the owner with the fewest workers; between equals one in
// the zone goes first.
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

// balance moves workers from the fullest owner to the emptiest while they
// differ by more than one.
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
