package jobstate

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// grantChunk is how many items one tenant is given before the next is
	// considered.
	grantChunk = 8
	// maxUrgency bounds how much a near deadline multiplies a job's weight.
	maxUrgency = 4.0
)

// Leases hands out the waiting items of a group's running jobs. It is soft
// state of the leader: a new leader begins with none, adopts the items that
// dispatchers still hold when they renew, and may hand an item out a second
// time, which is safe because only the first completion counts.
//
// Tenants share by weighted stride scheduling: the weight is the job's rank
// times its urgency, so that one tenant's heap can't starve another.
type Leases struct {
	machine  *Machine
	duration time.Duration
	open     map[string]*openJob
	held     map[wire.ItemRef]lease
	holders  map[string]map[wire.ItemRef]bool
	expiry   time.Time
	passes   map[string]float64
	ready    time.Time
}

// openJob tracks which items of a running job still wait to be handed out.
type openJob struct {
	next     uint32
	returned []uint32
}

// lease says who works on an item, and until when.
type lease struct {
	holder      string
	incarnation uint64
	expires     time.Time
}

// NewLeases returns the leases of a leader that begins at now. Nothing is
// granted for adoption, so that dispatchers can first renew what they hold.
func NewLeases(machine *Machine, duration, adoption time.Duration, now time.Time) *Leases {
	return &Leases{
		machine:  machine,
		duration: duration,
		open:     map[string]*openJob{},
		held:     map[wire.ItemRef]lease{},
		holders:  map[string]map[wire.ItemRef]bool{},
		passes:   map[string]float64{},
		ready:    now.Add(adoption),
	}
}

// Duration returns the length of an item's lease.
func (l *Leases) Duration() time.Duration { return l.duration }

// Count returns the number of items out on lease.
func (l *Leases) Count() int { return len(l.held) }

// Renew extends the holder's leases on held, ends its leases on all other
// items, and returns those of held whose work must stop.
func (l *Leases) Renew(now time.Time, holder string, incarnation uint64, held []wire.ItemRef) []wire.ItemRef {
	keep := make(map[wire.ItemRef]bool, len(held))
	var stop []wire.ItemRef
	for _, ref := range held {
		if !l.renewOne(now, holder, incarnation, ref) {
			stop = append(stop, ref)
			continue
		}
		keep[ref] = true
	}
	var dropped []wire.ItemRef
	for ref := range l.holders[holder] {
		if !keep[ref] {
			dropped = append(dropped, ref)
		}
	}
	l.giveBack(dropped)
	return stop
}

func (l *Leases) renewOne(now time.Time, holder string, incarnation uint64, ref wire.ItemRef) bool {
	found := l.machine.jobs[ref.JobID]
	if found == nil || found.record.State != wire.JobRunning || ref.Item >= found.record.Items {
		return false
	}
	if found.finished.has(ref.Item) {
		return false
	}
	current, leased := l.held[ref]
	other := current.holder != holder || current.incarnation != incarnation
	if leased && other && now.Before(current.expires) {
		return false
	}
	l.hold(ref, lease{holder: holder, incarnation: incarnation, expires: now.Add(l.duration)})
	return true
}

func (l *Leases) hold(ref wire.ItemRef, granted lease) {
	l.drop(ref)
	l.held[ref] = granted
	if l.holders[granted.holder] == nil {
		l.holders[granted.holder] = map[wire.ItemRef]bool{}
	}
	l.holders[granted.holder][ref] = true
}

// drop forgets who holds the item.
func (l *Leases) drop(ref wire.ItemRef) {
	current, leased := l.held[ref]
	if !leased {
		return
	}
	delete(l.held, ref)
	delete(l.holders[current.holder], ref)
	if len(l.holders[current.holder]) == 0 {
		delete(l.holders, current.holder)
	}
}

// expiryInterval is the time between looks at all leases.
const expiryInterval = 100 * time.Millisecond

// Expire ends the leases that have run out.
func (l *Leases) Expire(now time.Time) {
	if now.Before(l.expiry) {
		return
	}
	l.expiry = now.Add(expiryInterval)
	var expired []wire.ItemRef
	for ref, current := range l.held {
		if !now.Before(current.expires) {
			expired = append(expired, ref)
		}
	}
	l.giveBack(expired)
}

// giveBack lets the items wait again, in an order that depends on them alone.
func (l *Leases) giveBack(refs []wire.ItemRef) {
	sort.Slice(refs, func(a, b int) bool {
		if refs[a].JobID != refs[b].JobID {
			return refs[a].JobID < refs[b].JobID
		}
		return refs[a].Item < refs[b].Item
	})
	for _, ref := range refs {
		l.drop(ref)
		if waiting := l.open[ref.JobID]; waiting != nil {
			waiting.returned = append(waiting.returned, ref.Item)
		}
	}
}

// Release forgets the leases of items that have been reported.
func (l *Leases) Release(results []wire.ItemResult) {
	for i := range results {
		l.drop(wire.ItemRef{JobID: results[i].JobID, Item: results[i].Item})
	}
}

