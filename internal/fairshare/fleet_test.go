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
	// hold is how long one holds a slot, in the mean, patience how long it waits at all.
	hold     = 500 * time.Millisecond
	patience = time.Second
	// asking is how long an edge waits for the hub's answer.
	asking = 6 * time.Millisecond
	// reports is the time between two reports of an edge.
	reports = 50 * time.Millisecond
)

var start = time.Unix(1000, 0)

// scene is what a fleet is put through.
type scene struct {
	tenants, edges, zones int
	// load is what all tenants ask for, in parts of what the slots make.
	load float64
	// floods names the tenants, by size, that ask for 8 times as much from floodAt to
	// floodEnd.
	floods            []int
	floodAt, floodEnd time.Duration
	length            time.Duration
	loss, doubled     float64
	delay             time.Duration
	// lostAt is when a zone's hub is replaced by one that knows nothing, zero for never.
	lostAt time.Duration
	// split lets half of the edges of each zone ask another hub, cut leaves so many edges
	// without a hub from the middle of the floods to their end.
	split bool
	cut   int
	// unmetered, refusing and forgetful are mutations: no hub holds anybody to a share, who
	// is over its share gets no slot, and hubs know nothing for longer than a moment.
	unmetered bool
	refusing  bool
	forgetful bool
	settings  Settings
}

// request is one that waits for a slot.
type request struct {
	tenant int
	edge   int
	came   time.Duration
}

// zone is a zone's hub and its slots; who is over its share waits behind all others.
type zone struct {
	meter  *Meter
	second *Meter
	slots  int
	held   []time.Duration
	within []request
	over   []request
}

// message is one on its way to a hub.
type message struct {
	at   time.Duration
	take func(now time.Time)
}

type edge struct {
	zone         int
	begun, short uint32
	reportAt     time.Duration
	recall       *Fallback
}

// span counts what came in a part of the time.
type span struct{ asked, inTime int }

// fleet is zones with edges, and what came of their tenants' requests.
type fleet struct {
	scene
	random   *rand.Rand
	now      time.Duration
	hubs     []*zone
	edges    []*edge
	rates    []float64
	messages []message
	ticket   uint64
	// before, during and after are by tenant; after begins one second after the floods.
	before, during, after []span
	// overAfter counts requests that were called over their tenant's share then, busy and
	// slotsTotal count the slots held and all of them while anybody waited in the floods.
	overAfter        int
	busy, slotsTotal float64
}

func newFleet(random *rand.Rand, s scene) *fleet {
	const slots = 360
	f := &fleet{scene: s, random: random}
	for range s.zones {
		f.hubs = append(f.hubs, &zone{slots: slots / s.zones, meter: f.newMeter(start), second: f.newMeter(start)})
	}
	for i := range s.edges {
		f.edges = append(f.edges, &edge{zone: i % s.zones, reportAt: time.Duration(random.Int63n(int64(reports))), recall: NewFallback()})
	}
	sum := 0.0
	for i := range s.tenants {
		f.rates = append(f.rates, 1/math.Pow(float64(i+1), 0.8))
		sum += f.rates[i]
	}
	for i := range f.rates {
		f.rates[i] *= s.load * float64(slots) / hold.Seconds() / sum
	}
	f.before, f.during, f.after = make([]span, s.tenants), make([]span, s.tenants), make([]span, s.tenants)
	return f
}

func (f *fleet) newMeter(now time.Time) *Meter {
	m := NewMeter()
	if !f.unmetered {
		m.Configure(now, &f.settings)
	}
	return m
}

// hubOf returns the hub that an edge asks, nil for none.
func (f *fleet) hubOf(edge int) *Meter {
	z := f.hubs[f.edges[edge].zone]
	switch {
	case edge < f.cut && f.now >= (f.floodAt+f.floodEnd)/2 && f.now < f.floodEnd:
		return nil
	case f.split && edge/f.zones%2 == 1:
		return z.second
	}
	return z.meter
}

// send brings a message to a hub, if it isn't lost, once or twice.
func (f *fleet) send(take func(now time.Time)) time.Duration {
	took := time.Duration(-1)
	for range 2 {
		if f.random.Float64() >= f.loss {
			late := time.Duration(f.random.Int63n(int64(f.delay) + 1))
			f.messages = append(f.messages, message{f.now + late, take})
			if took < 0 || late < took {
				took = late
			}
		}
		if f.random.Float64() >= f.doubled {
			break
		}
	}
	return took
}

