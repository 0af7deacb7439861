package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
	"github.com/sedgemast/sedgemast/internal/incarnation"
)

// pool holds the usable workers of one pool. They are in two groups, from which a choice takes
// samples so that it need not visit all workers. The workers of this zone are also on a hash ring
// for prompt affinity.
type pool struct {
	// near holds the workers of this process's zone, and far holds those of all other zones.
	near group
	far  group
	ring ring
	// slots is the total number of slots of the workers. zoneSlots is the number of slots by zone.
	slots     int
	zoneSlots map[string]int
	// usableVersions is the number of usable workers by version.
	usableVersions map[incarnation.Version]int
	// listedVersions is the number of listed workers by version, whether usable or not.
	listedVersions map[incarnation.Version]int
	// soleVersion is the only version of the listed workers since soleSince, empty if there are
	// several or an unknown one.
	soleVersion incarnation.Version
	soleSince   time.Time
	// nearSlots is the number of slots in this process's zone.
	nearSlots int
	// medianInterval is the median time between events of the pool's workers. nearSum and farSum
	// are the capacities of the near and far workers.
	medianInterval time.Duration
	nearSum        capacity.Sum
	farSum         capacity.Sum
	// holdTime is how long an online request holds a slot, as estimated. nearRate and farRate are
	// the reported rates of online requests, per rateSeconds.
	holdTime time.Duration
	nearRate int
	farRate  int
	// lastFarDraw is when mayUseFar last decided whether a request may go to another zone.
	lastFarDraw time.Time
}

// group is an unordered set of workers. A worker is in at most one group and stores its index
// there.
type group []*worker

func (g *group) add(w *worker) {
	w.groupIndex = len(*g)
	*g = append(*g, w)
}

func (g *group) remove(w *worker) {
	last := len(*g) - 1
	g.swap(w.groupIndex, last)
	(*g)[last] = nil
	*g = (*g)[:last]
}

func (g *group) swap(a, b int) {
	workers := *g
	workers[a], workers[b] = workers[b], workers[a]
	workers[a].groupIndex, workers[b].groupIndex = a, b
}

// groupOf returns the group that the worker belongs to while it is usable.
func (p *pool) groupOf(t *Table, w *worker) *group {
	if t.zoneDistance(w) == 0 {
		return &p.near
	}
	return &p.far
}

// add makes the worker available for new requests.
func (p *pool) add(t *Table, w *worker) {
	w.inGroup = true
	p.groupOf(t, w).add(w)
	p.slots += w.listed.Slots
	changeCount(&p.usableVersions, w.version, 1)
	p.addSlots(w.listed.Zone, w.listed.Slots)
	if t.zoneDistance(w) == 0 {
		p.nearSlots += w.listed.Slots
		p.ring.add(w)
	}
}

// remove takes the worker out of the choice for new requests.
func (p *pool) remove(t *Table, w *worker) {
	if !w.inGroup {
		return
	}
	w.inGroup = false
	p.groupOf(t, w).remove(w)
	p.slots -= w.listed.Slots
	changeCount(&p.usableVersions, w.version, -1)
	p.addSlots(w.listed.Zone, -w.listed.Slots)
	if t.zoneDistance(w) == 0 {
		p.nearSlots -= w.listed.Slots
		p.ring.remove(w)
	}
}

// poolSlots returns the number of slots of all the pool's workers, in total and by zone. If the
// pool reports its pace, a worker that reported fewer slots than listed is counted with the
// reported number.
func (t *Table) poolSlots(p *pool, name string) (slots int, byZone map[string]int) {
	slots, byZone = p.slots, maps.Clone(p.zoneSlots)
	if !t.poolReportsPace(name) {
		return slots, byZone
	}
	for w := range t.fewerSlots {
		if w.inGroup && w.listed.Pool == name {
			less := w.listed.Slots - t.effectiveSlots(w)
			slots -= less
			byZone[w.listed.Zone] -= less
		}
	}
	return slots, byZone
}

// addSlots changes the number of slots in a zone.
func (p *pool) addSlots(zone string, change int) {
	if p.zoneSlots == nil {
		p.zoneSlots = map[string]int{}
	}
	p.zoneSlots[zone] += change
	if p.zoneSlots[zone] == 0 {
		delete(p.zoneSlots, zone)
	}
}

// usableCount returns the number of workers available for new requests.
func (p *pool) usableCount() int {
	if p == nil {
		return 0
	}
	return len(p.near) + len(p.far)
}

// at returns a usable worker by its index over both groups.
func (p *pool) at(index int) *worker {
	if index < len(p.near) {
		return p.near[index]
	}
	return p.far[index-len(p.near)]
}

// ring holds workers ordered by a hash of their ids.
type ring []*worker

func (r ring) find(point uint64) int {
	index, _ := slices.BinarySearchFunc(r, point, func(w *worker, point uint64) int {
		switch {
		case w.point < point:
			return -1
		case w.point > point:
			return 1
		}
		return 0
	})
	return index
}

func (r *ring) add(w *worker) { *r = slices.Insert(*r, r.find(w.point), w) }

func (r *ring) remove(w *worker) {
	for index := r.find(w.point); index < len(*r); index++ {
		if (*r)[index] == w {
			*r = slices.Delete(*r, index, index+1)
			return
		}
	}
}
