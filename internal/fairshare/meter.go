package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tenant is the short name of a tenant.
type Tenant = uint32

// Public stands for all callers that are no tenants: together they are one claimant.
const Public Tenant = 0

// Class competes for the capacity of a zone: a tenant with its requests of one rank.
type Class struct {
	Tenant Tenant
	Rank   int
}

// TenantSettings are an operator's settings for a tenant. The zero value applies to tenants without
// settings.
type TenantSettings struct {
	// Weight is the tenant's weight among others; zero counts as one.
	Weight float64
	// Reserve and Ceiling are fractions of the capacity, from 0 to 1; zero means none.
	Reserve float64
	Ceiling float64
}

// Settings are the fair-share settings of a configuration.
type Settings struct {
	Tenants map[Tenant]TenantSettings
	// Floors holds the fraction of the capacity reserved for requests of each rank, from 0 to 1.
	Floors map[int]float64
}

const (
	// demandDecayTime is the time constant of the decaying demand of a class. A flood shows within
	// a fraction of it and is forgotten within a second. With less time, a tenant with a few
	// requests a second would look idle between them.
	demandDecayTime = 250 * time.Millisecond
	// grantDecayTime and shortageDecayTime are the time constants for requests that started, and
	// for shortages and the demand that they are compared with.
	grantDecayTime    = 500 * time.Millisecond
	shortageDecayTime = 200 * time.Millisecond
	// updateInterval is the minimum time between two updates of the account, a fraction of
	// demandDecayTime. divideInterval is the time between two divisions while capacity is scarce.
	updateInterval = 50 * time.Millisecond
	divideInterval = 100 * time.Millisecond
	// warmupTime is how long a meter observes before it holds any class to a share.
	warmupTime = 200 * time.Millisecond
	// scarcityDivisor sets when capacity counts as scarce: if at least 1/10 of the requests found
	// no free slot. With free capacity, a few requests still go to the wrong worker.
	scarcityDivisor = 10
	// capacityDecayTime is the time constant of the measured capacity. Only time of scarcity
	// counts: otherwise the requests that start equal the demand, and while a pool fills up more
	// of them start than it can sustain.
	capacityDecayTime = time.Second
	// usableFraction is the fraction of the capacity that is divided into shares. Requests within
	// shares that exceed the capacity would queue before all others. What the shares leave is not
	// wasted, because requests over their shares use it.
	usableFraction = 0.9
	// maxBacklogTime limits how many requests may exceed the capacity on credit: at most as many as
	// the capacity serves in this time. Without a limit, the full credits of many classes together
	// would fill the queue of the requests within their shares. At the limit, only classes with
	// full credit are within their shares.
	maxBacklogTime = 200 * time.Millisecond
	// burstTime limits a class's burst to what its share serves in this time, minBurst is the lower
	// bound in requests. Arrivals are random, and exceed an even rate by as many requests at a low
	// rate as at a high one. If burstTime were longer, the start of a flood would fill the queue of
	// requests within their shares.
	burstTime = 100 * time.Millisecond
	minBurst  = 12
	// creditResetTime is the time without scarcity after which every class gets full credit.
	creditResetTime = time.Second
	// minTrackedRate is the rate in requests a second below which a class is forgotten: its last
	// request is several demandDecayTime old then.
	minTrackedRate = 0.02
	// maxClasses bounds the classes that are kept. A class beyond that number is never over its
	// share.
	maxClasses = 4096
	// maxSources bounds the edges whose counts are kept.
	maxSources = 4096
	// sourceTimeout is the longest time between two reports of an edge for the increase between
	// them to count. After a longer gap, the edge may have reported a part of the increase to
	// another hub.
	sourceTimeout = 500 * time.Millisecond
)

// Standing says whether a request's class is over its share at the time of the request.
type Standing struct {
	// OverShare is set if the class has asked for more than its share while others ask too.
	OverShare bool
	// Demand and Share are those of the class, Capacity is that of the zone, all in requests a
	// second. All three are set only if OverShare is set. Age is how old their values are.
	Demand   float64
	Share    float64
	Capacity float64
	Age      time.Duration
}