// run plays the whole scene.
func (f *fleet) run() {
	for ; f.now < f.length; f.now += step {
		if f.lostAt > 0 && f.now == f.lostAt {
			f.hubs[0].meter = f.newMeter(start.Add(f.now))
		}
		if f.forgetful && f.now%(150*time.Millisecond) == 0 {
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
		m.take(start.Add(f.now))
	}
	f.messages = kept
}

func (f *fleet) report() {
	for i, e := range f.edges {
		if f.now < e.reportAt {
			continue
		}
		e.reportAt = f.now + reports
		begun, short := e.begun, e.short
		if hub := f.hubOf(i); hub != nil {
			f.send(func(now time.Time) { hub.ApplyCounts(now, uint32(i), begun, short) })
		}
	}
}

// arrive lets requests come by chance.
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
				f.ask(tenant)
			}
		}
	}
}

// ask puts a request's question to the hub, and lets it wait for a slot by the answer.
func (f *fleet) ask(tenant int) {
	at := f.random.Intn(len(f.edges))
	z := f.hubs[f.edges[at].zone]
	f.ticket++
	ticket := f.ticket
	came := f.now
	var standing Standing
	answered := false
	party := Class{Tenant: uint32(tenant) + 1}
	hub := f.hubOf(at)
	question := func(now time.Time) { standing, answered = hub.RecordDemand(now, ticket, party), true }
	wait := asking
	if hub == nil {
		wait = 0
	} else if took := f.send(question); took >= 0 && took <= asking/2 {
		wait = took
	} else if again := f.send(question); again >= 0 {
		wait = min(asking/2+again, asking)
	}
	f.count(came, tenant, func(s *span) { s.asked++ })
	f.messages = append(f.messages, message{f.now + wait, func(now time.Time) {
		if answered {
			f.edges[at].recall.Record(now, party, standing)
		} else {
			standing = f.edges[at].recall.Standing(now, party, f.random.Float64())
		}
		r := request{tenant: tenant, edge: at, came: came}
		if len(z.held) >= z.slots {
			f.edges[at].short++
		}
		if f.now >= f.floodEnd+time.Second && standing.OverShare {
			f.overAfter++
		}
		if standing.OverShare {
			z.over = append(z.over, r)
			return
		}
		z.within = append(z.within, r)
	}})
}

// count takes in what became of a request that came then.
func (f *fleet) count(came time.Duration, tenant int, take func(s *span)) {
	switch {
	case came < f.floodAt:
		take(&f.before[tenant])
	case came < f.floodEnd:
		take(&f.during[tenant])
	case came >= f.floodEnd+time.Second:
		take(&f.after[tenant])
	}
}

// serve gives slots to who waits.
func (f *fleet) serve(z *zone) {
	kept := z.held[:0]
	for _, until := range z.held {
		if until > f.now {
			kept = append(kept, until)
		}
	}
	z.held = kept
	for len(z.held) < z.slots && len(z.within)+len(z.over) > 0 {
		queue := &z.within
		if len(*queue) == 0 {
			if f.refusing {
				break
			}
			queue = &z.over
		}
		r := (*queue)[0]
		*queue = (*queue)[1:]
		waited := f.now - r.came
		if waited > patience {
			continue
		}
		f.edges[r.edge].begun++
		z.held = append(z.held, f.now+time.Duration((0.5+f.random.Float64())*float64(hold)))
		if waited <= goal {
			f.count(r.came, r.tenant, func(s *span) { s.inTime++ })
		}
	}
	if f.now >= f.floodAt && f.now < f.floodEnd && len(z.within)+len(z.over) > 0 {
		f.busy += float64(len(z.held))
		f.slotsTotal += float64(z.slots)
	}
}

// rate returns what a tenant asks for in the floods.
func (f *fleet) rate(tenant int) float64 {
	if slices.Contains(f.floods, tenant) {
		return 8 * f.rates[tenant]
	}
	return f.rates[tenant]
}

// modest is the part of its share up to which a tenant surely asks for less than it: its
// requests come to zones by chance, and so do all others'.
const modest = 0.7

