package ratelimit

import (
	"math"
	"time"
)

const (
	// recentUseHalfLife is the half-life of the tokens that a hub has taken, in the calculation of
	// its share.
	recentUseHalfLife = 2 * time.Second
	// evenShareFraction is the fraction of all shares that is divided evenly, so that a zone
	// without any request of a tenant so far has a share of its bucket as well.
	evenShareFraction = 0.1
)

// Top keeps the buckets of all tenants. It is not safe for concurrent use.
//
// Invariant: the level of a bucket, together with the parts reserved for unresponsive hubs, is
// what the limit has allowed since the top started, less the tokens that hubs have reported as
// taken.
type Top struct {
	tolerance Tolerance
	limits    map[Tenant]Limit
	startedAt time.Time
	epoch     uint32
	sequence  uint64
	buckets   map[Tenant]*tenantBucket
	hubs      map[uint32]*hubState
	// zones is the number of zones that have a hub. Until hubs of all zones have joined, a part of
	// the rate of each bucket that hubs contribute counts as used by hubs that have not joined yet
	// (tenantBucket.unjoinedShare).
	zones          int
	allZonesJoined bool
}

// tenantBucket is a tenant's bucket with its use by each hub.
type tenantBucket struct {
	bucket
	changedSequence uint64
	// reservedShare is the part of the rate that unresponsive hubs use on their own.
	reservedShare float64
	// unjoinedShare is the part of the rate that is used by hubs that have not joined yet.
	unjoinedShare float64
	usages        map[uint32]*usage
}

// usage is the use of a bucket by one hub.
type usage struct {
	// joined is set once the hub's tokens are counted. taken is how many it has taken.
	joined bool
	taken  int64
	// recentUse is the number of tokens taken, with exponential decay.
	recentUse float64
	at        time.Time
	// sentShare is the share that was last sent to the hub, at sequence sentSequence. maxShare is
	// the largest share that the hub may use at present.
	sentShare    float64
	sentSequence uint64
	maxShare     float64
	// reservedTokens are the tokens reserved for the hub while it is unresponsive.
	reservedTokens float64
}

// hubState is the state of a hub that reports.
type hubState struct {
	epoch uint32
	zone  string
	at    time.Time
	// unresponsiveSince is set while the hub does not report.
	unresponsiveSince time.Time
	released          bool
	// joined is set once the hub has reported what it contributes.
	joined bool
	// edges is how many edges reported to the hub by its last report.
	edges int
	// ackedSequence is the last change of the top that the hub has applied.
	ackedSequence uint64
	// appliedSequence is the last change of the hub that was applied here.
	appliedSequence uint64
}

// NewTop returns a top without hubs. It learns from the hubs what was taken under another top:
// each hub contributes the part of the bucket that it held alone.
func NewTop(now time.Time, epoch uint32, tolerance Tolerance) *Top {
	return &Top{tolerance: tolerance, limits: map[Tenant]Limit{}, startedAt: now, epoch: epoch, buckets: map[Tenant]*tenantBucket{}, hubs: map[uint32]*hubState{}}
}

// SetLimits sets the limits in force and the number of zones that have a hub.
func (t *Top) SetLimits(limits map[Tenant]Limit, zones int) {
	t.limits, t.zones = limits, max(zones, 1)
	for tenant := range t.buckets {
		if _, limited := limits[tenant]; !limited {
			delete(t.buckets, tenant)
		}
	}
}

// ApplyReport applies the report of a hub in a zone and returns the answer. edges is the number
// of edges that report to the hub.
func (t *Top) ApplyReport(now time.Time, source uint32, zone string, edges int, report *Update) *Update {
	t.expire(now)
	h := t.hubs[source]
	if h == nil || h.epoch != report.Epoch {
		if h != nil {
			t.dropHub(source)
		}
		h = &hubState{epoch: report.Epoch, zone: zone}
		t.hubs[source] = h
	}
	if !h.unresponsiveSince.IsZero() {
		t.restoreHub(now, source, h)
	}
	h.at, h.edges = now, edges
	if report.AckEpoch != t.epoch {
		// The rows were counted for another top. Once the hub knows this top, it reports what it
		// contributes.
		h.ackedSequence, h.appliedSequence = 0, 0
		return t.answer(now, source, h)
	}
	h.ackedSequence, h.joined = report.AckSequence, true
	if report.Sequence >= h.appliedSequence {
		// A report that a later one has overtaken is ignored.
		for i := range report.Rows {
			t.applyRow(now, source, &report.Rows[i])
		}
		h.appliedSequence = report.Sequence
	}
	return t.answer(now, source, h)
}

