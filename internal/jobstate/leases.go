package jobstate

import (
	"sort"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// grantChunk is the number of items that are granted to one tenant before the next tenant is
	// chosen.
	grantChunk = 8
	// maxUrgency bounds the factor by which a near deadline raises a job's weight.
	maxUrgency = 4.0
)

// Leases leases the unfinished items of a group's running jobs to dispatchers. The leases are not
// replicated: a new leader begins without any, and adopts the leases that dispatchers still hold when
// they renew them. It may therefore lease an item a second time, which is safe because only the first
// completion counts.
//
// Tenants share the grants by weighted stride scheduling. The weight is the job's rank times its
// urgency, so that the backlog of one tenant can't starve another.
type Leases struct {
	machine  *Machine
	duration time.Duration
	// queues holds the queues of the running jobs by job id.
	queues map[string]*itemQueue
	leases map[wire.ItemRef]lease
	// byHolder holds the leased items by dispatcher.
	byHolder map[string]map[wire.ItemRef]bool
	// nextExpiry is the time of the next check for expired leases.
	nextExpiry time.Time
	// passes holds the stride scheduler's pass of each tenant that has queued items.
	passes map[string]float64
	// grantsFrom is the time before which nothing is granted.
	grantsFrom time.Time
}

// itemQueue is the queue of a running job's items that wait for a lease. returned holds items whose
// lease was given up or has expired; all items from next on have never been leased. After a renewal
// adopts a lease, the queue may also contain the leased item; dequeue skips such items.
type itemQueue struct {
	next     uint32
	returned []uint32
}

// lease is a dispatcher's lease of an item.
type lease struct {
	holder      string
	incarnation uint64
	expires     time.Time
}

// NewLeases returns the leases of a leader that begins to lead at now. Grant returns nothing until
// the adoption time has passed, so that dispatchers can first renew the leases that they hold from
// the previous leader.
func NewLeases(machine *Machine, duration, adoption time.Duration, now time.Time) *Leases {
	return &Leases{
		machine:    machine,
		duration:   duration,
		queues:     map[string]*itemQueue{},
		leases:     map[wire.ItemRef]lease{},
		byHolder:   map[string]map[wire.ItemRef]bool{},
		passes:     map[string]float64{},
		grantsFrom: now.Add(adoption),
	}
}

// Duration returns the duration of an item's lease.
func (l *Leases) Duration() time.Duration { return l.duration }

// Count returns the number of leased items.
func (l *Leases) Count() int { return len(l.leases) }

// Renew extends the holder's leases on the held items and ends its leases on all other items. It
// returns the held items that the holder must stop: those that are finished, belong to no running
// job, or are leased to another holder or incarnation.
func (l *Leases) Renew(now time.Time, holder string, incarnation uint64, held []wire.ItemRef) []wire.ItemRef {
	renewed := make(map[wire.ItemRef]bool, len(held))
	var stop []wire.ItemRef
	for _, ref := range held {
		if !l.renewItem(now, holder, incarnation, ref) {
			stop = append(stop, ref)
			continue
		}
		renewed[ref] = true
	}
	var dropped []wire.ItemRef
	for ref := range l.byHolder[holder] {
		if !renewed[ref] {
			dropped = append(dropped, ref)
		}
	}
	l.requeue(dropped)
	return stop
}

func (l *Leases) renewItem(now time.Time, holder string, incarnation uint64, ref wire.ItemRef) bool {
	found := l.machine.jobs[ref.JobID]
	if found == nil || found.record.State != wire.JobRunning || ref.Item >= found.record.Items {
		return false
	}
	if found.finished.has(ref.Item) {
		return false
	}
	current, leased := l.leases[ref]
	otherHolder := current.holder != holder || current.incarnation != incarnation
	if leased && otherHolder && now.Before(current.expires) {
		return false
	}
	l.add(ref, lease{holder: holder, incarnation: incarnation, expires: now.Add(l.duration)})
	return true
}

func (l *Leases) add(ref wire.ItemRef, granted lease) {
	l.remove(ref)
	l.leases[ref] = granted
	if l.byHolder[granted.holder] == nil {
		l.byHolder[granted.holder] = map[wire.ItemRef]bool{}
	}
	l.byHolder[granted.holder][ref] = true
}

// remove removes the lease of an item, if there is one.
func (l *Leases) remove(ref wire.ItemRef) {
	current, leased := l.leases[ref]
	if !leased {
		return
	}
	delete(l.leases, ref)
	delete(l.byHolder[current.holder], ref)
	if len(l.byHolder[current.holder]) == 0 {
		delete(l.byHolder, current.holder)
	}
}

// expiryInterval is the shortest time between two scans of all leases for expired ones.
const expiryInterval = 100 * time.Millisecond

// Expire ends the leases that have expired and queues their items again.
func (l *Leases) Expire(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(expiryInterval)
	var expired []wire.ItemRef
	for ref, current := range l.leases {
		if !now.Before(current.expires) {
			expired = append(expired, ref)
		}
	}
	l.requeue(expired)
}

