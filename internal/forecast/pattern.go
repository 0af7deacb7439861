package forecast

import "time"

const (
	// mostWaves is how many waves a cycle may have: so many of different distance that
	// recur together.
	mostWaves = 3
	// leastCycles is how many cycles of equal length must have come before a pattern is
	// sure, and mostGivenUp how many more at most once some have failed.
	leastCycles = 2
	mostGivenUp = 2
	// keptBegins is how many begins of waves are kept.
	keptBegins = mostWaves*(leastCycles+mostGivenUp) + 1
	// toleranceParts is the part of a cycle, one in so many, by which a begin may be early or
	// late, leastTolerance the least in bins: a report's time at both ends, and one more
	// because a count that varies crosses the middle by chance a bin sooner or later.
	toleranceParts = 16
	leastTolerance = 3
	// lateParts is the part of a cycle, one in so many, within which a wave that was missed
	// is late rather than another one.
	lateParts = 4
	// failures is after how many waves in a row that did not come when they should a pattern
	// is given up.
	failures = 2
	// shortestCycle is the least length of a cycle in bins, a second: what recurs faster is
	// over before items have left and come back.
	shortestCycle = 20
	// profileCycles is how many cycles are averaged.
	profileCycles = 6
	// lengthParts is the part of a new value in the mean length and height of waves.
	lengthParts = 3
)

// pattern is what recurs. The zero value knows nothing.
type pattern struct {
	// high is set while the need is high, and begins are the bins in which it became so,
	// the last one last.
	high   bool
	begins []int
	// sure is set while the pattern holds. cycle is its length, of so many waves.
	sure  bool
	cycle int
	waves int
	// anchor is the begin of the last wave, or where it should have been while skipped is
	// set, and next where the next one should begin.
	anchor  int
	skipped bool
	next    int
	// length is that of waves in bins, height the need in them.
	length int
	height float64
	// misses counts waves in a row that did not come in time, hits those that did; givenUp is
	// how often a pattern was given up since one last held.
	misses  int
	hits    int
	givenUp int
}

// expect finds where the next wave should begin.
func (p *pattern) expect() {
	count := len(p.begins)
	if p.waves <= 1 || p.skipped || count <= p.waves {
		p.next = p.anchor + p.cycle/max(p.waves, 1)
		return
	}
	p.next = p.anchor + p.begins[count-p.waves] - p.begins[count-p.waves-1]
}

// tolerance returns by how many bins a begin may be off in a cycle.
func tolerance(cycle int) int { return max(cycle/toleranceParts, leastTolerance) }

// learnWave takes in a closed bin.
func (f *Forecast) learnWave(number int, value float64) {
	p := &f.pattern
	if !f.levels.known {
		f.giveUp()
		return
	}
	if f.cross(number, value) {
		f.waveBegan(number)
	}
	if p.sure && number > p.next+tolerance(p.cycle) {
		f.waveMissed()
	}
}

// reviewWaves finds begins anew once levels have changed, while nothing is sure: those found
// by levels that rested on little would be off.
func (f *Forecast) reviewWaves(number int) {
	p := &f.pattern
	if p.sure || !f.levels.known {
		return
	}
	p.high, p.begins, p.length = false, p.begins[:0], 0
	for at := max(f.since, f.dropped); at < number; at++ {
		value, _ := f.bin(at)
		f.cross(at, value)
	}
}

// cross takes in a bin's need, and reports whether a wave began with it.
func (f *Forecast) cross(number int, value float64) bool {
	p := &f.pattern
	before := p.high
	p.high = f.levels.crossed(p.high, value)
	switch {
	case p.high && !before:
		p.addBegin(number)
		return true
	case before && !p.high:
		f.waveEnded(number)
	}
	return false
}

// addBegin keeps the begin of a wave.
func (p *pattern) addBegin(number int) {
	p.begins = append(p.begins, number)
	if surplus := len(p.begins) - keptBegins; surplus > 0 {
		p.begins = append(p.begins[:0], p.begins[surplus:]...)
	}
}

// waveBegan takes in that a wave has begun just now.
func (f *Forecast) waveBegan(number int) {
	p := &f.pattern
	if p.sure {
		f.judge(number)
	}
	if len(p.begins) == 0 {
		// The pattern was given up just now.
		p.addBegin(number)
	}
	p.anchor, p.skipped = number, false
	f.seek()
	p.expect()
}

