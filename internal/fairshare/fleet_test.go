package fairshare

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/proptest"
)

const (
	step = time.Millisecond
	// goal is how long a request may wait for a slot to be in time.
	goal = 300 * time.Millisecond
	// meanHoldTime is the mean time that a request holds a slot, maxWait the longest time that one
	// waits.
	meanHoldTime = 500 * time.Millisecond
	maxWait      = time.Second
	// answerTimeout is how long an edge waits for the hub's answer.
	answerTimeout = 6 * time.Millisecond
	// reportInterval is the time between two reports of an edge.
	reportInterval = 50 * time.Millisecond
)

var start = time.Unix(1000, 0)

// scenario describes the load and the faults of a simulated fleet.
type scenario struct {
	tenants, edges, zones int
	// load is the demand of all tenants as a fraction of the capacity of the slots.
	load float64
	// floods lists the tenants, as indexes by size, whose demand rises to 8 times as much from floodAt
	// to floodEnd.
	floods            []int
	floodAt, floodEnd time.Duration
	duration          time.Duration
	loss, duplication float64
	delay             time.Duration
	// hubLostAt is when a zone's hub is replaced by one without any state, zero for never.
	hubLostAt time.Duration
	// splitHubs makes half of the edges of each zone use another hub. disconnectedEdges is the
	// number of edges without a hub from the middle of the floods to their end.
	splitHubs         bool
	disconnectedEdges int
	// unmetered, rejectOverShare and forgetfulHubs are mutations: no hub holds any tenant to a
	// share, requests over the share get no slot, and hubs lose their state every 150 ms.
	unmetered       bool
	rejectOverShare bool
	forgetfulHubs   bool
	settings        Settings
}

// request is a request that waits for a slot.
type request struct {
	tenant    int
	edge      int
	arrivedAt time.Duration
}

// zone holds a zone's hub and its slots. Requests over their shares wait behind all others.
type zone struct {
	meter        *Meter
	secondMeter  *Meter
	slots        int
	releaseTimes []time.Duration
	withinShare  []request
	overShare    []request
}

// message is a message in transit to a hub.
type message struct {
	at      time.Duration
	deliver func(now time.Time)
}

type edge struct {
	zone               int
	started, shortages uint32
	reportAt           time.Duration
	fallback           *Fallback
}

// tally counts the requests in a period.
type tally struct{ requests, inTime int }

// fleet holds zones with edges, and the outcome of their tenants' requests.
type fleet struct {
	scenario
	random   *rand.Rand
	now      time.Duration
	hubs     []*zone
	edges    []*edge
	rates    []float64
	messages []message
	ticket   uint64
	// before, during and after hold the outcome by tenant; after begins one second after the
	// floods.
	before, during, after []tally
	// overShareAfter counts the requests over their tenants' shares in the period that the field
	// after covers. busySlots and totalSlots count the used and all slots, summed over the steps of
	// the floods in which requests waited.
	overShareAfter        int
	busySlots, totalSlots float64
}

func newFleet(random *rand.Rand, s scenario) *fleet {
	const slots = 360
	f := &fleet{scenario: s, random: random}
	for range s.zones {
		f.hubs = append(f.hubs, &zone{slots: slots / s.zones, meter: f.newMeter(start), secondMeter: f.newMeter(start)})
	}
	for i := range s.edges {
		f.edges = append(f.edges, &edge{zone: i % s.zones, reportAt: time.Duration(random.Int63n(int64(reportInterval))), fallback: NewFallback()})
	}
	sum := 0.0
	for i := range s.tenants {
		f.rates = append(f.rates, 1/math.Pow(float64(i+1), 0.8))
		sum += f.rates[i]
	}
	for i := range f.rates {
		f.rates[i] *= s.load * float64(slots) / meanHoldTime.Seconds() / sum
	}
	f.before, f.during, f.after = make([]tally, s.tenants), make([]tally, s.tenants), make([]tally, s.tenants)
	return f
}

func (f *fleet) newMeter(now time.Time) *Meter {
	m := NewMeter()
	if !f.unmetered {
		m.Configure(now, &f.settings)
	}
	return m
}

