package ratelimit

import (
	"time"
)

// minUnconfirmed is how many tokens a hub may take between two reports in addition to its part of
// what is left.
const minUnconfirmed = 2

// Hub is a zone's copy of the buckets. It is not safe for concurrent use.
type Hub struct {
	tolerance Tolerance
	limits    map[Tenant]Limit
	// zones is the number of hubs among which the buckets are divided if nothing else is known.
	zones     int
	startedAt time.Time
	epoch     uint32
	accounts  map[Tenant]*account
	// sequence counts the changes of accounts.
	sequence uint64
	// topEpoch is the epoch of the top, topSequence the last of its changes that was applied here,
	// and ackedSequence the last change here that the top has applied.
	topEpoch      uint32
	topSequence   uint64
	ackedSequence uint64
	answeredAt    time.Time
	// topSince is when the first answer of the top arrived.
	topSince time.Time
	// allZonesJoined is set once hubs of all zones have joined the top.
	allZonesJoined bool
	verdicts       verdicts
}

// account is a hub's copy of a tenant's bucket.
type account struct {
	bucket
	// taken is the number of tokens ever taken here, less those released. acked is how many of
	// them the top has counted.
	taken int64
	acked int64
	// changedSequence is the hub's sequence at the last change. joinedEpoch is the epoch of the
	// top that counts what is taken here, zero for none.
	changedSequence uint64
	joinedEpoch     uint32
	// counted is set once the top of joinedEpoch has confirmed that it counts what is taken here.
	counted bool
	// share is the part of the bucket that belongs to this hub while it is isolated from the top.
	// shareOnly is set while level holds only that part.
	share     float64
	shareOnly bool
	// refillShare is the part of the rate at which the bucket refills: the rate less what
	// unresponsive hubs continue with.
	refillShare float64
	// promisedUntil is the latest time at which a rejected request was told to retry.
	promisedUntil time.Time
}

// NewHub returns the hub of a process. The epoch distinguishes its incarnations.
func NewHub(now time.Time, epoch uint32, tolerance Tolerance) *Hub {
	return &Hub{tolerance: tolerance, limits: map[Tenant]Limit{}, zones: 1, startedAt: now, epoch: epoch, accounts: map[Tenant]*account{}}
}

// SetLimits sets the limits in force and the number of zones among which they are divided. A
// tenant that is absent has no limit, and its account is removed.
func (h *Hub) SetLimits(limits map[Tenant]Limit, zones int) {
	h.limits, h.zones = limits, max(zones, 1)
	for tenant := range h.accounts {
		if _, limited := limits[tenant]; !limited {
			delete(h.accounts, tenant)
		}
	}
}

// isolated reports whether the hub is without recent answers from a top, and since when.
func (h *Hub) isolated(now time.Time) (since time.Time, isolated bool) {
	if h.answeredAt.IsZero() {
		return h.startedAt, true
	}
	since = h.answeredAt.Add(UpdateTTL)
	return since, now.After(since)
}

// account returns the tenant's account, refilled up to now, or nil if the tenant has no limit.
func (h *Hub) account(now time.Time, tenant Tenant) *account {
	limit, limited := h.limits[tenant]
	if !limited {
		return nil
	}
	acct := h.accounts[tenant]
	if acct == nil {
		// If the top knew of any request of this tenant, it would have reported the tenant's
		// bucket, and this hub would have an account.
		acct = &account{bucket: bucket{level: h.tolerance.start(limit), at: h.startedAt}, share: 1 / float64(h.zones), refillShare: 1, joinedEpoch: h.topEpoch}
		if !h.topSince.IsZero() {
			acct.at = h.topSince
		}
		h.accounts[tenant] = acct
	}
	h.advance(now, acct, limit)
	return acct
}