// judge takes in that a wave began while one was forecast.
func (f *Forecast) judge(number int) {
	p := &f.pattern
	if p.skipped && number-p.anchor < p.cycle/p.waves/lateParts {
		// It is the one that was missed.
		return
	}
	if p.next-number <= tolerance(p.cycle) {
		p.misses = 0
		p.hits++
		if p.hits >= failures {
			p.givenUp = 0
		}
		return
	}
	p.hits = 0
	p.misses++
	if p.misses >= failures {
		f.giveUp()
	}
}

// waveMissed takes in that a wave did not come.
func (f *Forecast) waveMissed() {
	p := &f.pattern
	p.anchor, p.skipped = p.next, true
	p.expect()
	p.hits = 0
	p.misses++
	if p.misses >= failures {
		f.giveUp()
	}
}

// giveUp forgets a pattern that did not hold.
func (f *Forecast) giveUp() {
	p := &f.pattern
	if !p.sure {
		return
	}
	givenUp := min(p.givenUp+1, mostGivenUp)
	f.news = Change{Abandoned: true, Period: time.Duration(p.cycle) * binTime, Waves: p.waves}
	f.pattern = pattern{high: p.high, givenUp: givenUp}
	f.since = f.number() - 1
	f.levels.cycle = 0
	f.score = score{}
}

// seek looks for the shortest cycle that has repeated often enough.
func (f *Forecast) seek() {
	p := &f.pattern
	for waves := 1; waves <= mostWaves; waves++ {
		cycle, found := p.repeats(waves)
		if !found {
			continue
		}
		if !p.sure {
			f.news = Change{Learned: true, Period: time.Duration(cycle) * binTime, Waves: waves, Duration: time.Duration(p.length) * binTime, Amplitude: p.height}
		}
		p.sure, p.cycle, p.waves = true, cycle, waves
		f.levels.cycle = cycle
		return
	}
}

// repeats returns the mean length of the last cycles of so many waves, if they are alike.
func (p *pattern) repeats(waves int) (int, bool) {
	cycles := leastCycles + p.givenUp
	if len(p.begins) <= cycles*waves {
		return 0, false
	}
	cycle := p.meanCycle(waves, cycles)
	if cycle < shortestCycle || p.alike(waves, cycle) < (cycles-1)*waves+1 {
		return 0, false
	}
	// Those before, as far as they are alike, make the mean more exact.
	if longer := (p.alike(waves, cycle)-1)/waves + 1; longer > cycles {
		cycle = p.meanCycle(waves, longer)
	}
	return cycle, true
}

// meanCycle returns the mean length of the last cycles.
func (p *pattern) meanCycle(waves, cycles int) int {
	last := len(p.begins) - 1
	return (p.begins[last] - p.begins[last-cycles*waves] + cycles/2) / cycles
}

// alike counts the last begins that followed others by a cycle.
func (p *pattern) alike(waves, cycle int) int {
	count := 0
	for i := len(p.begins) - 1 - waves; i >= 0; i-- {
		if off := p.begins[i+waves] - p.begins[i] - cycle; max(off, -off) > tolerance(cycle) {
			break
		}
		count++
	}
	return count
}

// waveEnded takes in the end of a wave: its length, and the mean need in it.
func (f *Forecast) waveEnded(number int) {
	p := &f.pattern
	if len(p.begins) == 0 {
		return
	}
	begin := p.begins[len(p.begins)-1]
	length, height := number-begin, 0.0
	for at := begin; at < number; at++ {
		value, _ := f.bin(at)
		height += value / float64(length)
	}
	if p.length == 0 {
		p.length, p.height = length, height
		return
	}
	p.length += (length - p.length) / lengthParts
	p.height += (height - p.height) / lengthParts
}

// usual returns the mean need at the same distance from the begins of earlier cycles.
func (f *Forecast) usual(number int) (float64, bool) {
	p := &f.pattern
	distance := number - p.anchor
	if p.skipped && distance < p.cycle/max(p.waves, 1)/2 {
		// The wave that should be now did not come.
		return f.present, true
	}
	sum, count := 0.0, 0
	f.eachEarlier(number, func(known int) {
		sum += f.bins[known-f.dropped]
		count++
	})
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}

// eachEarlier calls take for the closed bins at the same distance from the begins of earlier
// cycles, the last few of them.
func (f *Forecast) eachEarlier(number int, take func(known int)) {
	p := &f.pattern
	distance, count := number-p.anchor, 0
	for i := len(p.begins) - 1; i >= 0 && count < profileCycles; i-- {
		if (len(p.begins)-1-i)%p.waves != 0 && !p.skipped {
			continue
		}
		if known := p.begins[i] + distance; known >= f.dropped && known < len(f.bins)+f.dropped {
			take(known)
			count++
		}
	}
}