// others returns the tenants that ask for less than their shares in the floods.
func (f *fleet) others() []int {
	room := 0.0
	for _, z := range f.hubs {
		room += float64(z.slots) / hold.Seconds()
	}
	claimants := make([]claimant, f.tenants)
	for tenant := range claimants {
		claimants[tenant].Demand = f.rate(tenant)
	}
	var others []int
	for tenant, a := range divide(room*usable, nil, claimants) {
		if !slices.Contains(f.floods, tenant) && f.rate(tenant) <= modest*a.Share {
			others = append(others, tenant)
		}
	}
	return others
}

// sum adds up what came of the requests of some tenants.
func sum(spans []span, tenants []int) span {
	var all span
	for _, tenant := range tenants {
		all.asked, all.inTime = all.asked+spans[tenant].asked, all.inTime+spans[tenant].inTime
	}
	return all
}

// in reports whether the part of the requests was in time.
func (s span) in(part float64) bool { return float64(s.inTime) >= part*float64(s.asked) }

// check holds a fleet to the bounds: part is that of the others' requests which must be in
// time during the floods.
func (f *fleet) check(part float64) error {
	others := f.others()
	if before := sum(f.before, others); !before.in(0.98) {
		return errors.Newf("before the floods: %+v", before)
	}
	if during := sum(f.during, others); !during.in(part) {
		return errors.Newf("others in the floods: %+v", during)
	}
	for _, tenant := range others {
		s := f.during[tenant]
		// A few requests of a small tenant are no part of any.
		s.inTime += 3
		if !s.in(2*part - 1) {
			return errors.Newf("tenant %d in the floods: %+v", tenant, f.during[tenant])
		}
	}
	if after := sum(f.after, others); !after.in(0.98) || f.overAfter*50 > after.asked {
		return errors.Newf("a second after the floods: %+v, %d over their shares", after, f.overAfter)
	}
	if f.busy < 0.98*f.slotsTotal {
		return errors.Newf("%.3f of the slots were held while anybody waited", f.busy/f.slotsTotal)
	}
	return nil
}

// scenes are what all bounds are held in.
var scenes = map[string]scene{
	"75 tenants, the largest floods":            {tenants: 75, edges: 47, zones: 3, load: 0.8, floods: []int{0}},
	"75 tenants, three flood":                   {tenants: 75, edges: 67, zones: 4, load: 0.7, floods: []int{0, 2, 9}},
	"510 tenants, the largest floods":           {tenants: 510, edges: 67, zones: 4, load: 0.8, floods: []int{0}},
	"510 tenants, three flood, messages suffer": {tenants: 510, edges: 67, zones: 4, load: 0.7, floods: []int{0, 2, 9}, loss: 0.1, doubled: 0.1, delay: 5 * time.Millisecond},
	"75 tenants, messages suffer":               {tenants: 75, edges: 51, zones: 3, load: 0.8, floods: []int{0}, loss: 0.1, doubled: 0.2, delay: 5 * time.Millisecond},
}

func (s scene) timed() scene {
	s.floodAt, s.floodEnd, s.length = 3*time.Second, 7*time.Second, 10*time.Second
	return s
}

// TestFloodCostsOthersNothing lets tenants ask for 8 times as much: who asks for less than
// its share is in time as if they weren't there, no slot idles, and a second after the
// floods all is as before.
func TestFloodCostsOthersNothing(t *testing.T) {
	for name, s := range scenes {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(seeds) {
				f := newFleet(rand.New(rand.NewSource(seed)), s.timed())
				f.run()
				if err := f.check(0.98); err != nil {
					t.Errorf("seed %d: %s", seed, err)
				}
			}
		})
	}
}

// seeds is how many times each scene is played.
const seeds = 5

// TestDrawnFloods draws the number of tenants, edges and zones, who floods, and what
// messages suffer.
func TestDrawnFloods(t *testing.T) {
	proptest.Run(t, "floods", func(random *rand.Rand) error {
		s := drawScene(random)
		f := newFleet(random, s)
		f.run()
		if err := f.check(0.98); err != nil {
			return errors.Wrapf(err, "%+v", s)
		}
		return nil
	})
}

func drawScene(random *rand.Rand) scene {
	s := scene{
		tenants: 20 + random.Intn(150), edges: 47 + random.Intn(21), zones: 3 + random.Intn(2),
		load: 0.5 + 0.3*random.Float64(), loss: 0.1 * random.Float64(), doubled: 0.3 * random.Float64(),
		delay: time.Duration(random.Intn(6)) * time.Millisecond,
	}
	for range 1 + random.Intn(3) {
		if flood := random.Intn(10); !slices.Contains(s.floods, flood) {
			s.floods = append(s.floods, flood)
		}
	}
	s.floodAt, s.floodEnd, s.length = time.Second, 3*time.Second, 5*time.Second
	return s
}

