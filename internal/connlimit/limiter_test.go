package connlimit

import (
	"testing"
	"time"
)

const (
	// sampleInterval is the time between two samples of the lag.
	sampleInterval = 50 * time.Millisecond
	// requestCost is the processor time of a request, in requestSlices slices. One at a time runs.
	requestCost   = 4 * time.Millisecond
	requestSlices = 4
	// requestGoal is the time within which a request must be complete.
	requestGoal = 250 * time.Millisecond
)

// processor simulates a server with one processor that runs what is due in the order in which it
// became due.
type processor struct {
	limiter *Limiter
	now     time.Duration
	queue   []slice
	busy    time.Duration
	// read and served count the requests of each second.
	read, served map[int]int
}

// slice is a piece of work: of a request, which has further slices, or the sample of the lag.
type slice struct {
	place          *Place
	dueAt, beganAt time.Duration
	left           int
}

// run simulates connections at the given rates in requests per second, one rate for each second.
func (p *processor) run(rates []int) {
	p.read, p.served = map[int]int{}, map[int]int{}
	const step = 250 * time.Microsecond
	nextSample, credit := sampleInterval, 0.0
	for ; p.now < time.Duration(len(rates))*time.Second; p.now += step {
		for credit += float64(rates[p.now/time.Second]) * step.Seconds(); credit >= 1; credit-- {
			var place *Place
			if p.limiter != nil {
				place = p.limiter.Accept(time.Unix(0, 0).Add(p.now), nil)
			}
			if p.limiter == nil || place != nil {
				p.read[int(p.now/time.Second)]++
				p.queue = append(p.queue, slice{place: place, dueAt: p.now, beganAt: p.now, left: requestSlices})
			}
		}
		if p.now >= nextSample {
			nextSample += sampleInterval
			p.queue = append(p.queue, slice{dueAt: p.now})
		}
		for p.busy += step; len(p.queue) > 0 && p.busy > 0; {
			p.runNext()
		}
		p.busy = min(p.busy, 0)
	}
}

func (p *processor) runNext() {
	next := p.queue[0]
	p.queue = p.queue[1:]
	if next.left == 0 {
		if p.limiter != nil {
			p.limiter.ObserveLag(p.now - next.dueAt)
		}
		return
	}
	p.busy -= requestCost / requestSlices
	if next.left--; next.left > 0 {
		next.dueAt = p.now
		p.queue = append(p.queue, next)
		return
	}
	if p.limiter != nil {
		p.limiter.Release(next.place)
	}
	if p.now-next.beganAt <= requestGoal {
		p.served[int(next.beganAt/time.Second)]++
	}
}

// shareServed returns the share of the requests read from the given second on that were served.
func (p *processor) shareServed(from int) float64 {
	read, served := 0, 0
	for second, count := range p.read {
		if second >= from {
			read, served = read+count, served+p.served[second]
		}
	}
	return float64(served) / float64(max(read, 1))
}

// TestMostConnectionsAtOneServer guards against requests that a server reads but can't serve in time,
// because it gets three times the connections that it has processor time for.
func TestMostConnectionsAtOneServer(t *testing.T) {
	rates := []int{100, 100, 750, 750, 750, 750, 750, 100, 100, 100}
	limited := &processor{limiter: New(0)}
	limited.run(rates)
	unlimited := &processor{}
	unlimited.run(rates)
	t.Logf("served of what was read from second 3 to 6: %.3f, without a limiter %.3f; read in second 4: %d", limited.shareServed(3), unlimited.shareServed(3), limited.read[4])
	if share := limited.shareServed(3); share < 0.75 {
		t.Errorf("%.3f of the requests that were read are served, want at least 0.75", share)
	}
	if unlimited.shareServed(3) >= 0.75 {
		t.Error("the load is no overload")
	}
	// The processor has time for 250 requests a second.
	if limited.read[4] < 150 {
		t.Errorf("only %d requests are read in a second of overload", limited.read[4])
	}
	if got := limited.limiter.Stats(); limited.read[9] != 100 || got.Share != 1 {
		t.Errorf("after the overload %d of 100 connections are accepted, share %.2f", limited.read[9], got.Share)
	}
}

