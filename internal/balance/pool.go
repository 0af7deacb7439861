package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgemast/sedgemast/internal/capacity"
)

// pool holds the usable workers of one pool, so that a choice need not look at all: in
// two groups to draw from, and those of the zone on a ring to find homes on.
type pool struct {
	// near and far are the workers of this process's zone and of the others.
	near group
	far  group
	ring ring
	// slots is how many slots all its workers have together, zoneSlots those by zone.
	slots     int
	zoneSlots map[string]int
	// nearSlots are those of the zone's.
	nearSlots int
	// middle is the time between events in the middle of its workers. nearSum and farSum are
	// what these can carry.
	middle  time.Duration
	nearSum capacity.Sum
	farSum  capacity.Sum
	// hold is how long an online request holds a slot, as learnt. nearRate and farRate are
	// how many online requests are answered in ten seconds there, as told.
	hold     time.Duration
	nearRate int
	farRate  int
	// farDrawn is when a request drew last whether it may go to another zone.
	farDrawn time.Time
}

// group is a set of workers in no special order. A worker stands in one group at most and
// knows its place there.
type group []*worker

func (g *group) add(w *worker) {
	w.place = len(*g)
	*g = append(*g, w)
}

func (g *group) remove(w *worker) {
	last := len(*g) - 1
	g.swap(w.place, last)
	(*g)[last] = nil
	*g = (*g)[:last]
}

func (g *group) swap(a, b int) {
	workers := *g
	workers[a], workers[b] = workers[b], workers[a]
	workers[a].place, workers[b].place = a, b
}

// groupOf returns the group that the worker stands in while it is usable.
func (p *pool) groupOf(t *Table, w *worker) *group {
	if t.away(w) == 0 {
		return &p.near
	}
	return &p.far
}

// enter makes the worker one to choose from.
func (p *pool) enter(t *Table, w *worker) {
	w.entered = true
	p.groupOf(t, w).add(w)
	p.slots += w.listed.Slots
	p.addSlots(w.listed.Zone, w.listed.Slots)
	if t.away(w) == 0 {
		p.nearSlots += w.listed.Slots
		p.ring.add(w)
	}
}

// leave takes the worker out.
func (p *pool) leave(t *Table, w *worker) {
	if !w.entered {
		return
	}
	w.entered = false
	p.groupOf(t, w).remove(w)
	p.slots -= w.listed.Slots
	p.addSlots(w.listed.Zone, -w.listed.Slots)
	if t.away(w) == 0 {
		p.nearSlots -= w.listed.Slots
		p.ring.remove(w)
	}
}

// slotsOfPool returns how many slots all the pool's workers have together, and those by zone: by
// the list, and by what they told where that counts.
func (t *Table) slotsOfPool(p *pool, name string) (slots int, byZone map[string]int) {
	slots, byZone = p.slots, maps.Clone(p.zoneSlots)
	if !t.tellsPace(name) {
		return slots, byZone
	}
	for w := range t.fewer {
		if w.entered && w.listed.Pool == name {
			less := w.listed.Slots - t.slotsOf(w)
			slots -= less
			byZone[w.listed.Zone] -= less
		}
	}
	return slots, byZone
}

// addSlots changes how many slots there are in a zone.
func (p *pool) addSlots(zone string, change int) {
	if p.zoneSlots == nil {
		p.zoneSlots = map[string]int{}
	}
	p.zoneSlots[zone] += change
	if p.zoneSlots[zone] == 0 {
		delete(p.zoneSlots, zone)
	}
}

// usable counts the workers for new requests.
func (p *pool) usable() int {
	if p == nil {
		return 0
	}
	return len(p.near) + len(p.far)
}

// at returns one of the usable workers by its number.
func (p *pool) at(number int) *worker {
	if number < len(p.near) {
		return p.near[number]
	}
	return p.far[number-len(p.near)]
}

// ring orders workers by a hash of their names.
type ring []*worker

func (r ring) find(point uint64) int {
	at, _ := slices.BinarySearchFunc(r, point, func(w *worker, point uint64) int {
		switch {
		case w.point < point:
			return -1
		case w.point > point:
			return 1
		}
		return 0
	})
	return at
}

func (r *ring) add(w *worker) { *r = slices.Insert(*r, r.find(w.point), w) }

func (r *ring) remove(w *worker) {
	for at := r.find(w.point); at < len(*r); at++ {
		if (*r)[at] == w {
			*r = slices.Delete(*r, at, at+1)
			return
		}
	}
}