// bucketOf returns the tenant's bucket, refilled up to now, or nil if the tenant has no limit.
func (t *Top) bucketOf(now time.Time, tenant Tenant) *tenantBucket {
	limit, limited := t.limits[tenant]
	if !limited {
		return nil
	}
	b := t.buckets[tenant]
	if b == nil {
		b = &tenantBucket{bucket: bucket{level: t.tolerance.start(limit), at: t.startedAt}, usages: map[uint32]*usage{}}
		t.buckets[tenant] = b
	}
	b.refill(now, limit.Rate*b.refillShare(), t.tolerance.capacity(limit))
	return b
}

// refillShare returns the part of the rate at which the bucket refills.
func (b *tenantBucket) refillShare() float64 { return max(1-b.reservedShare-b.unjoinedShare, 0) }

// applyRow applies what a hub has taken from one bucket.
func (t *Top) applyRow(now time.Time, source uint32, row *Row) {
	first := t.buckets[row.Tenant] == nil
	b := t.bucketOf(now, row.Tenant)
	if b == nil {
		return
	}
	u := b.usageBy(now, source)
	if !u.joined {
		u.joined = true
		switch {
		case row.Joining:
			t.joinHub(b, u, row, first)
		case row.Counted:
			// The tenant's limit was missing for a moment here, but not at the hub. The tokens taken
			// before that have been counted already.
			u.taken = row.Taken
		}
	}
	taken := float64(row.Taken - u.taken)
	u.taken = row.Taken
	u.decay(now)
	u.recentUse = max(u.recentUse+taken, 0)
	b.level -= taken
	t.sequence++
	b.changedSequence = t.sequence
}

// joinHub applies the contribution of a hub that has taken tokens before: the part of the bucket
// that it held alone. The tokens that the hub has taken are not in that part. If this top did not
// know the bucket before, it starts from an empty one, because all tokens are in the parts of hubs
// that join.
func (t *Top) joinHub(b *tenantBucket, u *usage, row *Row, first bool) {
	if first {
		b.level = 0
		if !t.allZonesJoined {
			b.unjoinedShare = 1
		}
	}
	b.unjoinedShare = max(b.unjoinedShare-row.Share, 0)
	// The hub's recent use is known only by its share.
	u.recentUse = row.Share * t.limits[row.Tenant].Rate * recentUseHalfLife.Seconds()
	u.sentShare, u.maxShare = row.Share, row.Share
	b.level = min(b.level+row.Level, t.tolerance.capacity(t.limits[row.Tenant]))
	u.taken = row.Taken
}

func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		u.recentUse *= math.Exp2(-float64(elapsed) / float64(recentUseHalfLife))
		u.at = now
	}
}

// usageBy returns the use of the bucket by a hub.
func (b *tenantBucket) usageBy(now time.Time, source uint32) *usage {
	u := b.usages[source]
	if u == nil {
		u = &usage{at: now}
		b.usages[source] = u
	}
	return u
}

// assignShare returns the part of a bucket with which a hub continues if it becomes isolated: by
// its recent use, and at most what the largest shares that the other hubs may use leave of the
// whole. A hub that was sent a smaller share may use its previous one until it acknowledges the
// new one.
func (t *Top) assignShare(now time.Time, b *tenantBucket, source uint32, ackedSequence uint64) float64 {
	own := b.usageBy(now, source)
	if ackedSequence >= own.sentSequence {
		own.maxShare = own.sentShare
	}
	sum, otherShares, users := 0.0, 0.0, 0
	for name, u := range b.usages {
		u.decay(now)
		sum += u.recentUse
		users++
		if name != source {
			otherShares += u.maxShare
		}
	}
	share := 1 / float64(max(t.zones, users))
	if sum > 0 {
		share = evenShareFraction*share + (1-evenShareFraction)*own.recentUse/sum
	}
	// Hubs that do not know the tenant yet would use an even share.
	unawareShare := float64(max(t.zones-users, 0)) / float64(t.zones)
	share = min(share, max(1-otherShares-b.unjoinedShare-unawareShare, 0))
	own.sentShare, own.sentSequence, own.maxShare = share, t.sequence, max(own.maxShare, share)
	return share
}

// answer returns the changes that the hub has not acknowledged yet.
func (t *Top) answer(now time.Time, source uint32, h *hubState) *Update {
	update := &Update{Epoch: t.epoch, Sequence: t.sequence, AckEpoch: h.epoch, AckSequence: h.appliedSequence, AllZonesJoined: t.allZonesJoined}
	for tenant, b := range t.buckets {
		if b.changedSequence <= h.ackedSequence {
			continue
		}
		t.bucketOf(now, tenant)
		share := t.assignShare(now, b, source, h.ackedSequence)
		u := b.usages[source]
		update.Rows = append(update.Rows, Row{Tenant: tenant, Taken: u.taken, Counted: u.joined, Level: b.level, Share: share, RefillShare: b.refillShare()})
	}
	return update
}

