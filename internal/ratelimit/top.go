package ratelimit

import (
	"math"
	"time"
)

const (
	// shareHalf is the time after which what a hub took counts half in its share.
	shareHalf = 2 * time.Second
	// evenPart is the part of all shares that is divided evenly, so that a zone that
	// has had no request of a tenant yet has some of it.
	evenPart = 0.1
)

// Top keeps the buckets of all tenants. It is not safe for concurrent use.
//
// Invariant: the level of a bucket, with the parts set aside for silent hubs, is what the
// limit has let through since the top began, less what hubs have told that they took.
type Top struct {
	tolerance Tolerance
	limits    map[Tenant]Limit
	began     time.Time
	epoch     uint32
	mark      uint64
	buckets   map[Tenant]*shared
	hubs      map[uint32]*hub
	// zones is how many zones have a hub. Until all are heard, the buckets that hubs
	// bring are taken to be divided among more hubs than those heard.
	zones    int
	complete bool
}

// shared is a tenant's bucket and what each hub has to do with it.
type shared struct {
	bucket
	changed uint64
	// aside is the part of the rate that silent hubs go on with.
	aside float64
	// missing is the part of the rate that hubs go on with which have not joined.
	missing float64
	users   map[uint32]*user
}

// user is what one hub has to do with a bucket.
type user struct {
	// joined is set once count, what it has taken, is counted.
	joined bool
	count  int64
	// weight is what it took of late.
	weight float64
	at     time.Time
	// told is the share that it was told last, with the change toldAt; share is the
	// largest that it may go by.
	told   float64
	toldAt uint64
	share  float64
	// taken are the tokens that it has taken along as a silent hub.
	taken float64
}

// hub is a hub that reports.
type hub struct {
	epoch uint32
	zone  string
	at    time.Time
	// silentSince is set while it does not report.
	silentSince time.Time
	released    bool
	// joined is set once it has told what it brings.
	joined bool
	// edges is how many edges reported to it last.
	edges int
	// heard is the last change of the top that the hub has taken in.
	heard uint64
	// confirmed is the last change of the hub that was taken in here.
	confirmed uint64
}

// NewTop returns a top that knows no hub. What was taken under another top it learns
// from the hubs: each brings the part of the bucket that it held alone.
func NewTop(now time.Time, epoch uint32, tolerance Tolerance) *Top {
	return &Top{tolerance: tolerance, limits: map[Tenant]Limit{}, began: now, epoch: epoch, buckets: map[Tenant]*shared{}, hubs: map[uint32]*hub{}}
}

// SetLimits takes in the limits in force, and how many zones have a hub.
func (t *Top) SetLimits(limits map[Tenant]Limit, zones int) {
	t.limits, t.zones = limits, max(zones, 1)
	for tenant := range t.buckets {
		if _, limited := limits[tenant]; !limited {
			delete(t.buckets, tenant)
		}
	}
}

// ApplyReport takes in the report of a hub in a zone, to which so many edges report, and returns
// the answer.
func (t *Top) ApplyReport(now time.Time, source uint32, zone string, edges int, report *Update) *Update {
	t.expire(now)
	known := t.hubs[source]
	if known == nil || known.epoch != report.Epoch {
		if known != nil {
			t.forget(source)
		}
		known = &hub{epoch: report.Epoch, zone: zone}
		t.hubs[source] = known
	}
	if !known.silentSince.IsZero() {
		t.heardAgain(now, source, known)
	}
	known.at, known.edges = now, edges
	if report.AckEpoch != t.epoch {
		// It was counted for another top. Once the hub has heard of this one it says
		// what it brings.
		known.heard, known.confirmed = 0, 0
		return t.answer(now, source, known)
	}
	known.heard, known.joined = report.AckSequence, true
	if report.Sequence >= known.confirmed {
		// One that was overtaken by a later one says nothing.
		for i := range report.Rows {
			t.take(now, source, &report.Rows[i])
		}
		known.confirmed = report.Sequence
	}
	return t.answer(now, source, known)
}

