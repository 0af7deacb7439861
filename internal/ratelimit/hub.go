package ratelimit

import (
	"time"
)

// leastUnconfirmed is how many tokens a hub may take between two reports however little is
// left by its copy.
const leastUnconfirmed = 2

// Hub is a zone's copy of the buckets. It is not safe for concurrent use.
type Hub struct {
	tolerance Tolerance
	limits    map[Tenant]Limit
	// zones is among how many hubs the buckets are divided where nothing else is known.
	zones    int
	began    time.Time
	epoch    uint32
	accounts map[Tenant]*account
	// mark counts the changes of accounts.
	mark uint64
	// top is what is known of the top: its epoch, the last of its changes that was
	// learnt, and the last change here that it has taken in.
	top       uint32
	heard     uint64
	confirmed uint64
	heardAt   time.Time
	// topSince is when the top was heard first.
	topSince time.Time
	// complete is set once hubs of all zones have joined the top.
	complete bool
	tickets  tickets
}

// account is a hub's copy of one tenant's bucket.
type account struct {
	bucket
	// own counts the tokens ever taken here, less those given back, acked those of
	// them that the top has counted.
	own   int64
	acked int64
	// changed is the hub's mark at the last change, joined the epoch of the top that
	// counts what is taken here, zero for none.
	changed uint64
	joined  uint32
	// counted is set once that top has said that it does.
	counted bool
	// share is the part of the bucket that is this hub's while it hears no top, and
	// parted is set while level holds that part alone.
	share  float64
	parted bool
	// refills is the part of the rate at which the bucket refills: without what silent
	// hubs go on with.
	refills float64
	// promised is until when refused requests have been told to come back.
	promised time.Time
}

// NewHub returns the hub of a process; the epoch tells its lives apart.
func NewHub(now time.Time, epoch uint32, tolerance Tolerance) *Hub {
	return &Hub{tolerance: tolerance, limits: map[Tenant]Limit{}, zones: 1, began: now, epoch: epoch, accounts: map[Tenant]*account{}}
}

// SetLimits takes in the limits in force and among how many zones they are divided. What
// is not named has none, and is forgotten.
func (h *Hub) SetLimits(limits map[Tenant]Limit, zones int) {
	h.limits, h.zones = limits, max(zones, 1)
	for tenant := range h.accounts {
		if _, limited := limits[tenant]; !limited {
			delete(h.accounts, tenant)
		}
	}
}

// blind reports whether no top is heard, and since when.
func (h *Hub) blind(now time.Time) (since time.Time, blind bool) {
	if h.heardAt.IsZero() {
		return h.began, true
	}
	since = h.heardAt.Add(UpdateTTL)
	return since, now.After(since)
}

// account returns the tenant's account, brought up to now, or nil for one without a limit.
func (h *Hub) account(now time.Time, tenant Tenant) *account {
	limit, limited := h.limits[tenant]
	if !limited {
		return nil
	}
	known := h.accounts[tenant]
	if known == nil {
		// Had the top known of a request of this tenant, it would have told.
		known = &account{bucket: bucket{level: h.tolerance.start(limit), at: h.began}, share: 1 / float64(h.zones), refills: 1, joined: h.top}
		if !h.topSince.IsZero() {
			known.at = h.topSince
		}
		h.accounts[tenant] = known
	}
	h.advance(now, known, limit)
	return known
}

// advance refills an account. From the moment that no top is heard it holds its share
// alone.
func (h *Hub) advance(now time.Time, known *account, limit Limit) {
	capacity := h.tolerance.capacity(limit)
	since, blind := h.blind(now)
	if !blind {
		known.refill(now, limit.Rate*known.refills, capacity)
		return
	}
	if !known.parted {
		known.refill(since, limit.Rate*known.refills, capacity)
		known.level, known.parted = known.part(), true
	}
	if lapsed := since.Add(lapse); now.After(lapsed) {
		known.refill(lapsed, limit.Rate*known.share, capacity*known.share)
		known.refill(now, limit.Rate*known.share/lapsedPart, max(capacity*known.share/lapsedPart, 1))
		return
	}
	known.refill(now, limit.Rate*known.share, max(capacity*known.share, 1))
}

// part returns how much of the bucket is this hub's alone: its share of what was left when
// the top counted last, less what it has taken since.
func (a *account) part() float64 {
	if a.parted {
		return a.level
	}
	unconfirmed := float64(a.own - a.acked)
	left := a.level + unconfirmed
	if left > 0 {
		left *= a.share
	}
	return left - unconfirmed
}

// Take takes a token for a request of the tenant. The ticket names the question, so that
// one that comes twice takes one token.
func (h *Hub) Take(now time.Time, ticket uint64, tenant Tenant) Verdict {
	if before, asked := h.tickets.find(now, ticket); asked {
		return before
	}
	verdict := h.take(now, tenant)
	if !verdict.Uncertain {
		h.tickets.add(now, ticket, verdict)
	}
	return verdict
}

func (h *Hub) take(now time.Time, tenant Tenant) Verdict {
	known := h.account(now, tenant)
	if known == nil {
		return Verdict{Granted: true}
	}
	verdict := Verdict{Level: known.level, Age: h.age(now)}
	if known.level < 1 || !h.mayTake(now, known) {
		// Where a token is left by the copy, only news are wanting: with two reports lost in
		// a row a tenant below its limit had taken all that may be taken between two.
		verdict.Uncertain = known.level >= 1 || known.parted || !h.joined(known) || !h.complete
		verdict.RetryAfter = h.promise(now, known, h.limits[tenant])
		return verdict
	}
	known.level--
	h.change(known, 1)
	verdict.Granted = true
	return verdict
}

