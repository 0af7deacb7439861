package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tenant is the short name of a tenant.
type Tenant = uint32

// Public stands for all who ask without being a tenant: they are one claimant.
const Public Tenant = 0

// Class is who claims room of a zone: a tenant with its requests of one rank.
type Class struct {
	Tenant Tenant
	Rank   int
}

// TenantSettings is what operators set for a tenant. The zero value is that of tenants of which
// nothing is set.
type TenantSettings struct {
	// Weight is its part beside others, zero counts as one.
	Weight float64
	// Reserve and Ceiling are parts of the room, from 0 to 1; zero means none.
	Reserve float64
	Ceiling float64
}

// Settings are those of a configuration.
type Settings struct {
	Tenants map[Tenant]TenantSettings
	// Floors holds the part of the room that is kept for requests of a rank, from 0 to 1.
	Floors map[int]float64
}

const (
	// askedTime is how far back what is asked for counts, in the mean: a flood is seen in
	// a part of it, and forgotten within a second. In less a tenant with some requests a
	// second would look idle between them.
	askedTime = 250 * time.Millisecond
	// givenTime is the same for what is given, shortTime for shortage.
	givenTime = 500 * time.Millisecond
	shortTime = 200 * time.Millisecond
	// interval is the time between two looks at the account, a fraction of askedTime, and
	// divideInterval that between two divisions while the room is scarce.
	interval       = 50 * time.Millisecond
	divideInterval = 100 * time.Millisecond
	// learnTime is how long a meter watches before it holds anybody to a share.
	learnTime = 200 * time.Millisecond
	// shortParts is the part of the requests, one in so many, that must have found no room
	// for the room to be scarce: in a pool with room a few are sent to the wrong worker.
	shortParts = 10
	// roomTime is how far back what is given counts as the room, in the mean, of the time
	// when there was too little. When a pool fills up more is given for a moment than ever
	// again, and with room for all as much as is asked for.
	roomTime = time.Second
	// usable is the part of the room that is shared out. What is shared out beyond the
	// room queues before everybody; what is shared out below it is lost to nobody, because
	// who is over its share takes what is left.
	usable = 0.9
	// backlogTime bounds, in time of the room, how much may come in excess of it by credit:
	// the full credits of many parties together would fill the queue of those within their
	// shares. At the bound only parties with their whole credit are within their shares.
	backlogTime = 200 * time.Millisecond
	// burstTime is how much of its share a party may ask for at once, in time, and
	// leastBurst in requests: callers come by chance, and run ahead of an even flow by as
	// many requests at a low rate as at a high one. More time would let a flood fill the
	// queue of those within their shares at its begin.
	burstTime  = 100 * time.Millisecond
	leastBurst = 12
	// calmTime is after how long with room for all everybody has full credit.
	calmTime = time.Second
	// forgotten is the rate in requests a second below which a party is forgotten: the
	// last of its requests is several askedTime old.
	forgotten = 0.02
	// maxParties bounds the parties that are kept. Others are never over their shares.
	maxParties = 4096
	// maxSources bounds the edges whose counts are kept.
	maxSources = 4096
	// sourceTime is for how long an edge may be silent: what it counts in more time may
	// have been told to another hub.
	sourceTime = 500 * time.Millisecond
)

// Standing is what a request's tenant has of the room, at the moment it asks.
type Standing struct {
	// OverShare is set where the tenant has asked for more than its share, and others ask too.
	OverShare bool
	// Demand and Share are the tenant's, Room that of all, in requests a second; they are
	// told where Over is set. Age is how old they are.
	Demand   float64
	Share    float64
	Capacity float64
	Age      time.Duration
}