// hubOf returns the hub that an edge uses, nil for none.
func (f *fleet) hubOf(edge int) *Meter {
	z := f.hubs[f.edges[edge].zone]
	switch {
	case edge < f.disconnectedEdges && f.now >= (f.floodAt+f.floodEnd)/2 && f.now < f.floodEnd:
		return nil
	case f.splitHubs && edge/f.zones%2 == 1:
		return z.secondMeter
	}
	return z.meter
}

// send sends a message to a hub, subject to loss and duplication. It returns the shortest delay, or a
// negative value if the message is lost.
func (f *fleet) send(deliver func(now time.Time)) time.Duration {
	shortest := time.Duration(-1)
	for range 2 {
		if f.random.Float64() >= f.loss {
			delay := time.Duration(f.random.Int63n(int64(f.delay) + 1))
			f.messages = append(f.messages, message{f.now + delay, deliver})
			if shortest < 0 || delay < shortest {
				shortest = delay
			}
		}
		if f.random.Float64() >= f.duplication {
			break
		}
	}
	return shortest
}

// run simulates the whole scenario.
func (f *fleet) run() {
	for ; f.now < f.duration; f.now += step {
		if f.hubLostAt > 0 && f.now == f.hubLostAt {
			f.hubs[0].meter = f.newMeter(start.Add(f.now))
		}
		if f.forgetfulHubs && f.now%(150*time.Millisecond) == 0 {
			for _, z := range f.hubs {
				z.meter = f.newMeter(start.Add(f.now))
			}
		}
		f.deliver()
		f.report()
		f.arrive()
		for _, z := range f.hubs {
			f.serve(z)
		}
	}
}

func (f *fleet) deliver() {
	kept := f.messages[:0]
	for _, m := range f.messages {
		if m.at > f.now {
			kept = append(kept, m)
			continue
		}
		m.deliver(start.Add(f.now))
	}
	f.messages = kept
}

func (f *fleet) report() {
	for i, e := range f.edges {
		if f.now < e.reportAt {
			continue
		}
		e.reportAt = f.now + reportInterval
		started, shortages := e.started, e.shortages
		if hub := f.hubOf(i); hub != nil {
			f.send(func(now time.Time) { hub.ApplyCounts(now, uint32(i), started, shortages) })
		}
	}
}

// arrive submits requests at random times.
func (f *fleet) arrive() {
	for tenant, rate := range f.rates {
		if f.now >= f.floodAt && f.now < f.floodEnd {
			for _, flood := range f.floods {
				if flood == tenant {
					rate *= 8
				}
			}
		}
		for want := rate * step.Seconds(); want > 0; want-- {
			if f.random.Float64() < want {
				f.submit(tenant)
			}
		}
	}
}

// submit queries the hub for a request, and queues the request for a slot according to the answer.
func (f *fleet) submit(tenant int) {
	edge := f.random.Intn(len(f.edges))
	z := f.hubs[f.edges[edge].zone]
	f.ticket++
	ticket := f.ticket
	arrivedAt := f.now
	var standing Standing
	answered := false
	class := Class{Tenant: uint32(tenant) + 1}
	hub := f.hubOf(edge)
	query := func(now time.Time) { standing, answered = hub.RecordDemand(now, ticket, class), true }
	wait := answerTimeout
	if hub == nil {
		wait = 0
	} else if delay := f.send(query); delay >= 0 && delay <= answerTimeout/2 {
		wait = delay
	} else if retryDelay := f.send(query); retryDelay >= 0 {
		wait = min(answerTimeout/2+retryDelay, answerTimeout)
	}
	f.count(arrivedAt, tenant, func(s *tally) { s.requests++ })
	f.messages = append(f.messages, message{f.now + wait, func(now time.Time) {
		if answered {
			f.edges[edge].fallback.Record(now, class, standing)
		} else {
			standing = f.edges[edge].fallback.Standing(now, class, f.random.Float64())
		}
		r := request{tenant: tenant, edge: edge, arrivedAt: arrivedAt}
		if len(z.releaseTimes) >= z.slots {
			f.edges[edge].shortages++
		}
		if f.now >= f.floodEnd+time.Second && standing.OverShare {
			f.overShareAfter++
		}
		if standing.OverShare {
			z.overShare = append(z.overShare, r)
			return
		}
		z.withinShare = append(z.withinShare, r)
	}})
}

