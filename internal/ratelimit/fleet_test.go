package ratelimit

import (
	"math"
	"math/rand"
	"time"
)

var (
	start     = time.Unix(1000, 0)
	tolerance = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
)

// tenant is the tenant of the tests.
const tenant = Tenant(7)

func limits(limit Limit) map[Tenant]Limit { return map[Tenant]Limit{tenant: limit} }

// allowed is how many requests may pass in a window.
func allowed(limit Limit) float64 {
	return (limit.Rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Excess) + tolerance.Slack
}

// fleet is a top and the hubs of three zones, with a network that loses, delays and
// repeats. Times between messages are those of real processes.
type fleet struct {
	random *rand.Rand
	now    time.Time
	limit  Limit
	top    *Top
	epoch  uint32
	// topUp is from when on there is a top.
	topUp    time.Time
	hubs     []*Hub
	zones    []string
	nextDue  []time.Time
	cutUntil []time.Time
	downTil  []time.Time
	loss     float64
	messages []message
	tickets  uint64
	passed   []time.Time
	// doubled counts questions that came twice and got two answers.
	doubled int
}

// message is a call that comes to a side at a time.
type message struct {
	at      time.Time
	deliver func()
}

const (
	hubs         = 3
	step         = 5 * time.Millisecond
	reportPeriod = 50 * time.Millisecond
)

func newFleet(random *rand.Rand, limit Limit) *fleet {
	f := &fleet{random: random, now: start, limit: limit, topUp: start, nextDue: make([]time.Time, hubs), cutUntil: make([]time.Time, hubs), downTil: make([]time.Time, hubs), zones: []string{"a", "b", "c"}}
	f.newTop()
	for range hubs {
		f.hubs = append(f.hubs, nil)
	}
	for i := range hubs {
		f.newHub(i)
	}
	return f
}

// loseTop takes the top away; another one begins after the pause.
func (f *fleet) loseTop(pause time.Duration) {
	f.topUp = f.now.Add(pause)
	f.top = nil
}

func (f *fleet) newTop() {
	f.epoch++
	f.top = NewTop(f.now, f.epoch, tolerance)
	f.top.SetLimits(limits(f.limit), hubs)
}

func (f *fleet) newHub(i int) {
	f.epoch++
	f.hubs[i] = NewHub(f.now, f.epoch, tolerance)
	f.hubs[i].SetLimits(limits(f.limit), hubs)
}

func (f *fleet) setLimit(limit Limit) {
	f.limit = limit
	if f.top != nil {
		f.top.SetLimits(limits(limit), hubs)
	}
	for _, h := range f.hubs {
		h.SetLimits(limits(limit), hubs)
	}
}

// send delivers a message after a while, perhaps never, perhaps twice.
func (f *fleet) send(deliver func()) {
	for copies := 1; copies > 0; copies-- {
		if f.random.Float64() < f.loss {
			continue
		}
		delay := time.Duration(1+f.random.Intn(4)) * time.Millisecond
		if f.random.Float64() < f.loss {
			delay += time.Duration(f.random.Intn(120)) * time.Millisecond
			copies++
		}
		f.messages = append(f.messages, message{f.now.Add(delay), deliver})
	}
}

func (f *fleet) reach(i int) bool {
	return f.now.After(f.cutUntil[i]) && f.now.After(f.downTil[i]) && f.top != nil && !f.now.Before(f.topUp)
}

// tick lets a step of time pass: messages come, hubs report.
func (f *fleet) tick() {
	f.now = f.now.Add(step)
	if f.top == nil && !f.now.Before(f.topUp) {
		f.newTop()
	}
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.messages = append(f.messages, m)
			continue
		}
		m.deliver()
	}
	for i := range f.hubs {
		if f.now.Before(f.nextDue[i]) || !f.now.After(f.downTil[i]) {
			continue
		}
		f.nextDue[i] = f.now.Add(reportPeriod)
		f.report(i)
	}
}

func (f *fleet) report(i int) {
	h, top := f.hubs[i], f.top
	news := h.Report(f.now)
	if !f.reach(i) {
		return
	}
	f.send(func() {
		if f.top != top || !f.reach(i) {
			return
		}
		answer := top.ApplyReport(f.now, uint32(i+1), f.zones[i], 10, news)
		f.send(func() {
			if f.hubs[i] == h && f.reach(i) {
				h.Apply(f.now, answer)
			}
		})
	})
}

// ask sends a request by way of a hub and reports whether it passed.
func (f *fleet) ask(i int) Verdict {
	f.tickets++
	verdict := f.hubs[i].Take(f.now, f.tickets, tenant)
	if f.random.Float64() < f.loss {
		// The same question again, because the answer was late.
		again := f.hubs[i].Take(f.now, f.tickets, tenant)
		if again != verdict && !verdict.Uncertain {
			f.doubled++
		}
	}
	if verdict.Granted {
		f.passed = append(f.passed, f.now)
	}
	return verdict
}

// askUntilSure asks again, as an edge does, while the hub can't be sure.
func (f *fleet) askUntilSure(i int) Verdict {
	verdict := f.ask(i)
	for tries := 0; verdict.Uncertain && tries < 9; tries++ {
		f.tick()
		f.tick()
		verdict = f.ask(i)
	}
	return verdict
}

// most returns the most requests that passed in any window.
func (f *fleet) most() int {
	most, from := 0, 0
	for to := range f.passed {
		for f.passed[to].Sub(f.passed[from]) > tolerance.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// draw makes up a limit: many tenants are small, a few large.
func draw(random *rand.Rand) Limit {
	rate := math.Exp(random.Float64() * math.Log(300))
	return Limit{Rate: rate, Burst: rate * (0.3 + random.Float64())}
}