// TestLostHub replaces the hub of one zone in the midst of a flood by one that knows
// nothing: until it has learnt, its zone serves by the order in which requests come.
func TestLostHub(t *testing.T) {
	for seed := range int64(seeds) {
		s := scenes["75 tenants, the largest floods"].timed()
		s.lostAt = s.floodAt + 2*time.Second
		f := newFleet(rand.New(rand.NewSource(seed)), s)
		f.run()
		if err := f.check(0.98); err != nil {
			t.Errorf("seed %d: %s", seed, err)
		}
	}
}

// TestTwoHubs lets half of the edges of each zone ask another hub: each divides what its
// edges are given.
func TestTwoHubs(t *testing.T) {
	for seed := range int64(seeds) {
		s := scenes["75 tenants, the largest floods"].timed()
		s.split = true
		f := newFleet(rand.New(rand.NewSource(seed)), s)
		f.run()
		if err := f.check(0.98); err != nil {
			t.Errorf("seed %d: %s", seed, err)
		}
	}
}

// TestEdgesCutOff leaves a tenth of the edges without a hub in the midst of a flood: for a
// moment they go by what they recall, and then hold nobody to a share.
func TestEdgesCutOff(t *testing.T) {
	for seed := range int64(seeds) {
		s := scenes["75 tenants, the largest floods"].timed()
		s.cut = s.edges / 10
		f := newFleet(rand.New(rand.NewSource(seed)), s)
		f.run()
		t.Logf("%+v", sum(f.during, f.others()))
		if err := f.check(0.98); err != nil {
			t.Errorf("seed %d: %s", seed, err)
		}
	}
}

// TestAllAskForMore lets everybody ask for 8 times as much at once, twice the room: the
// small ones have what they ask for, nobody has nothing, and no slot idles.
func TestAllAskForMore(t *testing.T) {
	s := scene{tenants: 75, edges: 47, zones: 3, load: 0.25}.timed()
	for tenant := range s.tenants {
		s.floods = append(s.floods, tenant)
	}
	f := newFleet(rand.New(rand.NewSource(1)), s)
	f.run()
	if f.busy < 0.98*f.slotsTotal {
		t.Errorf("%.3f of the slots were held", f.busy/f.slotsTotal)
	}
	for tenant, got := range f.during {
		if got.inTime == 0 && got.asked > 3 {
			t.Errorf("tenant %d: none of %d", tenant, got.asked)
		}
	}
	f.floods = nil
	for tenant := range f.rates {
		f.rates[tenant] *= 8
	}
	others := f.others()
	if small := sum(f.during, others); !small.in(0.95) || len(others) < 5 {
		t.Errorf("%d tenants that ask for less than their shares: %+v", len(others), small)
	}
}

// TestBrokenSharesAreSeen takes a mechanism away: the check must see it.
func TestBrokenSharesAreSeen(t *testing.T) {
	for name, harm := range map[string]func(s *scene){
		"nobody is held to a share":            func(s *scene) { s.unmetered = true },
		"hubs that forget":                     func(s *scene) { s.forgetful = true },
		"who is over its share gets no slot":   func(s *scene) { s.refusing = true },
		"most of the messages are lost":        func(s *scene) { s.loss = 0.7 },
		"the largest tenants weigh everything": func(s *scene) { s.settings.Tenants = map[Tenant]TenantSettings{1: {Weight: 1000}} },
	} {
		s := scenes["75 tenants, the largest floods"].timed()
		harm(&s)
		f := newFleet(rand.New(rand.NewSource(1)), s)
		f.run()
		if f.check(0.98) == nil {
			t.Errorf("%s: not seen", name)
		}
	}
}

// scarceMeter returns a meter of a zone whose room is scarce, with so many tenants.
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

// BenchmarkAsk asks for a thousand tenants, 1,000 times a second, while there is too
// little room: divisions included.
func BenchmarkAsk(b *testing.B) {
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
	if !m.scarce || len(m.parties) != tenants {
		b.Fatalf("scarce %t, %d parties", m.scarce, len(m.parties))
	}
}