// count updates the tally of the period in which the request arrived.
func (f *fleet) count(arrivedAt time.Duration, tenant int, update func(s *tally)) {
	switch {
	case arrivedAt < f.floodAt:
		update(&f.before[tenant])
	case arrivedAt < f.floodEnd:
		update(&f.during[tenant])
	case arrivedAt >= f.floodEnd+time.Second:
		update(&f.after[tenant])
	}
}

// serve gives free slots to waiting requests.
func (f *fleet) serve(z *zone) {
	kept := z.releaseTimes[:0]
	for _, until := range z.releaseTimes {
		if until > f.now {
			kept = append(kept, until)
		}
	}
	z.releaseTimes = kept
	for len(z.releaseTimes) < z.slots && len(z.withinShare)+len(z.overShare) > 0 {
		queue := &z.withinShare
		if len(*queue) == 0 {
			if f.rejectOverShare {
				break
			}
			queue = &z.overShare
		}
		r := (*queue)[0]
		*queue = (*queue)[1:]
		waited := f.now - r.arrivedAt
		if waited > maxWait {
			continue
		}
		f.edges[r.edge].started++
		z.releaseTimes = append(z.releaseTimes, f.now+time.Duration((0.5+f.random.Float64())*float64(meanHoldTime)))
		if waited <= goal {
			f.count(r.arrivedAt, r.tenant, func(s *tally) { s.inTime++ })
		}
	}
	if f.now >= f.floodAt && f.now < f.floodEnd && len(z.withinShare)+len(z.overShare) > 0 {
		f.busySlots += float64(len(z.releaseTimes))
		f.totalSlots += float64(z.slots)
	}
}

// floodRate returns a tenant's demand during the floods, in requests a second.
func (f *fleet) floodRate(tenant int) float64 {
	if slices.Contains(f.floods, tenant) {
		return 8 * f.rates[tenant]
	}
	return f.rates[tenant]
}

// modestFraction limits the demand of modest tenants, as a fraction of their shares. Requests are
// distributed to zones at random, so a tenant closer to its share may exceed it in some zone.
const modestFraction = 0.7

// modestTenants returns the tenants that ask for less than their shares during the floods.
func (f *fleet) modestTenants() []int {
	throughput := 0.0
	for _, z := range f.hubs {
		throughput += float64(z.slots) / meanHoldTime.Seconds()
	}
	claimants := make([]claimant, f.tenants)
	for tenant := range claimants {
		claimants[tenant].Demand = f.floodRate(tenant)
	}
	var modest []int
	for tenant, a := range divide(throughput*usableFraction, nil, claimants) {
		if !slices.Contains(f.floods, tenant) && f.floodRate(tenant) <= modestFraction*a.Share {
			modest = append(modest, tenant)
		}
	}
	return modest
}

// sum adds up the tallies of some tenants.
func sum(tallies []tally, tenants []int) tally {
	var total tally
	for _, tenant := range tenants {
		total.requests, total.inTime = total.requests+tallies[tenant].requests, total.inTime+tallies[tenant].inTime
	}
	return total
}

// atLeast reports whether at least the given fraction of the requests were in time.
func (s tally) atLeast(fraction float64) bool {
	return float64(s.inTime) >= fraction*float64(s.requests)
}

// check checks the outcome of a simulation. minFraction is the fraction of the modest tenants' requests
// that must be in time during the floods.
func (f *fleet) check(minFraction float64) error {
	modest := f.modestTenants()
	if before := sum(f.before, modest); !before.atLeast(0.98) {
		return errors.Newf("before the floods: %+v", before)
	}
	if during := sum(f.during, modest); !during.atLeast(minFraction) {
		return errors.Newf("modest tenants during the floods: %+v", during)
	}
	for _, tenant := range modest {
		s := f.during[tenant]
		// Tolerates three late requests: a small tenant has too few to compare a fraction.
		s.inTime += 3
		if !s.atLeast(2*minFraction - 1) {
			return errors.Newf("tenant %d during the floods: %+v", tenant, f.during[tenant])
		}
	}
	if after := sum(f.after, modest); !after.atLeast(0.98) || f.overShareAfter*50 > after.requests {
		return errors.Newf("a second after the floods: %+v, %d over their shares", after, f.overShareAfter)
	}
	if f.busySlots < 0.98*f.totalSlots {
		return errors.Newf("a fraction of %.3f of the slots was in use while requests waited", f.busySlots/f.totalSlots)
	}
	return nil
}