// requeue ends the leases of the items and queues them again. It sorts the items, so that the order
// of the queue doesn't depend on that of a map.
func (l *Leases) requeue(refs []wire.ItemRef) {
	sort.Slice(refs, func(a, b int) bool {
		if refs[a].JobID != refs[b].JobID {
			return refs[a].JobID < refs[b].JobID
		}
		return refs[a].Item < refs[b].Item
	})
	for _, ref := range refs {
		l.remove(ref)
		if queue := l.queues[ref.JobID]; queue != nil {
			queue.returned = append(queue.returned, ref.Item)
		}
	}
}

// Release ends the leases of items whose results have been reported.
func (l *Leases) Release(results []wire.ItemResult) {
	for i := range results {
		l.remove(wire.ItemRef{JobID: results[i].JobID, Item: results[i].Item})
	}
}

// Grant leases at most want queued items, of jobs that use one of the models, to the holder and
// returns them.
func (l *Leases) Grant(now time.Time, holder string, incarnation uint64, want int, models []string) []wire.ItemRef {
	if now.Before(l.grantsFrom) || want <= 0 {
		return nil
	}
	l.updateQueues()
	candidates := l.candidates(models)
	var granted []wire.ItemRef
	for len(granted) < want && len(candidates) > 0 {
		chosen := l.lowestPass(candidates)
		chunk := min(grantChunk, want-len(granted))
		taken := l.dequeue(candidates[chosen][0], chunk)
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
		l.add(ref, lease{holder: holder, incarnation: incarnation, expires: now.Add(l.duration)})
	}
	return granted
}

// updateQueues adds queues for new running jobs and removes those of jobs that have ended.
func (l *Leases) updateQueues() {
	for id := range l.queues {
		if found := l.machine.jobs[id]; found == nil || found.record.State != wire.JobRunning {
			delete(l.queues, id)
		}
	}
	for id := range l.machine.running {
		if l.queues[id] == nil {
			l.queues[id] = &itemQueue{}
		}
	}
}

// candidates returns the ids of the running jobs that use one of the models, by tenant and with the
// nearest deadline first.
func (l *Leases) candidates(models []string) map[string][]string {
	served := make(map[string]bool, len(models))
	for _, model := range models {
		served[model] = true
	}
	byTenant := map[string][]string{}
	for id := range l.queues {
		if record := &l.machine.jobs[id].record; served[record.Model] {
			byTenant[record.Tenant] = append(byTenant[record.Tenant], id)
		}
	}
	for _, ids := range byTenant {
		sort.Slice(ids, func(a, b int) bool { return l.deadlineBefore(ids[a], ids[b]) })
	}
	l.updatePasses(byTenant)
	return byTenant
}

func (l *Leases) deadlineBefore(first, second string) bool {
	a, b := &l.machine.jobs[first].record, &l.machine.jobs[second].record
	if a.DeadlineMillis != b.DeadlineMillis {
		return a.DeadlineMillis < b.DeadlineMillis
	}
	return a.ID < b.ID
}

// updatePasses removes the passes of tenants without candidates and starts new tenants at the lowest
// pass, so that a tenant gets no credit for the time in which it had no work.
func (l *Leases) updatePasses(byTenant map[string][]string) {
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

// charge advances the tenant's pass by the number of granted items divided by the job's weight.
func (l *Leases) charge(now time.Time, tenant, jobID string, items int) {
	record := &l.machine.jobs[jobID].record
	weight := float64(max(record.Rank, 1)) * urgency(now, record)
	l.passes[tenant] += float64(items) / weight
}

// urgency returns the share of a job's items that are not finished divided by the share of its time
// that is left, from 1 (on schedule) to maxUrgency.
func urgency(now time.Time, record *wire.JobRecord) float64 {
	window := float64(record.DeadlineMillis - record.CreatedMillis)
	timeLeft := float64(record.DeadlineMillis - now.UnixMilli())
	unfinished := float64(record.Items - record.Succeeded - record.Failed)
	if window <= 0 || record.Items == 0 {
		return 1
	}
	if timeLeft <= 0 {
		return maxUrgency
	}
	ratio := (unfinished / float64(record.Items)) / (timeLeft / window)
	return min(max(ratio, 1), maxUrgency)
}

// dequeue removes up to count items from the queue of a job and returns them. It skips items that are
// finished or were leased again by a renewal.
func (l *Leases) dequeue(jobID string, count int) []wire.ItemRef {
	queue, running := l.queues[jobID], l.machine.jobs[jobID]
	var refs []wire.ItemRef
	for len(refs) < count && len(queue.returned) > 0 {
		item := queue.returned[0]
		queue.returned = queue.returned[1:]
		refs = l.appendQueued(refs, running, wire.ItemRef{JobID: jobID, Item: item})
	}
	for len(refs) < count && queue.next < running.record.Items {
		item := queue.next
		queue.next++
		refs = l.appendQueued(refs, running, wire.ItemRef{JobID: jobID, Item: item})
	}
	return refs
}

func (l *Leases) appendQueued(refs []wire.ItemRef, running *job, ref wire.ItemRef) []wire.ItemRef {
	if _, leased := l.leases[ref]; leased || running.finished.has(ref.Item) {
		return refs
	}
	return append(refs, ref)
}