// bucketOf returns the tenant's bucket, brought up to now, or nil for one without a limit.
func (t *Top) bucketOf(now time.Time, tenant Tenant) *shared {
	limit, limited := t.limits[tenant]
	if !limited {
		return nil
	}
	known := t.buckets[tenant]
	if known == nil {
		known = &shared{bucket: bucket{level: t.tolerance.start(limit), at: t.began}, users: map[uint32]*user{}}
		t.buckets[tenant] = known
	}
	known.refill(now, limit.Rate*known.refills(), t.tolerance.capacity(limit))
	return known
}

// refills returns the part of the rate at which a bucket refills.
func (s *shared) refills() float64 { return max(1-s.aside-s.missing, 0) }

// take takes in what a hub has taken of one bucket.
func (t *Top) take(now time.Time, source uint32, row *Row) {
	first := t.buckets[row.Tenant] == nil
	known := t.bucketOf(now, row.Tenant)
	if known == nil {
		return
	}
	used := known.user(now, source)
	if !used.joined {
		used.joined = true
		switch {
		case row.Joining:
			t.join(known, used, row, first)
		case row.Counted:
			// The tenant's limit was gone here for a moment, and not there: what was
			// taken before that has been counted.
			used.count = row.Taken
		}
	}
	taken := float64(row.Taken - used.count)
	used.count = row.Taken
	used.weigh(now)
	used.weight = max(used.weight+taken, 0)
	known.level -= taken
	t.mark++
	known.changed = t.mark
}

// join takes in what a hub brings that has taken tokens before: the part that it held
// alone. What it took is no part of that. Of a bucket that was not known here all that is
// left is in such parts.
func (t *Top) join(known *shared, used *user, row *Row, first bool) {
	if first {
		known.level = 0
		if !t.complete {
			known.missing = 1
		}
	}
	known.missing = max(known.missing-row.Share, 0)
	// What it took of late is known by its share alone.
	used.weight = row.Share * t.limits[row.Tenant].Rate * shareHalf.Seconds()
	used.told, used.share = row.Share, row.Share
	known.level = min(known.level+row.Level, t.tolerance.capacity(t.limits[row.Tenant]))
	used.count = row.Taken
}

func (u *user) weigh(now time.Time) {
	if passed := now.Sub(u.at); passed > 0 {
		u.weight *= math.Exp2(-float64(passed) / float64(shareHalf))
		u.at = now
	}
}

// user returns what a hub has to do with the bucket.
func (s *shared) user(now time.Time, source uint32) *user {
	used := s.users[source]
	if used == nil {
		used = &user{at: now}
		s.users[source] = used
	}
	return used
}

// tell returns the part of a bucket that a hub is to go on with on its own: by what it
// took of late, and no more than what the others may go by leaves of the whole. A hub that
// was told less goes by what it was told before until it says that it has heard.
func (t *Top) tell(now time.Time, known *shared, source uint32, heard uint64) float64 {
	own := known.user(now, source)
	if heard >= own.toldAt {
		own.share = own.told
	}
	sum, others, users := 0.0, 0.0, 0
	for name, used := range known.users {
		used.weigh(now)
		sum += used.weight
		users++
		if name != source {
			others += used.share
		}
	}
	share := 1 / float64(max(t.zones, users))
	if sum > 0 {
		share = evenPart*share + (1-evenPart)*own.weight/sum
	}
	// Who has heard nothing of the tenant yet would go by an even share.
	unheard := float64(max(t.zones-users, 0)) / float64(t.zones)
	share = min(share, max(1-others-known.missing-unheard, 0))
	own.told, own.toldAt, own.share = share, t.mark, max(own.share, share)
	return share
}

// answer returns what the hub has not heard of yet.
func (t *Top) answer(now time.Time, source uint32, known *hub) *Update {
	news := &Update{Epoch: t.epoch, Sequence: t.mark, AckEpoch: known.epoch, AckSequence: known.confirmed, AllZonesJoined: t.complete}
	for tenant, b := range t.buckets {
		if b.changed <= known.heard {
			continue
		}
		t.bucketOf(now, tenant)
		share := t.tell(now, b, source, known.heard)
		used := b.users[source]
		news.Rows = append(news.Rows, Row{Tenant: tenant, Taken: used.count, Counted: used.joined, Level: b.level, Share: share, RefillShare: b.refills()})
	}
	return news
}