// Meter keeps account of the capacity of a zone: the demand of each class, the capacity, and which
// classes are over their shares. It is not safe for concurrent use.
type Meter struct {
	// settings is nil if nothing is metered.
	settings  *Settings
	startedAt time.Time
	// updatedAt is when the account was last updated.
	updatedAt time.Time
	accounts  map[Class]*account
	// accountList holds the same accounts, for faster iteration.
	accountList []*account
	// sources holds the last counts reported by each edge, by the edges' short names.
	sources map[uint32]*source
	tickets tickets
	// demand counts recent requests, shortages those that found no free slot, and granted those
	// that started.
	demand    decayingCount
	shortages decayingCount
	granted   decayingCount
	// capacity is the rate at which requests start while capacity is scarce: scarceGranted requests
	// in scarceSeconds, both of which decay with capacityDecayTime.
	capacity      float64
	scarceGranted float64
	scarceSeconds float64
	scarce        bool
	// backlog counts the requests within their shares that came in excess of the capacity.
	backlog float64
	// dividedAt is when the capacity was last divided.
	dividedAt time.Time
	// scarcityChangedAt is when scarcity last began or ended.
	scarcityChangedAt time.Time
	// division and claimants are reused by the next division.
	division  division
	claimants []claimant
}

// account holds the demand, share and credit of a class.
type account struct {
	class Class
	// demand is the recent rate in requests a second, excess is the part of demand beyond the
	// share. newRequests and newExcess count the requests since the last update.
	demand      float64
	excess      float64
	newRequests float64
	newExcess   float64
	// share is the share by the last division, in requests a second, or unknownShare.
	share float64
	// credit is the number of requests that the class may send now within its share, as of
	// creditedAt.
	credit     float64
	creditedAt time.Time
}

// unknownShare is the share of a class that appeared after the last division.
const unknownShare = -1

// source holds the last counts that an edge reported.
type source struct {
	reportedAt time.Time
	started    uint32
	shortages  uint32
}

// decayingCount is a count with exponential decay.
type decayingCount struct {
	count   float64
	pending float64
}

func (d *decayingCount) decay(factor float64) {
	// Requests counted since the last update are half of the interval old on average.
	d.count = d.count*factor + d.pending*math.Sqrt(factor)
	d.pending = 0
}

// NewMeter returns a meter that holds no class to a share until Configure sets the settings.
func NewMeter() *Meter { return &Meter{} }

// Configure applies the settings in force. They are nil if the configuration names no tenants: then
// nothing is metered.
func (m *Meter) Configure(now time.Time, settings *Settings) {
	if settings == nil {
		*m = Meter{}
		return
	}
	if m.settings == nil {
		*m = Meter{startedAt: now, updatedAt: now, accounts: map[Class]*account{}, sources: map[uint32]*source{}}
	}
	m.settings = settings
}

// RecordDemand records that a request of the class is about to ask for capacity, and returns the
// class's standing. The ticket identifies the request: a repeated ticket gets the same answer.
func (m *Meter) RecordDemand(now time.Time, ticket uint64, class Class) Standing {
	if m.settings == nil {
		return Standing{}
	}
	m.update(now)
	if previous, found := m.tickets.find(now, ticket); found {
		return previous
	}
	a := m.account(now, class)
	if a == nil {
		return Standing{}
	}
	m.demand.pending++
	a.newRequests++
	standing := m.evaluate(now, a)
	m.tickets.add(ticket, standing)
	return standing
}

// evaluate returns the standing of a request, and deducts one request from the class's credit if
// the request is within the share.
func (m *Meter) evaluate(now time.Time, a *account) Standing {
	if !m.scarce || a.share < 0 || len(m.accounts) < 2 {
		return Standing{}
	}
	a.accrue(now)
	if a.credit >= 1+(a.burst()-1)*m.pressure() {
		a.credit--
		m.backlog++
		return Standing{}
	}
	a.newExcess++
	return Standing{OverShare: true, Demand: a.demand, Share: a.share, Capacity: m.capacity, Age: now.Sub(m.updatedAt)}
}

// pressure returns the backlog as a fraction of its limit, from 0 to 1.
func (m *Meter) pressure() float64 {
	return min(m.backlog/max(m.capacity*maxBacklogTime.Seconds(), 1), 1)
}

// burst returns the number of requests that the class may send at once.
func (a *account) burst() float64 { return max(a.share*burstTime.Seconds(), minBurst) }

// accrue adds the credit since the last call, up to the burst.
func (a *account) accrue(now time.Time) {
	elapsed := now.Sub(a.creditedAt)
	if elapsed <= 0 {
		return
	}
	a.creditedAt = now
	if a.share >= 0 {
		a.credit = min(a.credit+a.share*elapsed.Seconds(), a.burst())
	}
}

// account returns the account of the class, nil if there are too many classes.
func (m *Meter) account(now time.Time, class Class) *account {
	a := m.accounts[class]
	if a == nil && len(m.accounts) < maxClasses {
		a = &account{class: class, share: unknownShare, credit: math.Inf(1), creditedAt: now}
		m.accounts[class] = a
		m.accountList = append(m.accountList, a)
	}
	return a
}