// expire reserves the shares of hubs that have become unresponsive, and releases the shares of
// hubs that are not waited for any longer.
func (t *Top) expire(now time.Time) {
	t.checkAllJoined(now)
	for source, h := range t.hubs {
		if h.unresponsiveSince.IsZero() && now.Sub(h.at) > UpdateTTL {
			h.unresponsiveSince = now
			if h.released = t.hasSuccessor(now, source, h); !h.released {
				t.reserveShare(now, source)
			}
		}
		if !h.unresponsiveSince.IsZero() && !h.released && t.isLost(now, source, h) {
			h.released = true
			t.releaseShare(now, source)
		}
	}
}

// checkAllJoined ends the wait for hubs that have not joined: once a hub of each zone has joined,
// or after the time for which isolated hubs keep their full shares plus UpdateTTL.
func (t *Top) checkAllJoined(now time.Time) {
	if t.allZonesJoined {
		return
	}
	zones := map[string]bool{}
	for _, h := range t.hubs {
		if h.joined {
			zones[h.zone] = true
		}
	}
	if len(zones) < t.zones && now.Sub(t.startedAt) <= fullShareTime+UpdateTTL {
		return
	}
	t.allZonesJoined = true
	for tenant := range t.buckets {
		b := t.bucketOf(now, tenant)
		b.unjoinedShare = 0
		t.markChanged(b)
	}
}

// isLost reports whether an unresponsive hub is not waited for any longer.
func (t *Top) isLost(now time.Time, source uint32, h *hubState) bool {
	unresponsiveTime := now.Sub(h.unresponsiveSince)
	if unresponsiveTime > fullShareTime {
		return true
	}
	return t.hasSuccessor(now, source, h)
}

// successorEdgePercent is the percentage of an unresponsive hub's edges that must report to other
// hubs of its zone for it to count as replaced.
const successorEdgePercent = 75

// hasSuccessor reports whether most edges of an unresponsive hub now report to other hubs of its
// zone, so that it has no edge left to give tokens to.
func (t *Top) hasSuccessor(now time.Time, source uint32, target *hubState) bool {
	const hundredPercent = 100
	edges := 0
	for other, h := range t.hubs {
		if other != source && h.zone == target.zone && now.Sub(h.at) <= UpdateTTL {
			edges += h.edges
		}
	}
	return edges*hundredPercent >= target.edges*successorEdgePercent
}

// RemoveHub records that no edge reports to a hub any longer.
func (t *Top) RemoveHub(now time.Time, source uint32) {
	if h := t.hubs[source]; h != nil && h.unresponsiveSince.IsZero() {
		h.unresponsiveSince, h.released = now, true
	}
}

// reserveShare takes the share of an unresponsive hub out of all buckets.
func (t *Top) reserveShare(now time.Time, source uint32) {
	for tenant := range t.buckets {
		b := t.bucketOf(now, tenant)
		u := b.usages[source]
		if u == nil {
			continue
		}
		u.reservedTokens = max(b.level, 0) * u.maxShare
		b.level -= u.reservedTokens
		b.reservedShare = min(b.reservedShare+u.maxShare, 1)
		t.markChanged(b)
	}
}

// releaseShare lets the tokens reserved for a hub return at the bucket's refill rate.
func (t *Top) releaseShare(now time.Time, source uint32) {
	for tenant := range t.buckets {
		b := t.bucketOf(now, tenant)
		if u := b.usages[source]; u != nil {
			b.reservedShare = max(b.reservedShare-u.maxShare, 0)
			u.reservedTokens = 0
			t.markChanged(b)
		}
	}
}

// restoreHub returns the tokens reserved for a hub to the buckets. The hub's report says how many
// of them it has taken.
func (t *Top) restoreHub(now time.Time, source uint32, h *hubState) {
	unresponsiveTime := now.Sub(h.unresponsiveSince)
	if !h.released {
		for tenant := range t.buckets {
			b := t.bucketOf(now, tenant)
			u := b.usages[source]
			if u == nil {
				continue
			}
			limit := t.limits[tenant]
			b.reservedShare = max(b.reservedShare-u.maxShare, 0)
			b.level = min(b.level+u.reservedTokens+u.maxShare*limit.Rate*unresponsiveTime.Seconds(), t.tolerance.capacity(limit))
			u.reservedTokens = 0
			t.markChanged(b)
		}
	}
	h.unresponsiveSince, h.released = time.Time{}, false
}

// dropHub removes a hub that has restarted with a new incarnation.
func (t *Top) dropHub(source uint32) {
	for _, b := range t.buckets {
		u := b.usages[source]
		if u == nil {
			continue
		}
		if h := t.hubs[source]; h != nil && !h.unresponsiveSince.IsZero() && !h.released {
			b.reservedShare = max(b.reservedShare-u.maxShare, 0)
		}
		delete(b.usages, source)
		t.markChanged(b)
	}
	delete(t.hubs, source)
}

func (t *Top) markChanged(b *tenantBucket) {
	t.sequence++
	b.changedSequence = t.sequence
}