// Meter keeps account of the room of a zone: who asks for it, how much there is, and who
// is over its share. It is not safe for concurrent use.
type Meter struct {
	// settings is nil where nothing is metered.
	settings *Settings
	began    time.Time
	// tickedAt is up to when the account is brought.
	tickedAt time.Time
	parties  map[Class]*account
	// list holds the parties' accounts, too: they are gone over often.
	list []*account
	// sources holds what edges have told, by the edges' short names.
	sources map[uint32]*source
	tickets tickets
	// asked counts the requests of late, short those that found no room, and given those that
	// began to run.
	asked decayed
	short decayed
	given decayed
	// room is how many requests a second are given while there is no room for more:
	// scarceCount requests in scarceSeconds, both of which fade with roomTime.
	room          float64
	scarceCount   float64
	scarceSeconds float64
	scarce        bool
	// backlog counts the requests within their shares that came in excess of the room.
	backlog float64
	// dividedAt is when the room was divided last.
	dividedAt time.Time
	// calmAt is when the room began or ceased to be scarce.
	calmAt time.Time
	// division is kept for the next one.
	division  division
	claimants []claimant
}

// account is that of a party.
type account struct {
	party Class
	// asked is the rate of late, over the part of it beyond the share; fresh and freshOver
	// count the requests since the last look.
	asked     float64
	over      float64
	fresh     float64
	freshOver float64
	// share is the party's by the last division, in requests a second, or unknown.
	share float64
	// credit is how many requests it may ask for now within its share.
	credit float64
	at     time.Time
}

// unknown is the share of a party that came after the last division.
const unknown = -1

// source is what an edge has told.
type source struct {
	at    time.Time
	begun uint32
	short uint32
}

// decayed is a count that fades.
type decayed struct {
	count float64
	fresh float64
}

func (d *decayed) fade(factor float64) {
	// What came since lies half of the time back in the mean.
	d.count = d.count*factor + d.fresh*math.Sqrt(factor)
	d.fresh = 0
}

// NewMeter returns a meter that holds nobody to a share until Set names tenants.
func NewMeter() *Meter { return &Meter{} }

// Configure takes in the settings in force, nil where the configuration names no tenants: then
// nothing is metered.
func (m *Meter) Configure(now time.Time, settings *Settings) {
	if settings == nil {
		*m = Meter{}
		return
	}
	if m.settings == nil {
		*m = Meter{began: now, tickedAt: now, parties: map[Class]*account{}, sources: map[uint32]*source{}}
	}
	m.settings = settings
}

// RecordDemand takes in that a request of the party is about to ask for room, and says how the
// party stands. The ticket names the request: one that comes again has the same answer.
func (m *Meter) RecordDemand(now time.Time, ticket uint64, party Class) Standing {
	if m.settings == nil {
		return Standing{}
	}
	m.tick(now)
	if before, asked := m.tickets.find(now, ticket); asked {
		return before
	}
	known := m.account(now, party)
	if known == nil {
		return Standing{}
	}
	m.asked.fresh++
	known.fresh++
	standing := m.stand(now, known)
	m.tickets.add(ticket, standing)
	return standing
}

// stand takes one request out of the credit of the party.
func (m *Meter) stand(now time.Time, known *account) Standing {
	if !m.scarce || known.share < 0 || len(m.parties) < 2 {
		return Standing{}
	}
	known.accrue(now)
	if known.credit >= 1+(known.burst()-1)*m.pressure() {
		known.credit--
		m.backlog++
		return Standing{}
	}
	known.freshOver++
	return Standing{OverShare: true, Demand: known.asked, Share: known.share, Capacity: m.room, Age: now.Sub(m.tickedAt)}
}

// pressure says from 0 to 1 how much came in excess of the room.
func (m *Meter) pressure() float64 {
	return min(m.backlog/max(m.room*backlogTime.Seconds(), 1), 1)
}

// burst is how many requests a party may ask for at once.
func (a *account) burst() float64 { return max(a.share*burstTime.Seconds(), leastBurst) }

// accrue adds to the credit what came since the last time.
func (a *account) accrue(now time.Time) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	if a.share >= 0 {
		a.credit = min(a.credit+a.share*passed.Seconds(), a.burst())
	}
}

// account returns the party's account, nil where there are too many.
func (m *Meter) account(now time.Time, party Class) *account {
	known := m.parties[party]
	if known == nil && len(m.parties) < maxParties {
		known = &account{party: party, share: unknown, credit: math.Inf(1), at: now}
		m.parties[party] = known
		m.list = append(m.list, known)
	}
	return known
}