// expire sets aside the parts of hubs that have become silent, and gives those out again
// that are not waited for any more.
func (t *Top) expire(now time.Time) {
	t.gather(now)
	for source, known := range t.hubs {
		if known.silentSince.IsZero() && now.Sub(known.at) > UpdateTTL {
			known.silentSince = now
			if known.released = t.hasSuccessor(now, source, known); !known.released {
				t.setAside(now, source)
			}
		}
		if !known.silentSince.IsZero() && !known.released && t.isLost(now, source, known) {
			known.released = true
			t.release(now, source)
		}
	}
}

// gather ends the wait for hubs that have not joined: once all zones have one that has,
// or those that are missing have had their time.
func (t *Top) gather(now time.Time) {
	if t.complete {
		return
	}
	zones := map[string]bool{}
	for _, h := range t.hubs {
		if h.joined {
			zones[h.zone] = true
		}
	}
	if len(zones) < t.zones && now.Sub(t.began) <= lapse+UpdateTTL {
		return
	}
	t.complete = true
	for tenant := range t.buckets {
		known := t.bucketOf(now, tenant)
		known.missing = 0
		t.touch(known)
	}
}

// isLost reports whether a silent hub is not waited for any more.
func (t *Top) isLost(now time.Time, source uint32, known *hub) bool {
	silent := now.Sub(known.silentSince)
	if silent > lapse {
		return true
	}
	return t.hasSuccessor(now, source, known)
}

// successorPart is the part of a silent hub's edges, in hundredths, that must report to
// other hubs of its zone for it to be out of use.
const successorPart = 75

// hasSuccessor reports whether most of the edges of a silent hub report to others of its
// zone now, so that it has nobody left to give tokens to.
func (t *Top) hasSuccessor(now time.Time, source uint32, known *hub) bool {
	const hundredths = 100
	edges := 0
	for other, h := range t.hubs {
		if other != source && h.zone == known.zone && now.Sub(h.at) <= UpdateTTL {
			edges += h.edges
		}
	}
	return edges*hundredths >= known.edges*successorPart
}

// RemoveHub takes in that no edge reports to a hub any more.
func (t *Top) RemoveHub(now time.Time, source uint32) {
	if known := t.hubs[source]; known != nil && known.silentSince.IsZero() {
		known.silentSince, known.released = now, true
	}
}

// setAside takes the part of a silent hub out of all buckets.
func (t *Top) setAside(now time.Time, source uint32) {
	for tenant := range t.buckets {
		known := t.bucketOf(now, tenant)
		used := known.users[source]
		if used == nil {
			continue
		}
		used.taken = max(known.level, 0) * used.share
		known.level -= used.taken
		known.aside = min(known.aside+used.share, 1)
		t.touch(known)
	}
}

// release lets what was set aside for a hub come back at the bucket's rate.
func (t *Top) release(now time.Time, source uint32) {
	for tenant := range t.buckets {
		known := t.bucketOf(now, tenant)
		if used := known.users[source]; used != nil {
			known.aside = max(known.aside-used.share, 0)
			used.taken = 0
			t.touch(known)
		}
	}
}

// heardAgain puts back what was set aside for a hub; its report says what it took of it.
func (t *Top) heardAgain(now time.Time, source uint32, known *hub) {
	silent := now.Sub(known.silentSince)
	if !known.released {
		for tenant := range t.buckets {
			b := t.bucketOf(now, tenant)
			used := b.users[source]
			if used == nil {
				continue
			}
			limit := t.limits[tenant]
			b.aside = max(b.aside-used.share, 0)
			b.level = min(b.level+used.taken+used.share*limit.Rate*silent.Seconds(), t.tolerance.capacity(limit))
			used.taken = 0
			t.touch(b)
		}
	}
	known.silentSince, known.released = time.Time{}, false
}

// forget drops a hub that has begun a new life.
func (t *Top) forget(source uint32) {
	for _, known := range t.buckets {
		used := known.users[source]
		if used == nil {
			continue
		}
		if h := t.hubs[source]; h != nil && !h.silentSince.IsZero() && !h.released {
			known.aside = max(known.aside-used.share, 0)
		}
		delete(known.users, source)
		t.touch(known)
	}
	delete(t.hubs, source)
}

func (t *Top) touch(known *shared) {
	t.mark++
	known.changed = t.mark
}
