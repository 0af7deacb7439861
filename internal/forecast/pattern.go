package forecast

import "time"

const (
	// maxWaves is the maximum number of waves in a cycle: waves at different distances that recur
	// together.
	maxWaves = 3
	// minCycles is the number of cycles of equal length that must have come before a pattern is
	// confident. For each pattern that was abandoned since one last held, one more cycle is needed,
	// up to maxAbandoned more.
	minCycles    = 2
	maxAbandoned = 2
	// maxOnsets is the number of wave onsets that are kept.
	maxOnsets = maxWaves*(minCycles+maxAbandoned) + 1
	// toleranceDivisor sets how early or late an onset may be: a sixteenth of a cycle. minTolerance
	// is the minimum in bins: the time of a report at both ends, and one more because a varying
	// count crosses the middle a bin sooner or later by chance.
	toleranceDivisor = 16
	minTolerance     = 3
	// lateDivisor sets how late a missed wave may come to count as late rather than as another
	// wave: a quarter of the mean time between waves.
	lateDivisor = 4
	// maxMisses is the number of consecutive waves out of time after which a pattern is abandoned.
	maxMisses = 2
	// minCycle is the minimum length of a cycle in bins, one second: faster waves are over before
	// items have stopped and resumed.
	minCycle = 20
	// profileCycles is the number of cycles that the profile averages.
	profileCycles = 6
	// smoothingDivisor sets the weight of a new value in the mean length and height of waves, a
	// third.
	smoothingDivisor = 3
)

// pattern is a recurring sequence of waves. The zero value knows nothing.
type pattern struct {
	// high is set while the demand is high. onsets holds the bins in which it became high, oldest
	// first.
	high   bool
	onsets []int
	// confident is set while the pattern holds. cycle is its length in bins, and waves the number
	// of waves in it.
	confident bool
	cycle     int
	waves     int
	// anchor is the onset of the last wave, or where it should have been if skipped is set. next is
	// where the next wave should begin.
	anchor  int
	skipped bool
	next    int
	// length is the mean length of waves in bins, height the mean demand in them.
	length int
	height float64
	// misses counts consecutive waves out of time, hits consecutive waves in time. abandoned is how
	// often a pattern was abandoned since one last held.
	misses    int
	hits      int
	abandoned int
}

// updateNext computes where the next wave should begin.
func (p *pattern) updateNext() {
	count := len(p.onsets)
	if p.waves <= 1 || p.skipped || count <= p.waves {
		p.next = p.anchor + p.cycle/max(p.waves, 1)
		return
	}
	p.next = p.anchor + p.onsets[count-p.waves] - p.onsets[count-p.waves-1]
}

// tolerance returns by how many bins an onset may be early or late in a cycle.
func tolerance(cycle int) int { return max(cycle/toleranceDivisor, minTolerance) }

// observeWave updates the pattern with a closed bin.
func (f *Forecast) observeWave(number int, value float64) {
	p := &f.pattern
	if !f.levels.known {
		f.abandon()
		return
	}
	if f.observeCrossing(number, value) {
		f.recordOnset(number)
	}
	if p.confident && number > p.next+tolerance(p.cycle) {
		f.recordMiss()
	}
}

// rebuildOnsets recomputes the onsets after the levels have changed, while there is no confident
// pattern: onsets found by levels that rested on few bins would be inaccurate.
func (f *Forecast) rebuildOnsets(number int) {
	p := &f.pattern
	if p.confident || !f.levels.known {
		return
	}
	p.high, p.onsets, p.length = false, p.onsets[:0], 0
	for at := max(f.learnFrom, f.dropped); at < number; at++ {
		value, _ := f.bin(at)
		f.observeCrossing(at, value)
	}
}

// observeCrossing updates the high state with the demand of a bin, and reports whether a wave
// began with it.
func (f *Forecast) observeCrossing(number int, value float64) bool {
	p := &f.pattern
	wasHigh := p.high
	p.high = f.levels.isHigh(p.high, value)
	switch {
	case p.high && !wasHigh:
		p.addOnset(number)
		return true
	case wasHigh && !p.high:
		f.recordWaveEnd(number)
	}
	return false
}

// addOnset adds the onset of a wave and drops the oldest ones beyond maxOnsets.
func (p *pattern) addOnset(number int) {
	p.onsets = append(p.onsets, number)
	if surplus := len(p.onsets) - maxOnsets; surplus > 0 {
		p.onsets = append(p.onsets[:0], p.onsets[surplus:]...)
	}
}

// recordOnset records that a wave has begun.
func (f *Forecast) recordOnset(number int) {
	p := &f.pattern
	if p.confident {
		f.checkOnset(number)
	}
	if len(p.onsets) == 0 {
		// The pattern was abandoned by checkOnset.
		p.addOnset(number)
	}
	p.anchor, p.skipped = number, false
	f.findCycle()
	p.updateNext()
}