// ApplyCounts takes in what an edge has counted since its start: its requests that have begun to
// run, and those that found no room. What is lost on the way is in the next report.
func (m *Meter) ApplyCounts(now time.Time, edge, begun, short uint32) {
	if m.settings == nil {
		return
	}
	m.tick(now)
	known := m.sources[edge]
	if known != nil && now.Sub(known.at) > sourceTime {
		known.at, known.begun, known.short = now, begun, short
		return
	}
	if known == nil {
		if len(m.sources) < maxSources {
			m.sources[edge] = &source{at: now, begun: begun, short: short}
		}
		return
	}
	known.at = now
	moreBegun, moreShort := int32(begun-known.begun), int32(short-known.short)
	if outside(moreBegun) || outside(moreShort) {
		// The edge has begun anew.
		known.begun, known.short = begun, short
		return
	}
	if moreBegun < 0 || moreShort < 0 {
		return
	}
	m.given.fresh += float64(moreBegun)
	m.short.fresh += float64(moreShort)
	known.begun, known.short = begun, short
}

const (
	// maxOvertaken bounds by how much a report is behind one that overtook it, maxCounted
	// how many requests an edge counts between two reports.
	maxOvertaken = 64
	maxCounted   = 1 << 16
)

// outside reports whether a count can't go on from the last one of the same edge.
func outside(more int32) bool { return more < -maxOvertaken || more > maxCounted }

// tick brings the account up to now, and divides the room where it is scarce.
func (m *Meter) tick(now time.Time) {
	passed := now.Sub(m.tickedAt)
	if passed < interval {
		return
	}
	m.tickedAt = now
	fade := func(over time.Duration) float64 { return math.Exp(-float64(passed) / float64(over)) }
	m.asked.fade(fade(shortTime))
	m.short.fade(fade(shortTime))
	given := m.given.fresh
	m.given.fade(fade(givenTime))
	m.fadeParties(now, fade(askedTime))
	for edge, known := range m.sources {
		if now.Sub(known.at) > sourceTime {
			delete(m.sources, edge)
		}
	}
	m.measure(now, passed, given)
	m.backlog = max(m.backlog-m.room*passed.Seconds(), 0)
	if m.scarce && now.Sub(m.dividedAt) >= divideInterval {
		m.dividedAt = now
		m.divide(now)
	}
}

// fadeParties brings what each party asks for up to now, and forgets who asks no more.
func (m *Meter) fadeParties(now time.Time, factor float64) {
	middle := math.Sqrt(factor)
	perSecond := 1 / m.span(now, askedTime)
	kept := m.list[:0]
	for _, known := range m.list {
		known.asked = known.asked*factor + known.fresh*middle*perSecond
		known.over = known.over*factor + known.freshOver*middle*perSecond
		known.fresh, known.freshOver = 0, 0
		if known.asked < forgotten {
			delete(m.parties, known.party)
			continue
		}
		kept = append(kept, known)
	}
	clear(m.list[len(kept):])
	m.list = kept
}

// span returns over how many seconds a decayed count counts.
func (m *Meter) span(now time.Time, over time.Duration) float64 {
	age := now.Sub(m.began)
	return over.Seconds() * (1 - math.Exp(-float64(age)/float64(over)))
}

// measure says whether there is too little room, and how much there is: what the zone's
// requests are given while there is no more. With room for all what is given says only how
// much is asked for.
func (m *Meter) measure(now time.Time, passed time.Duration, given float64) {
	wasScarce := m.scarce
	if !wasScarce && m.calmAt.IsZero() {
		m.calmAt = m.began
	}
	m.scarce = now.Sub(m.began) >= learnTime && m.short.count > 0 && m.short.count*shortParts >= m.asked.count
	if wasScarce && m.scarce {
		m.scarceCount, m.scarceSeconds = m.scarceCount+given, m.scarceSeconds+passed.Seconds()
		m.room = m.scarceCount / m.scarceSeconds
		// What lies further back than that counts less.
		factor := math.Exp(-passed.Seconds() / roomTime.Seconds())
		m.scarceCount, m.scarceSeconds = m.scarceCount*factor, m.scarceSeconds*factor
	}
	if m.room == 0 && m.scarce {
		m.guessRoom(now, passed, given)
	}
	if m.scarce == wasScarce {
		return
	}
	if m.scarce && now.Sub(m.calmAt) >= calmTime {
		for _, known := range m.list {
			known.credit = math.Inf(1)
		}
	}
	m.calmAt = now
	if m.scarce {
		// What came until the shortage was seen waits before all others.
		m.backlog = max(m.asked.count-m.room*shortTime.Seconds(), 0)
		m.dividedAt = time.Time{}
	}
}

