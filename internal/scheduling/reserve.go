package scheduling

import "time"

const (
	// burstWindow is the time within which arrivals count as one burst: about as
	// long as a batch item needs to end by itself.
	burstWindow = 500 * time.Millisecond
	// burstMemory is how long a burst is remembered.
	burstMemory = 30 * time.Second
	// burstCells is how many windows are remembered.
	burstCells = int(burstMemory / burstWindow)
)

// burstMeter remembers how many online attempts arrived in each recent window.
type burstMeter struct {
	cells [burstCells]int
	cell  int64
}

// arrived counts one arrival.
func (b *burstMeter) arrived(now time.Time) {
	b.advance(now)
	b.cells[int(b.cell)%burstCells]++
}

// advance forgets the windows that have passed.
func (b *burstMeter) advance(now time.Time) {
	current := now.UnixNano() / int64(burstWindow)
	if b.cell == 0 {
		b.cell = current
	}
	for steps := 0; b.cell < current && steps < burstCells; steps++ {
		b.cell++
		b.cells[int(b.cell)%burstCells] = 0
	}
	b.cell = max(b.cell, current)
}

// largest returns the arrivals of the largest remembered burst.
func (b *burstMeter) largest(now time.Time) int {
	b.advance(now)
	most := 0
	for _, count := range b.cells {
		most = max(most, count)
	}
	return most
}

// reservePercent returns the share of each worker's slots that batch work leaves
// free. The adaptive reserve is as large as the largest recent burst, less what
// online work holds already, so that the burst finds its slots without any
// preemption; it is never larger than the operator's choice.
func (s *Scheduler) reservePercent() int {
	if s.config.EnginePriorities {
		return 0
	}
	if !s.config.AdaptiveReserve {
		return s.config.ReservePercent
	}
	slots := 0
	for _, id := range s.order {
		if w := s.workers[id]; w.available() {
			slots += w.spec.Slots
		}
	}
	if slots == 0 {
		return s.config.ReservePercent
	}
	const whole = 100
	return min(s.bursts.largest(s.now)*whole/slots, s.config.ReservePercent)
}
