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

const tenant = Tenant(7)

func limits(limit Limit) map[Tenant]Limit { return map[Tenant]Limit{tenant: limit} }

// allowed returns how many requests may be admitted in a window.
func allowed(limit Limit) float64 {
	return (limit.Rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Excess) + tolerance.Slack
}

// fleet simulates a top and the hubs of three zones, with a network that loses, delays and
// repeats messages. Reports have the period of real processes.
type fleet struct {
	random *rand.Rand
	now    time.Time
	limit  Limit
	top    *Top
	epoch  uint32
	// topBackAt is the time until which there is no top.
	topBackAt         time.Time
	hubs              []*Hub
	zones             []string
	nextReport        []time.Time
	disconnectedUntil []time.Time
	downUntil         []time.Time
	lossRate          float64
	messages          []message
	lastTicket        uint64
	admitted          []time.Time
	// inconsistent counts the repeated token requests that got a different answer.
	inconsistent int
}

// message is a call that is delivered at a time.
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
	f := &fleet{random: random, now: start, limit: limit, topBackAt: start, nextReport: make([]time.Time, hubs), disconnectedUntil: make([]time.Time, hubs), downUntil: make([]time.Time, hubs), zones: []string{"a", "b", "c"}}
	f.newTop()
	for range hubs {
		f.hubs = append(f.hubs, nil)
	}
	for i := range hubs {
		f.newHub(i)
	}
	return f
}

// stopTop removes the top; a new one starts after the pause.
func (f *fleet) stopTop(pause time.Duration) {
	f.topBackAt = f.now.Add(pause)
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

// send delivers a message after a delay, unless it is lost. A message may be delivered twice.
func (f *fleet) send(deliver func()) {
	for copies := 1; copies > 0; copies-- {
		if f.random.Float64() < f.lossRate {
			continue
		}
		delay := time.Duration(1+f.random.Intn(4)) * time.Millisecond
		if f.random.Float64() < f.lossRate {
			delay += time.Duration(f.random.Intn(120)) * time.Millisecond
			copies++
		}
		f.messages = append(f.messages, message{f.now.Add(delay), deliver})
	}
}

func (f *fleet) connected(i int) bool {
	return f.now.After(f.disconnectedUntil[i]) && f.now.After(f.downUntil[i]) && f.top != nil && !f.now.Before(f.topBackAt)
}

// tick advances the time by one step: messages are delivered and hubs report.
func (f *fleet) tick() {
	f.now = f.now.Add(step)
	if f.top == nil && !f.now.Before(f.topBackAt) {
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
		if f.now.Before(f.nextReport[i]) || !f.now.After(f.downUntil[i]) {
			continue
		}
		f.nextReport[i] = f.now.Add(reportPeriod)
		f.report(i)
	}
}

func (f *fleet) report(i int) {
	h, top := f.hubs[i], f.top
	update := h.Report(f.now)
	if !f.connected(i) {
		return
	}
	f.send(func() {
		if f.top != top || !f.connected(i) {
			return
		}
		answer := top.ApplyReport(f.now, uint32(i+1), f.zones[i], 10, update)
		f.send(func() {
			if f.hubs[i] == h && f.connected(i) {
				h.Apply(f.now, answer)
			}
		})
	})
}

// takeToken asks a hub for a token and records whether it was granted.
func (f *fleet) takeToken(i int) Verdict {
	f.lastTicket++
	verdict := f.hubs[i].Take(f.now, f.lastTicket, tenant)
	if f.random.Float64() < f.lossRate {
		// The call is repeated because its answer is late.
		again := f.hubs[i].Take(f.now, f.lastTicket, tenant)
		if again != verdict && !verdict.Uncertain {
			f.inconsistent++
		}
	}
	if verdict.Granted {
		f.admitted = append(f.admitted, f.now)
	}
	return verdict
}

// takeUntilCertain asks again, as an edge does, while the verdict is uncertain.
func (f *fleet) takeUntilCertain(i int) Verdict {
	verdict := f.takeToken(i)
	for tries := 0; verdict.Uncertain && tries < 9; tries++ {
		f.tick()
		f.tick()
		verdict = f.takeToken(i)
	}
	return verdict
}

// maxInWindow returns the highest number of requests admitted in any window.
func (f *fleet) maxInWindow() int {
	maxCount, from := 0, 0
	for to := range f.admitted {
		for f.admitted[to].Sub(f.admitted[from]) > tolerance.Window {
			from++
		}
		maxCount = max(maxCount, to-from+1)
	}
	return maxCount
}

// randomLimit returns a random limit: many tenants are small, a few large.
func randomLimit(random *rand.Rand) Limit {
	rate := math.Exp(random.Float64() * math.Log(300))
	return Limit{Rate: rate, Burst: rate * (0.3 + random.Float64())}
}