// advance refills an account. From the moment at which the hub becomes isolated, the account
// holds only the hub's share.
func (h *Hub) advance(now time.Time, acct *account, limit Limit) {
	capacity := h.tolerance.capacity(limit)
	since, isolated := h.isolated(now)
	if !isolated {
		acct.refill(now, limit.Rate*acct.refillShare, capacity)
		return
	}
	if !acct.shareOnly {
		acct.refill(since, limit.Rate*acct.refillShare, capacity)
		acct.level, acct.shareOnly = acct.ownLevel(), true
	}
	if expired := since.Add(fullShareTime); now.After(expired) {
		acct.refill(expired, limit.Rate*acct.share, capacity*acct.share)
		acct.refill(now, limit.Rate*acct.share/expiredShareDivisor, max(capacity*acct.share/expiredShareDivisor, 1))
		return
	}
	acct.refill(now, limit.Rate*acct.share, max(capacity*acct.share, 1))
}

// ownLevel returns how much of the bucket belongs to this hub alone: its share of what was left
// at the top's last count, less what the hub has taken since.
func (a *account) ownLevel() float64 {
	if a.shareOnly {
		return a.level
	}
	unconfirmed := float64(a.taken - a.acked)
	level := a.level + unconfirmed
	if level > 0 {
		level *= a.share
	}
	return level - unconfirmed
}

// Take takes a token for a request of the tenant. The ticket identifies the call, so that a
// repeated call takes only one token.
func (h *Hub) Take(now time.Time, ticket uint64, tenant Tenant) Verdict {
	if previous, found := h.verdicts.find(now, ticket); found {
		return previous
	}
	verdict := h.takeToken(now, tenant)
	if !verdict.Uncertain {
		h.verdicts.add(now, ticket, verdict)
	}
	return verdict
}

func (h *Hub) takeToken(now time.Time, tenant Tenant) Verdict {
	acct := h.account(now, tenant)
	if acct == nil {
		return Verdict{Granted: true}
	}
	verdict := Verdict{Level: acct.level, Age: h.age(now)}
	if acct.level < 1 || !h.mayTake(now, acct) {
		// If the copy still has a token, the hub only lacks an update from the top, so the verdict
		// is uncertain. This happened to a tenant below its limit: after two lost reports in a row,
		// it had taken all tokens that may be taken between two reports.
		verdict.Uncertain = acct.level >= 1 || acct.shareOnly || !h.isJoined(acct) || !h.allZonesJoined
		verdict.RetryAfter = h.retryAfter(now, acct, h.limits[tenant])
		return verdict
	}
	acct.level--
	h.recordChange(acct, 1)
	verdict.Granted = true
	return verdict
}

// age returns the age of the last update from the top.
func (h *Hub) age(now time.Time) time.Duration {
	if h.answeredAt.IsZero() {
		return now.Sub(h.startedAt)
	}
	return now.Sub(h.answeredAt)
}

// mayTake reports whether one more token may be taken before the top has counted those taken so
// far: they may not exceed this hub's part of what was left at the last count.
func (h *Hub) mayTake(now time.Time, acct *account) bool {
	if _, isolated := h.isolated(now); isolated {
		return true
	}
	unconfirmed := float64(acct.taken - acct.acked)
	return unconfirmed < minUnconfirmed+max(acct.level+unconfirmed, 0)/float64(h.zones)
}

// retryAfter returns the time after which a rejected request may retry: once there is a token for
// it and for all those that were rejected before it.
func (h *Hub) retryAfter(now time.Time, acct *account, limit Limit) time.Duration {
	rate := limit.Rate
	if acct.shareOnly {
		rate *= acct.share
	}
	interval := time.Duration(float64(time.Second) / max(rate, 1))
	next := now.Add(max(acct.timeToToken(rate), interval))
	if after := acct.promisedUntil.Add(interval); after.After(next) {
		next = after
	}
	acct.promisedUntil = next
	return next.Sub(now)
}

// Release gives back the token of a ticket whose request did not run.
func (h *Hub) Release(now time.Time, ticket uint64, tenant Tenant) {
	verdict, found := h.verdicts.find(now, ticket)
	if !found || !verdict.Granted {
		return
	}
	h.verdicts.add(now, ticket, Verdict{})
	if acct := h.account(now, tenant); acct != nil {
		acct.level++
		h.recordChange(acct, -1)
	}
}

