package scheduling

import "time"

const (
	// burstWindow is the time within which arrivals count as one burst. It is about the time that a
	// running batch item takes to end by itself.
	burstWindow = 500 * time.Millisecond
	// burstRetention is how long a burst counts for the reserve.
	burstRetention = 30 * time.Second
	// burstWindowCount is the number of windows that are kept.
	burstWindowCount = int(burstRetention / burstWindow)
)

// burstMeter counts the online arrivals in each recent window. counts is a ring buffer, indexed by
// the window's number.
type burstMeter struct {
	counts [burstWindowCount]int
	window int64
}

// recordArrival counts one online arrival.
func (b *burstMeter) recordArrival(now time.Time) {
	b.advance(now)
	b.counts[int(b.window)%burstWindowCount]++
}

// advance moves to the current window and clears those that are no longer kept.
func (b *burstMeter) advance(now time.Time) {
	current := now.UnixNano() / int64(burstWindow)
	if b.window == 0 {
		b.window = current
	}
	for steps := 0; b.window < current && steps < burstWindowCount; steps++ {
		b.window++
		b.counts[int(b.window)%burstWindowCount] = 0
	}
	b.window = max(b.window, current)
}

// largest returns the number of arrivals in the largest recent burst.
func (b *burstMeter) largest(now time.Time) int {
	b.advance(now)
	largest := 0
	for _, count := range b.counts {
		largest = max(largest, count)
	}
	return largest
}

// reservePercent returns the percentage of each worker's slots that batch work leaves free. Without
// AdaptiveReserve it is the configured ReservePercent. The adaptive reserve covers the largest
// recent burst, so that such a burst starts without preemption, up to ReservePercent.
func (s *Scheduler) reservePercent() int {
	if s.config.EnginePriorities {
		return 0
	}
	if !s.config.AdaptiveReserve {
		return s.config.ReservePercent
	}
	slots := 0
	for _, id := range s.sortedWorkers {
		if w := s.workers[id]; w.available() {
			slots += w.spec.Slots
		}
	}
	if slots == 0 {
		return s.config.ReservePercent
	}
	const fullPercent = 100
	return min(s.bursts.largest(s.now)*fullPercent/slots, s.config.ReservePercent)
}