// Grant leases up to want waiting items of jobs that use one of the models.
func (l *Leases) Grant(now time.Time, holder string, incarnation uint64, want int, models []string) []wire.ItemRef {
	if now.Before(l.ready) || want <= 0 {
		return nil
	}
	l.refresh()
	candidates := l.candidates(models)
	var granted []wire.ItemRef
	for len(granted) < want && len(candidates) > 0 {
		chosen := l.lowestPass(candidates)
		chunk := min(grantChunk, want-len(granted))
		taken := l.take(candidates[chosen][0], chunk)
		granted = append(granted, taken...)
		l.charge(now, chosen, candidates[chosen][0], len(taken))
		if len(taken) < chunk {
			candidates[chosen] = candidates[chosen][1:]
		}
		if len(candidates[chosen]) == 0 {
			delete(candidates, chosen)
		}
	}
	for _, ref := range granted {
		l.hold(ref, lease{holder: holder, incarnation: incarnation, expires: now.Add(l.duration)})
	}
	return granted
}

// refresh opens jobs that have begun and closes those that have ended.
func (l *Leases) refresh() {
	for id := range l.open {
		if found := l.machine.jobs[id]; found == nil || found.record.State != wire.JobRunning {
			delete(l.open, id)
		}
	}
	for id := range l.machine.running {
		if l.open[id] == nil {
			l.open[id] = &openJob{}
		}
	}
}

// candidates returns the running jobs by tenant, the nearest deadline first.
func (l *Leases) candidates(models []string) map[string][]string {
	served := make(map[string]bool, len(models))
	for _, model := range models {
		served[model] = true
	}
	byTenant := map[string][]string{}
	for id := range l.open {
		if record := &l.machine.jobs[id].record; served[record.Model] {
			byTenant[record.Tenant] = append(byTenant[record.Tenant], id)
		}
	}
	for _, ids := range byTenant {
		sort.Slice(ids, func(a, b int) bool { return l.before(ids[a], ids[b]) })
	}
	l.admitTenants(byTenant)
	return byTenant
}

func (l *Leases) before(first, second string) bool {
	a, b := &l.machine.jobs[first].record, &l.machine.jobs[second].record
	if a.DeadlineMillis != b.DeadlineMillis {
		return a.DeadlineMillis < b.DeadlineMillis
	}
	return a.ID < b.ID
}

// admitTenants starts new tenants at the lowest pass and forgets idle ones.
func (l *Leases) admitTenants(byTenant map[string][]string) {
	lowest, found := 0.0, false
	for tenant, pass := range l.passes {
		if byTenant[tenant] == nil {
			delete(l.passes, tenant)
			continue
		}
		if !found || pass < lowest {
			lowest, found = pass, true
		}
	}
	for tenant := range byTenant {
		if _, known := l.passes[tenant]; !known {
			l.passes[tenant] = lowest
		}
	}
}

func (l *Leases) lowestPass(candidates map[string][]string) string {
	chosen := ""
	for tenant := range candidates {
		lower := chosen == "" || l.passes[tenant] < l.passes[chosen]
		tie := chosen != "" && l.passes[tenant] == l.passes[chosen] && tenant < chosen
		if lower || tie {
			chosen = tenant
		}
	}
	return chosen
}

// charge advances the tenant's pass by the items taken over its weight.
func (l *Leases) charge(now time.Time, tenant, jobID string, items int) {
	record := &l.machine.jobs[jobID].record
	weight := float64(max(record.Rank, 1)) * urgency(now, record)
	l.passes[tenant] += float64(items) / weight
}

// urgency grows from 1 to maxUrgency as a job's window runs out faster than
// its items are finished.
func urgency(now time.Time, record *wire.JobRecord) float64 {
	window := float64(record.DeadlineMillis - record.CreatedMillis)
	left := float64(record.DeadlineMillis - now.UnixMilli())
	remaining := float64(record.Items - record.Succeeded - record.Failed)
	if window <= 0 || record.Items == 0 {
		return 1
	}
	if left <= 0 {
		return maxUrgency
	}
	behind := (remaining / float64(record.Items)) / (left / window)
	return min(max(behind, 1), maxUrgency)
}

// take removes up to count waiting items of a job from the queue.
func (l *Leases) take(jobID string, count int) []wire.ItemRef {
	waiting, running := l.open[jobID], l.machine.jobs[jobID]
	var refs []wire.ItemRef
	for len(refs) < count && len(waiting.returned) > 0 {
		item := waiting.returned[0]
		waiting.returned = waiting.returned[1:]
		refs = l.appendWaiting(refs, running, wire.ItemRef{JobID: jobID, Item: item})
	}
	for len(refs) < count && waiting.next < running.record.Items {
		item := waiting.next
		waiting.next++
		refs = l.appendWaiting(refs, running, wire.ItemRef{JobID: jobID, Item: item})
	}
	return refs
}

func (l *Leases) appendWaiting(refs []wire.ItemRef, running *job, ref wire.ItemRef) []wire.ItemRef {
	if _, leased := l.held[ref]; leased || running.finished.has(ref.Item) {
		return refs
	}
	return append(refs, ref)
}