// TestNoLimitWithoutOverload checks that single late samples close no connection.
func TestNoLimitWithoutOverload(t *testing.T) {
	l := New(0)
	for i := range 100 {
		lag := time.Millisecond
		if i%lagSamples != 0 {
			lag = 2 * MaxLag
		}
		if l.ObserveLag(lag); l.Accept(time.Unix(0, 0), nil) == nil {
			t.Fatalf("connection %d is not accepted", i)
		}
	}
}

// TestOpenConnectionsAreBounded accepts more connections than the limit allows while all are served.
func TestOpenConnectionsAreBounded(t *testing.T) {
	l, now := New(4), time.Unix(0, 0)
	var open []*Place
	for range 4 {
		place := l.Accept(now, func() { t.Error("a connection that is served gives way") })
		l.SetState(place, now, Serving)
		open = append(open, place)
	}
	if !l.Crowded() {
		t.Error("the connections are not crowded at the limit")
	}
	if l.Accept(now, nil) != nil {
		t.Error("a connection over the limit is accepted")
	}
	for range 2 {
		// A second release must not count.
		l.Release(open[0])
	}
	l.Release(open[1])
	if l.Crowded() {
		t.Error("the connections are still crowded")
	}
	if l.Accept(now, nil) == nil {
		t.Error("a connection within the limit is not accepted")
	}
	if got := l.Stats(); got.Open != 3 || got.OverLimit != 1 {
		t.Errorf("%+v, want 3 open and 1 over the limit", got)
	}
}

// TestWhoGivesWay checks which connection a new one replaces at the limit: the oldest that asked nothing,
// then one whose request is unfinished for long, then an idle one, then any unfinished one.
func TestWhoGivesWay(t *testing.T) {
	now := time.Unix(0, 0)
	const recent = unfinishedTime / 2
	for name, test := range map[string]struct {
		states []State
		ages   []time.Duration
		want   int
	}{
		"silent":          {[]State{Serving, Idle, Silent, Sending}, []time.Duration{9, 8, 1, 7}, 2},
		"oldest silent":   {[]State{Silent, Silent, Idle, Idle}, []time.Duration{1, 2, 3, 4}, 0},
		"long unfinished": {[]State{Serving, Idle, Sending, Sending}, []time.Duration{0, 0, 3 * unfinishedTime, recent}, 2},
		"idle":            {[]State{Serving, Sending, Idle, Serving}, []time.Duration{0, recent, 0, 0}, 2},
		"unfinished":      {[]State{Serving, Sending, Serving, Serving}, []time.Duration{0, recent, 0, 0}, 1},
		"none":            {[]State{Serving, Serving, Serving, Serving}, []time.Duration{0, 0, 0, 0}, -1},
	} {
		l, got := New(4), -1
		for i, state := range test.states {
			place := l.Accept(now, func() { got = i })
			l.SetState(place, now.Add(-test.ages[i]), state)
		}
		if place := l.Accept(now, nil); got != test.want || (place == nil) != (test.want < 0) {
			t.Errorf("%s: connection %d gives way, want %d", name, got, test.want)
		}
	}
}

// TestClosingConnectionsAreBounded checks that connections which give way, but are not closed yet, don't
// add up.
func TestClosingConnectionsAreBounded(t *testing.T) {
	const maxOpen = 80
	l, now, accepted := New(maxOpen), time.Unix(0, 0), 0
	for range 10 * maxOpen {
		if l.Accept(now, func() {}) != nil {
			accepted++
		}
	}
	if want := maxOpen + maxOpen/closingDivisor; accepted != want || l.Stats().Open != want {
		t.Errorf("%d connections are accepted, %d open, want %d", accepted, l.Stats().Open, want)
	}
}