// ApplyCounts takes in an edge's counts since its start: its requests that started to run, and those
// that found no free slot. The counts are cumulative, so a lost report is made up by the next one.
func (m *Meter) ApplyCounts(now time.Time, edge, started, shortages uint32) {
	if m.settings == nil {
		return
	}
	m.update(now)
	s := m.sources[edge]
	if s != nil && now.Sub(s.reportedAt) > sourceTimeout {
		s.reportedAt, s.started, s.shortages = now, started, shortages
		return
	}
	if s == nil {
		if len(m.sources) < maxSources {
			m.sources[edge] = &source{reportedAt: now, started: started, shortages: shortages}
		}
		return
	}
	s.reportedAt = now
	newStarted, newShortages := int32(started-s.started), int32(shortages-s.shortages)
	if isDiscontinuous(newStarted) || isDiscontinuous(newShortages) {
		// The edge has restarted.
		s.started, s.shortages = started, shortages
		return
	}
	if newStarted < 0 || newShortages < 0 {
		return
	}
	m.granted.pending += float64(newStarted)
	m.shortages.pending += float64(newShortages)
	s.started, s.shortages = started, shortages
}

const (
	// maxReorderLag bounds how far the counts of a report may be below those of a newer one that
	// arrived before it. maxCountIncrease bounds the requests that an edge counts between two
	// reports.
	maxReorderLag    = 64
	maxCountIncrease = 1 << 16
)

// isDiscontinuous reports whether a count can't follow the last one of the same run of the edge.
func isDiscontinuous(increase int32) bool {
	return increase < -maxReorderLag || increase > maxCountIncrease
}

// update brings the account up to now, and divides the capacity if it is scarce.
func (m *Meter) update(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if elapsed < updateInterval {
		return
	}
	m.updatedAt = now
	decayFactor := func(decayTime time.Duration) float64 { return math.Exp(-float64(elapsed) / float64(decayTime)) }
	m.demand.decay(decayFactor(shortageDecayTime))
	m.shortages.decay(decayFactor(shortageDecayTime))
	granted := m.granted.pending
	m.granted.decay(decayFactor(grantDecayTime))
	m.decayAccounts(now, decayFactor(demandDecayTime))
	for edge, s := range m.sources {
		if now.Sub(s.reportedAt) > sourceTimeout {
			delete(m.sources, edge)
		}
	}
	m.measureCapacity(now, elapsed, granted)
	m.backlog = max(m.backlog-m.capacity*elapsed.Seconds(), 0)
	if m.scarce && now.Sub(m.dividedAt) >= divideInterval {
		m.dividedAt = now
		m.divide(now)
	}
}

// decayAccounts brings the demand of each class up to now, and deletes classes without demand.
func (m *Meter) decayAccounts(now time.Time, factor float64) {
	pendingFactor := math.Sqrt(factor)
	perSecond := 1 / m.effectiveSeconds(now, demandDecayTime)
	kept := m.accountList[:0]
	for _, a := range m.accountList {
		a.demand = a.demand*factor + a.newRequests*pendingFactor*perSecond
		a.excess = a.excess*factor + a.newExcess*pendingFactor*perSecond
		a.newRequests, a.newExcess = 0, 0
		if a.demand < minTrackedRate {
			delete(m.accounts, a.class)
			continue
		}
		kept = append(kept, a)
	}
	clear(m.accountList[len(kept):])
	m.accountList = kept
}

// effectiveSeconds returns the time in seconds that a decaying count covers.
func (m *Meter) effectiveSeconds(now time.Time, decayTime time.Duration) float64 {
	age := now.Sub(m.startedAt)
	return decayTime.Seconds() * (1 - math.Exp(-float64(age)/float64(decayTime)))
}

// measureCapacity determines whether capacity is scarce, and measures it: the rate at which the
// zone's requests start while capacity is scarce. While capacity is not scarce, that rate shows
// only the demand.
func (m *Meter) measureCapacity(now time.Time, elapsed time.Duration, granted float64) {
	wasScarce := m.scarce
	if !wasScarce && m.scarcityChangedAt.IsZero() {
		m.scarcityChangedAt = m.startedAt
	}
	m.scarce = now.Sub(m.startedAt) >= warmupTime && m.shortages.count > 0 && m.shortages.count*scarcityDivisor >= m.demand.count
	if wasScarce && m.scarce {
		m.scarceGranted, m.scarceSeconds = m.scarceGranted+granted, m.scarceSeconds+elapsed.Seconds()
		m.capacity = m.scarceGranted / m.scarceSeconds
		// Older intervals count less.
		factor := math.Exp(-elapsed.Seconds() / capacityDecayTime.Seconds())
		m.scarceGranted, m.scarceSeconds = m.scarceGranted*factor, m.scarceSeconds*factor
	}
	if m.capacity == 0 && m.scarce {
		m.estimateCapacity(now, elapsed, granted)
	}
	if m.scarce == wasScarce {
		return
	}
	if m.scarce && now.Sub(m.scarcityChangedAt) >= creditResetTime {
		for _, a := range m.accountList {
			a.credit = math.Inf(1)
		}
	}
	m.scarcityChangedAt = now
	if m.scarce {
		// Requests that came before the shortage was detected wait before all others.
		m.backlog = max(m.demand.count-m.capacity*shortageDecayTime.Seconds(), 0)
		m.dividedAt = time.Time{}
	}
}