func (h *Hub) recordChange(acct *account, tokens int64) {
	h.sequence++
	acct.taken += tokens
	acct.changedSequence = h.sequence
}

// Update is a message between a hub and the top. It holds the changes after the last one that the
// receiver has acknowledged.
type Update struct {
	// Epoch distinguishes the incarnations of the sender. Sequence is the number of its changes so
	// far.
	Epoch    uint32
	Sequence uint64
	// AckEpoch and AckSequence identify the last change of the receiver that the sender has
	// applied.
	AckEpoch    uint32
	AckSequence uint64
	// AllZonesJoined is set by a top that hubs of all zones have joined.
	AllZonesJoined bool
	Rows           []Row
}

// Row is the change of one tenant's bucket.
type Row struct {
	Tenant Tenant
	// Taken is the number of tokens that the hub has taken; in an update from the top, it is the
	// number that the top knows of.
	Taken int64
	// Level is the number of tokens left. A hub sets it only while it joins a top.
	Level float64
	// Joining is set by a hub that has taken tokens under another top, or under none: Level is
	// then the part of the bucket that belongs to this hub alone and that it contributes. Counted
	// is set by the top once it counts what the hub takes, and by a hub that knows this.
	Joining bool
	Counted bool
	// Share is the part of the bucket that belongs to the hub while it is isolated from the top. A
	// hub sets it only while it joins a top.
	Share float64
	// RefillShare is set by the top: the part of the rate at which the bucket refills.
	RefillShare float64
}

// Report returns the update for the top.
func (h *Hub) Report(now time.Time) *Update {
	update := &Update{Epoch: h.epoch, Sequence: h.sequence, AckEpoch: h.topEpoch, AckSequence: h.topSequence}
	if _, isolated := h.isolated(now); isolated {
		// The copies hold only the hub's shares, so the top must send all rows.
		update.AckSequence = 0
	}
	for tenant, acct := range h.accounts {
		if acct.changedSequence <= h.ackedSequence {
			continue
		}
		h.advance(now, acct, h.limits[tenant])
		row := Row{Tenant: tenant, Taken: acct.taken, Joining: !h.isJoined(acct), Counted: h.isJoined(acct) && acct.counted}
		if row.Joining {
			row.Level, row.Share = acct.ownLevel(), acct.share
		}
		update.Rows = append(update.Rows, row)
	}
	return update
}

// isJoined reports whether the top counts what is taken from the account.
func (h *Hub) isJoined(acct *account) bool {
	return acct.joinedEpoch != 0 && acct.joinedEpoch == h.topEpoch
}

// Apply applies the top's answer.
func (h *Hub) Apply(now time.Time, update *Update) {
	if update.AckEpoch != h.epoch {
		// The answer is for another incarnation of this process.
		return
	}
	if update.Epoch != h.topEpoch {
		h.topEpoch, h.topSequence, h.ackedSequence, h.topSince = update.Epoch, 0, 0, now
		for _, acct := range h.accounts {
			// Every account must be reported to the new top.
			h.recordChange(acct, 0)
		}
	} else if update.Sequence < h.topSequence {
		// A later answer has arrived before this one.
		return
	}
	h.topSequence, h.allZonesJoined = update.Sequence, update.AllZonesJoined
	h.ackedSequence = max(h.ackedSequence, update.AckSequence)
	// From here on, the copies are those of a hub that is connected to the top.
	h.answeredAt = now
	for i := range update.Rows {
		h.applyRow(now, &update.Rows[i])
	}
	for _, acct := range h.accounts {
		acct.shareOnly = acct.shareOnly && !h.isJoined(acct)
	}
}

func (h *Hub) applyRow(now time.Time, row *Row) {
	acct := h.account(now, row.Tenant)
	if acct == nil || !row.Counted && !h.isJoined(acct) {
		return
	}
	acct.joinedEpoch, acct.counted, acct.shareOnly = h.topEpoch, acct.counted || row.Counted, false
	acct.acked, acct.share, acct.refillShare = row.Taken, row.Share, row.RefillShare
	acct.level = row.Level - float64(acct.taken-acct.acked)
	acct.at = now
}