// checkOnset compares the onset of a wave with the predicted one.
func (f *Forecast) checkOnset(number int) {
	p := &f.pattern
	if p.skipped && number-p.anchor < p.cycle/p.waves/lateDivisor {
		// This is the wave that was recorded as missed, coming late.
		return
	}
	if p.next-number <= tolerance(p.cycle) {
		p.misses = 0
		p.hits++
		if p.hits >= maxMisses {
			p.abandoned = 0
		}
		return
	}
	p.hits = 0
	p.misses++
	if p.misses >= maxMisses {
		f.abandon()
	}
}

// recordMiss records that a predicted wave did not come.
func (f *Forecast) recordMiss() {
	p := &f.pattern
	p.anchor, p.skipped = p.next, true
	p.updateNext()
	p.hits = 0
	p.misses++
	if p.misses >= maxMisses {
		f.abandon()
	}
}

// abandon discards a pattern that did not hold.
func (f *Forecast) abandon() {
	p := &f.pattern
	if !p.confident {
		return
	}
	abandoned := min(p.abandoned+1, maxAbandoned)
	f.change = Change{Abandoned: true, Period: time.Duration(p.cycle) * binTime, Waves: p.waves}
	f.pattern = pattern{high: p.high, abandoned: abandoned}
	f.learnFrom = f.openBin() - 1
	f.levels.cycle = 0
	f.score = score{}
}

// findCycle looks for the cycle with the fewest waves that has repeated often enough.
func (f *Forecast) findCycle() {
	p := &f.pattern
	for waves := 1; waves <= maxWaves; waves++ {
		cycle, found := p.repeatedCycle(waves)
		if !found {
			continue
		}
		if !p.confident {
			f.change = Change{Learned: true, Period: time.Duration(cycle) * binTime, Waves: waves, Duration: time.Duration(p.length) * binTime, Amplitude: p.height}
		}
		p.confident, p.cycle, p.waves = true, cycle, waves
		f.levels.cycle = cycle
		return
	}
}

// repeatedCycle returns the mean length of the last cycles with the given number of waves, and
// false if there are too few such cycles or their lengths are not alike.
func (p *pattern) repeatedCycle(waves int) (int, bool) {
	cycles := minCycles + p.abandoned
	if len(p.onsets) <= cycles*waves {
		return 0, false
	}
	cycle := p.meanCycle(waves, cycles)
	if cycle < minCycle || p.matchingOnsets(waves, cycle) < (cycles-1)*waves+1 {
		return 0, false
	}
	// Earlier cycles, as far as they are alike, make the mean more accurate.
	if longer := (p.matchingOnsets(waves, cycle)-1)/waves + 1; longer > cycles {
		cycle = p.meanCycle(waves, longer)
	}
	return cycle, true
}

// meanCycle returns the mean length of the last cycles.
func (p *pattern) meanCycle(waves, cycles int) int {
	last := len(p.onsets) - 1
	return (p.onsets[last] - p.onsets[last-cycles*waves] + cycles/2) / cycles
}

// matchingOnsets counts the last onsets that came one cycle after another onset.
func (p *pattern) matchingOnsets(waves, cycle int) int {
	count := 0
	for i := len(p.onsets) - 1 - waves; i >= 0; i-- {
		if off := p.onsets[i+waves] - p.onsets[i] - cycle; max(off, -off) > tolerance(cycle) {
			break
		}
		count++
	}
	return count
}

// recordWaveEnd updates the mean length and height with a wave that ended.
func (f *Forecast) recordWaveEnd(number int) {
	p := &f.pattern
	if len(p.onsets) == 0 {
		return
	}
	onset := p.onsets[len(p.onsets)-1]
	length, height := number-onset, 0.0
	for at := onset; at < number; at++ {
		value, _ := f.bin(at)
		height += value / float64(length)
	}
	if p.length == 0 {
		p.length, p.height = length, height
		return
	}
	p.length += (length - p.length) / smoothingDivisor
	p.height += (height - p.height) / smoothingDivisor
}

// profileMean returns the mean demand at the same distance from the onsets of earlier cycles, and
// false if there is none.
func (f *Forecast) profileMean(number int) (float64, bool) {
	p := &f.pattern
	distance := number - p.anchor
	if p.skipped && distance < p.cycle/max(p.waves, 1)/2 {
		// The wave that should be running did not come.
		return f.current, true
	}
	sum, count := 0.0, 0
	f.eachProfileBin(number, func(known int) {
		sum += f.bins[known-f.dropped]
		count++
	})
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// eachProfileBin calls visit for the closed bins at the same distance from the onsets of earlier
// cycles, for the last profileCycles of them.
func (f *Forecast) eachProfileBin(number int, visit func(known int)) {
	p := &f.pattern
	distance, count := number-p.anchor, 0
	for i := len(p.onsets) - 1; i >= 0 && count < profileCycles; i-- {
		if (len(p.onsets)-1-i)%p.waves != 0 && !p.skipped {
			continue
		}
		if known := p.onsets[i] + distance; known >= f.dropped && known < len(f.bins)+f.dropped {
			visit(known)
			count++
		}
	}
}