// estimateCapacity estimates the capacity at the first shortage from the rate at which requests
// started before it, because that rate filled the pool. A meter that has just started may have seen
// only an empty pool fill up, so it uses only the starts in the last update interval.
func (m *Meter) estimateCapacity(now time.Time, elapsed time.Duration, granted float64) {
	m.scarceGranted, m.scarceSeconds = granted, elapsed.Seconds()
	if now.Sub(m.startedAt) > 2*grantDecayTime {
		m.scarceGranted, m.scarceSeconds = m.granted.count, m.effectiveSeconds(now, grantDecayTime)
	}
	m.capacity = m.scarceGranted / m.scarceSeconds
}

// divide divides the capacity among the classes.
func (m *Meter) divide(now time.Time) {
	m.claimants = m.claimants[:0]
	demands := m.demandByTenant()
	usable := m.capacity * usableFraction
	for _, a := range m.accountList {
		class := a.class
		setting := m.settings.Tenants[class.Tenant]
		// A tenant with requests of several ranks has its reserve and ceiling once: they are
		// divided in proportion to the demands.
		fraction := 1.0
		if total, found := demands[class.Tenant]; found && total > 0 {
			fraction = a.demand / total
		}
		m.claimants = append(m.claimants, claimant{
			Rank:    class.Rank,
			Weight:  setting.Weight,
			Reserve: setting.Reserve * usable * fraction,
			Ceiling: setting.Ceiling * usable * fraction,
			Demand:  a.demand,
		})
	}
	floors := rankFloors{}
	for rank, fraction := range m.settings.Floors {
		floors[rank] = fraction * usable
	}
	m.division.divide(usable, floors, m.claimants)
	for i, a := range m.accountList {
		a.accrue(now)
		a.share = m.division.allotments[i].Share
		a.credit = min(a.credit, a.burst())
	}
}

// demandByTenant returns the demand over all ranks of each tenant with a reserve or ceiling.
func (m *Meter) demandByTenant() map[Tenant]float64 {
	var demands map[Tenant]float64
	for _, a := range m.accountList {
		class := a.class
		setting := m.settings.Tenants[class.Tenant]
		if setting.Reserve == 0 && setting.Ceiling == 0 {
			continue
		}
		if demands == nil {
			demands = map[Tenant]float64{}
		}
		demands[class.Tenant] += a.demand
	}
	return demands
}

// Usage is the demand and share of a class, in requests a second.
type Usage struct {
	Class  Class
	Demand float64
	// Excess is the demand beyond the share. Share is as of the last division while capacity was
	// scarce, negative if the class appeared after it.
	Excess float64
	Share  float64
}

// Summary is the state of a zone's capacity.
type Summary struct {
	// Capacity is the rate in requests a second at which requests start while capacity is scarce,
	// zero if capacity never was scarce. Scarce is set while capacity is scarce. Granted is the
	// current rate at which requests start.
	Capacity float64
	Scarce   bool
	Granted  float64
	// Usages are the classes with the largest demands, Rest is the sum over all other classes,
	// OtherCount is the number of these classes.
	Usages     []Usage
	Rest       Usage
	OtherCount int
	// Age is how old the figures are.
	Age time.Duration
}

// Summary returns the state, with at most maxUsages classes listed one by one.
func (m *Meter) Summary(now time.Time, maxUsages int) Summary {
	if m.settings == nil {
		return Summary{}
	}
	m.update(now)
	s := Summary{Capacity: m.capacity, Scarce: m.scarce, Granted: m.granted.count / max(m.effectiveSeconds(now, grantDecayTime), updateInterval.Seconds()), Age: now.Sub(m.updatedAt)}
	for _, a := range m.accountList {
		s.Usages = append(s.Usages, Usage{Class: a.class, Demand: a.demand, Excess: a.excess, Share: a.share})
	}
	slices.SortFunc(s.Usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Class.Tenant, b.Class.Tenant), cmp.Compare(a.Class.Rank, b.Class.Rank))
	})
	if len(s.Usages) <= maxUsages {
		return s
	}
	for _, usage := range s.Usages[maxUsages:] {
		s.Rest.Demand += usage.Demand
		s.Rest.Excess += usage.Excess
		s.OtherCount++
	}
	s.Usages = s.Usages[:maxUsages]
	return s
}