// scenarios are those in which all bounds must hold.
var scenarios = map[string]scenario{
	"75 tenants, the largest floods":          {tenants: 75, edges: 47, zones: 3, load: 0.8, floods: []int{0}},
	"75 tenants, three flood":                 {tenants: 75, edges: 67, zones: 4, load: 0.7, floods: []int{0, 2, 9}},
	"510 tenants, the largest floods":         {tenants: 510, edges: 67, zones: 4, load: 0.8, floods: []int{0}},
	"510 tenants, three flood, lossy network": {tenants: 510, edges: 67, zones: 4, load: 0.7, floods: []int{0, 2, 9}, loss: 0.1, duplication: 0.1, delay: 5 * time.Millisecond},
	"75 tenants, lossy network":               {tenants: 75, edges: 51, zones: 3, load: 0.8, floods: []int{0}, loss: 0.1, duplication: 0.2, delay: 5 * time.Millisecond},
}

func (s scenario) withTimes() scenario {
	s.floodAt, s.floodEnd, s.duration = 3*time.Second, 7*time.Second, 10*time.Second
	return s
}

// TestFloodDoesNotAffectOtherTenants lets tenants ask for 8 times as much. Tenants that ask for less
// than their shares are served as if there were no floods, no slot idles while requests wait, and a
// second after the floods everything is as before.
func TestFloodDoesNotAffectOtherTenants(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(seedCount) {
				f := newFleet(rand.New(rand.NewSource(seed)), s.withTimes())
				f.run()
				if err := f.check(0.98); err != nil {
					t.Errorf("seed %d: %s", seed, err)
				}
			}
		})
	}
}

// seedCount is the number of seeds that each scenario is run with.
const seedCount = 5

// TestRandomFloods uses random numbers of tenants, edges and zones, random flooding tenants and random
// faults of messages.
func TestRandomFloods(t *testing.T) {
	proptest.Run(t, "floods", func(random *rand.Rand) error {
		s := randomScenario(random)
		f := newFleet(random, s)
		f.run()
		if err := f.check(0.98); err != nil {
			return errors.Wrapf(err, "%+v", s)
		}
		return nil
	})
}

func randomScenario(random *rand.Rand) scenario {
	s := scenario{
		tenants: 20 + random.Intn(150), edges: 47 + random.Intn(21), zones: 3 + random.Intn(2),
		load: 0.5 + 0.3*random.Float64(), loss: 0.1 * random.Float64(), duplication: 0.3 * random.Float64(),
		delay: time.Duration(random.Intn(6)) * time.Millisecond,
	}
	for range 1 + random.Intn(3) {
		if flood := random.Intn(10); !slices.Contains(s.floods, flood) {
			s.floods = append(s.floods, flood)
		}
	}
	s.floodAt, s.floodEnd, s.duration = time.Second, 3*time.Second, 5*time.Second
	return s
}

// TestLostHub replaces the hub of one zone during a flood by one without any state. Until the new
// hub has learned, its zone serves requests in the order of their arrival.
func TestLostHub(t *testing.T) {
	for seed := range int64(seedCount) {
		s := scenarios["75 tenants, the largest floods"].withTimes()
		s.hubLostAt = s.floodAt + 2*time.Second
		f := newFleet(rand.New(rand.NewSource(seed)), s)
		f.run()
		if err := f.check(0.98); err != nil {
			t.Errorf("seed %d: %s", seed, err)
		}
	}
}

// TestTwoHubs makes half of the edges of each zone use another hub. Each hub divides the capacity that
// its own edges get.
func TestTwoHubs(t *testing.T) {
	for seed := range int64(seedCount) {
		s := scenarios["75 tenants, the largest floods"].withTimes()
		s.splitHubs = true
		f := newFleet(rand.New(rand.NewSource(seed)), s)
		f.run()
		if err := f.check(0.98); err != nil {
			t.Errorf("seed %d: %s", seed, err)
		}
	}
}