// age returns how old the news of the top are.
func (h *Hub) age(now time.Time) time.Duration {
	if h.heardAt.IsZero() {
		return now.Sub(h.began)
	}
	return now.Sub(h.heardAt)
}

// mayTake reports whether one more token may be taken before the top has counted those
// taken so far: this hub's part of what was left then.
func (h *Hub) mayTake(now time.Time, known *account) bool {
	if _, blind := h.blind(now); blind {
		return true
	}
	unconfirmed := float64(known.own - known.acked)
	return unconfirmed < leastUnconfirmed+max(known.level+unconfirmed, 0)/float64(h.zones)
}

// promise returns after which time to come back: once there is a token for this request
// and for all those that were refused before it.
func (h *Hub) promise(now time.Time, known *account, limit Limit) time.Duration {
	rate := limit.Rate
	if known.parted {
		rate *= known.share
	}
	pause := time.Duration(float64(time.Second) / max(rate, 1))
	next := now.Add(max(known.until(rate), pause))
	if after := known.promised.Add(pause); after.After(next) {
		next = after
	}
	known.promised = next
	return next.Sub(now)
}

// Release gives the token of a question back: its request did not run.
func (h *Hub) Release(now time.Time, ticket uint64, tenant Tenant) {
	verdict, asked := h.tickets.find(now, ticket)
	if !asked || !verdict.Granted {
		return
	}
	h.tickets.add(now, ticket, Verdict{})
	if known := h.account(now, tenant); known != nil {
		known.level++
		h.change(known, -1)
	}
}

func (h *Hub) change(known *account, tokens int64) {
	h.mark++
	known.own += tokens
	known.changed = h.mark
}

// Update is what a hub and the top tell each other: what has changed since the last change
// that the other side has heard of.
type Update struct {
	// Epoch tells the lives of the sender apart, Mark counts its changes so far.
	Epoch    uint32
	Sequence uint64
	// AckEpoch and Heard name the last change of the receiver that the sender has
	// taken in.
	AckEpoch    uint32
	AckSequence uint64
	// AllZonesJoined is set by a top that hubs of all zones have joined.
	AllZonesJoined bool
	Rows           []Row
}

// Row is the news of one tenant.
type Row struct {
	Tenant Tenant
	// Taken is how many tokens the hub has taken, in the top's news as far as it knows.
	Taken int64
	// Level is how many are left. A hub tells it only while it joins a top.
	Level float64
	// Joining is set by a hub that has taken tokens under another top, or under none:
	// Level is the part of the bucket that it holds alone, and brings. Counted is set
	// by the top once it counts what the hub takes, and by a hub that knows that.
	Joining bool
	Counted bool
	// Share is the part that is the hub's while it hears no top. A hub tells it only
	// while it joins one.
	Share float64
	// RefillShare is set by the top: the part of the rate at which the bucket refills.
	RefillShare float64
}

// Report returns the news for the top.
func (h *Hub) Report(now time.Time) *Update {
	news := &Update{Epoch: h.epoch, Sequence: h.mark, AckEpoch: h.top, AckSequence: h.heard}
	if _, blind := h.blind(now); blind {
		// Its copies hold its shares alone, so all of them are to be told.
		news.AckSequence = 0
	}
	for tenant, known := range h.accounts {
		if known.changed <= h.confirmed {
			continue
		}
		h.advance(now, known, h.limits[tenant])
		row := Row{Tenant: tenant, Taken: known.own, Joining: !h.joined(known), Counted: h.joined(known) && known.counted}
		if row.Joining {
			row.Level, row.Share = known.part(), known.share
		}
		news.Rows = append(news.Rows, row)
	}
	return news
}

// joined reports whether the top counts what is taken from the account.
func (h *Hub) joined(known *account) bool { return known.joined != 0 && known.joined == h.top }

// Apply takes in the top's answer.
func (h *Hub) Apply(now time.Time, news *Update) {
	if news.AckEpoch != h.epoch {
		// It is for another life of this process.
		return
	}
	if news.Epoch != h.top {
		h.top, h.heard, h.confirmed, h.topSince = news.Epoch, 0, 0, now
		for _, known := range h.accounts {
			// The new top must hear of all of them.
			h.change(known, 0)
		}
	} else if news.Sequence < h.heard {
		// It was overtaken by a later one.
		return
	}
	h.heard, h.complete = news.Sequence, news.AllZonesJoined
	h.confirmed = max(h.confirmed, news.AckSequence)
	// From now on the copies are those of a hub that hears the top.
	h.heardAt = now
	for i := range news.Rows {
		h.learn(now, &news.Rows[i])
	}
	for _, known := range h.accounts {
		known.parted = known.parted && !h.joined(known)
	}
}

func (h *Hub) learn(now time.Time, row *Row) {
	known := h.account(now, row.Tenant)
	if known == nil || !row.Counted && !h.joined(known) {
		return
	}
	known.joined, known.counted, known.parted = h.top, known.counted || row.Counted, false
	known.acked, known.share, known.refills = row.Taken, row.Share, row.RefillShare
	known.level = row.Level - float64(known.own-known.acked)
	known.at = now
}