// guessRoom says how much room there is at the first shortage: as much as was given before
// it, for that filled the pool. A meter that has just begun may have seen nothing but how
// an empty pool fills up: then it goes by the last moment.
func (m *Meter) guessRoom(now time.Time, passed time.Duration, given float64) {
	m.scarceCount, m.scarceSeconds = given, passed.Seconds()
	if now.Sub(m.began) > 2*givenTime {
		m.scarceCount, m.scarceSeconds = m.given.count, m.span(now, givenTime)
	}
	m.room = m.scarceCount / m.scarceSeconds
}

// divide divides the room among the parties.
func (m *Meter) divide(now time.Time) {
	m.claimants = m.claimants[:0]
	asked := m.askedByTenant()
	room := m.room * usable
	for _, known := range m.list {
		party := known.party
		setting := m.settings.Tenants[party.Tenant]
		// A tenant with requests of several ranks has its reserve and ceiling once.
		part := 1.0
		if all, several := asked[party.Tenant]; several && all > 0 {
			part = known.asked / all
		}
		m.claimants = append(m.claimants, claimant{
			Rank:    party.Rank,
			Weight:  setting.Weight,
			Reserve: setting.Reserve * room * part,
			Ceiling: setting.Ceiling * room * part,
			Demand:  known.asked,
		})
	}
	floors := rankFloors{}
	for rank, part := range m.settings.Floors {
		floors[rank] = part * room
	}
	m.division.divide(room, floors, m.claimants)
	for i, known := range m.list {
		known.accrue(now)
		known.share = m.division.allotments[i].Share
		known.credit = min(known.credit, known.burst())
	}
}

// askedByTenant returns what tenants with a reserve or ceiling ask for in all ranks.
func (m *Meter) askedByTenant() map[Tenant]float64 {
	var asked map[Tenant]float64
	for _, known := range m.list {
		party := known.party
		setting := m.settings.Tenants[party.Tenant]
		if setting.Reserve == 0 && setting.Ceiling == 0 {
			continue
		}
		if asked == nil {
			asked = map[Tenant]float64{}
		}
		asked[party.Tenant] += known.asked
	}
	return asked
}

// Usage is what a party asks for and gets, in requests a second.
type Usage struct {
	Class  Class
	Demand float64
	// Excess is what it asks for beyond its share, Share as of the last time when there was
	// too little room, below zero where that was before it came.
	Excess float64
	Share  float64
}

// Summary is the state of a zone's room.
type Summary struct {
	// Capacity is how many requests a second are given while there is no room for more, zero
	// while that was never so; Scarce is set while it is so.
	Capacity float64
	Scarce   bool
	Granted  float64
	// Usages are the largest parties by what they ask for, Rest the sum over the others and
	// Others how many these are.
	Usages     []Usage
	Rest       Usage
	OtherCount int
	// Age is how old all that is.
	Age time.Duration
}

// Summary returns the state, with so many parties by name.
func (m *Meter) Summary(now time.Time, most int) Summary {
	if m.settings == nil {
		return Summary{}
	}
	m.tick(now)
	s := Summary{Capacity: m.room, Scarce: m.scarce, Granted: m.given.count / max(m.span(now, givenTime), interval.Seconds()), Age: now.Sub(m.tickedAt)}
	for _, known := range m.list {
		s.Usages = append(s.Usages, Usage{Class: known.party, Demand: known.asked, Excess: known.over, Share: known.share})
	}
	slices.SortFunc(s.Usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Class.Tenant, b.Class.Tenant), cmp.Compare(a.Class.Rank, b.Class.Rank))
	})
	if len(s.Usages) <= most {
		return s
	}
	for _, use := range s.Usages[most:] {
		s.Rest.Demand += use.Demand
		s.Rest.Excess += use.Excess
		s.OtherCount++
	}
	s.Usages = s.Usages[:most]
	return s
}