// TestDisconnectedEdges leaves a tenth of the edges without a hub during a flood. For a short time they
// use earlier answers, and then hold no tenant to a share.
func TestDisconnectedEdges(t *testing.T) {
	for seed := range int64(seedCount) {
		s := scenarios["75 tenants, the largest floods"].withTimes()
		s.disconnectedEdges = s.edges / 10
		f := newFleet(rand.New(rand.NewSource(seed)), s)
		f.run()
		t.Logf("%+v", sum(f.during, f.modestTenants()))
		if err := f.check(0.98); err != nil {
			t.Errorf("seed %d: %s", seed, err)
		}
	}
}

// TestAllTenantsFlood lets all tenants ask for 8 times as much at once, twice the capacity. Small
// tenants get what they ask for, every tenant gets something, and no slot idles while requests wait.
func TestAllTenantsFlood(t *testing.T) {
	s := scenario{tenants: 75, edges: 47, zones: 3, load: 0.25}.withTimes()
	for tenant := range s.tenants {
		s.floods = append(s.floods, tenant)
	}
	f := newFleet(rand.New(rand.NewSource(1)), s)
	f.run()
	if f.busySlots < 0.98*f.totalSlots {
		t.Errorf("a fraction of %.3f of the slots was in use while requests waited", f.busySlots/f.totalSlots)
	}
	for tenant, got := range f.during {
		if got.inTime == 0 && got.requests > 3 {
			t.Errorf("tenant %d: none of %d requests in time", tenant, got.requests)
		}
	}
	f.floods = nil
	for tenant := range f.rates {
		f.rates[tenant] *= 8
	}
	modest := f.modestTenants()
	if small := sum(f.during, modest); !small.atLeast(0.95) || len(modest) < 5 {
		t.Errorf("%d tenants that ask for less than their shares: %+v", len(modest), small)
	}
}

// TestBrokenSharesAreDetected disables one mechanism at a time: check must detect it.
func TestBrokenSharesAreDetected(t *testing.T) {
	for name, mutate := range map[string]func(s *scenario){
		"no tenant is held to a share":         func(s *scenario) { s.unmetered = true },
		"hubs lose their state":                func(s *scenario) { s.forgetfulHubs = true },
		"requests over the share get no slot":  func(s *scenario) { s.rejectOverShare = true },
		"most of the messages are lost":        func(s *scenario) { s.loss = 0.7 },
		"the largest tenants weigh everything": func(s *scenario) { s.settings.Tenants = map[Tenant]TenantSettings{1: {Weight: 1000}} },
	} {
		s := scenarios["75 tenants, the largest floods"].withTimes()
		mutate(&s)
		f := newFleet(rand.New(rand.NewSource(1)), s)
		f.run()
		if f.check(0.98) == nil {
			t.Errorf("%s: not detected", name)
		}
	}
}

// scarceMeter returns a meter of a zone whose capacity is scarce, with the given number of tenants.
func scarceMeter(tenants int) (*Meter, time.Time) {
	m := NewMeter()
	now := start
	m.Configure(now, &Settings{})
	for round := range 50 {
		now = now.Add(20 * time.Millisecond)
		for tenant := range tenants {
			m.RecordDemand(now, uint64(round*tenants+tenant), Class{Tenant: uint32(tenant) + 1})
		}
		m.ApplyCounts(now, 1, uint32(round*tenants/2), uint32(round*tenants))
	}
	return m, now
}

// BenchmarkRecordDemand records 1,000 requests a second of 1,000 tenants while capacity is scarce. It
// includes the divisions.
func BenchmarkRecordDemand(b *testing.B) {
	const tenants = 1000
	m, now := scarceMeter(tenants)
	ticket := uint64(1 << 32)
	b.ReportAllocs()
	for b.Loop() {
		ticket++
		now = now.Add(time.Millisecond)
		m.ApplyCounts(now, 2, uint32(ticket/2), uint32(ticket))
		m.RecordDemand(now, ticket, Class{Tenant: uint32(ticket%tenants) + 1})
	}
	if !m.scarce || len(m.accounts) != tenants {
		b.Fatalf("scarce %t, %d classes", m.scarce, len(m.accounts))
	}
}
