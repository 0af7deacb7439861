// Package forecast says how many slots online requests will need in the next moments, by
// what they needed so far. It is pure: times come from the caller.
//
// A Forecast learns waves that recur. It cuts the need into bins of time, notes when the
// need rises through the middle between its low and its high level, and is sure of a
// pattern once the times between such rises repeat. From then on what comes is what came
// at the same distance from the rises before, with what the present differs from that. It
// gives up once two waves in a row did not come when they should, and needs longer to be
// sure again. Without a pattern it says so, and the present need is all it knows.
package forecast

import (
	"math"
	"time"
)

// Demand is how many slots online requests will need at a moment.
type Demand struct {
	Slots float64
	// At is the moment, and Until when the level changes next, zero where that is unknown.
	At    time.Time
	Until time.Time
	// Confident is set where the level follows from a pattern that has held; otherwise it is the
	// present level.
	Confident bool
	// Rising is set where it is not sure, and the level is the one that a rise that has just
	// begun goes on to.
	Rising bool
}

const (
	// binTime is the time that one kept value stands for: reports come no more often, so
	// shorter bins would hold nothing more.
	binTime = 50 * time.Millisecond
	// keptBins bounds what is kept, two minutes. Longer waves are not learnt: an item that
	// stops for one is not worth a forecast, because it waits for long after it anyway.
	keptBins = 2400
	// longestGap is how long nothing may be heard before all is forgotten: whoever plans
	// then has missed what came meanwhile.
	longestGap = time.Second
	// warmBins is how long the need must not have risen for its first rise to be over, by
	// more than chance: two of the longest times between reports, so that all have been heard
	// too. warmTime is the longest that this may last.
	warmBins = 5
	warmTime = time.Second
	// riseBins is over how many bins a rise is looked for, two reports, and riseDeviations how
	// many standard deviations of a count it must be not to be chance.
	riseBins       = 2
	riseDeviations = 3
)

// Forecast holds what is known of the online need of a pool. It is not safe for concurrent
// use.
type Forecast struct {
	// began is the begin of bin zero, zero before anything was heard; heard is when
	// something was last.
	began time.Time
	heard time.Time
	// bins holds closed bins, the first of which has the number dropped.
	bins    []float64
	dropped int
	// sum and count are of the bin that is open, present is the need heard last.
	sum     float64
	count   int
	present float64

	// since is the bin from which on waves are learnt; warm is set once it is known, and most
	// is the highest bin until then.
	since int
	warm  bool
	most  float64

	levels  levels
	pattern pattern
	score   score
	news    Change
}

// New returns a forecast that knows nothing.
func New() *Forecast { return &Forecast{} }

// Observe takes in the present need, in slots. Requests that wait for a slot count, because
// they need one.
func (f *Forecast) Observe(now time.Time, need float64) {
	if f.began.IsZero() || now.Sub(f.heard) > longestGap || now.Before(f.heard) {
		*f = Forecast{began: now}
	}
	f.heard = now
	for open := f.number(); open < int(now.Sub(f.began)/binTime); open++ {
		f.closeBin()
	}
	f.present = need
	f.sum += need
	f.count++
}

// number returns the number of the bin that is open.
func (f *Forecast) number() int { return f.dropped + len(f.bins) }

// closeBin closes the open bin and learns from it.
func (f *Forecast) closeBin() {
	value := f.present
	if f.count > 0 {
		value = f.sum / float64(f.count)
	}
	f.sum, f.count = 0, 0
	number := f.number()
	f.score.compare(f, number, value)
	f.bins = append(f.bins, value)
	f.trim()
	f.warmUp(number, value)
	if f.levels.learn(f.counted(), number) {
		f.reviewWaves(number)
	}
	f.learnWave(number, value)
	f.score.note(f, number)
}

// warmUp waits until the need has stopped rising: its first rise, from nothing, is no wave.
func (f *Forecast) warmUp(number int, value float64) {
	if f.warm {
		return
	}
	if value > f.most+math.Sqrt(f.most) {
		f.most, f.since = value, number
	}
	// While there is nothing the crowd is still to come.
	settled := f.most > 0 && number-f.since >= warmBins
	f.warm = settled || time.Duration(number)*binTime >= warmTime
}

// WarmedUp reports whether enough was heard: all had time to report, and the crowd of requests
// that comes once processes are back has come.
func (f *Forecast) WarmedUp() bool { return f.warm }

// counted returns the bins that waves are learnt from.
func (f *Forecast) counted() []float64 {
	if !f.warm {
		return nil
	}
	return f.bins[max(f.since-f.dropped, 0):]
}

// trim drops the oldest bins, many at a time so that it costs little.
func (f *Forecast) trim() {
	if len(f.bins) < 2*keptBins {
		return
	}
	surplus := len(f.bins) - keptBins
	f.bins = append(f.bins[:0], f.bins[surplus:]...)
	f.dropped += surplus
}

// bin returns the value of a closed bin that is kept.
func (f *Forecast) bin(number int) (float64, bool) {
	if number < f.dropped || number >= f.number() {
		return 0, false
	}
	return f.bins[number-f.dropped], true
}

// Peak returns the highest need from now until so long ahead.
func (f *Forecast) Peak(now time.Time, ahead time.Duration) Demand {
	need := Demand{Slots: f.present, At: now}
	if f.began.IsZero() {
		return need
	}
	if !f.pattern.sure {
		return f.rising(need, ahead)
	}
	need.Confident, need.Until = true, f.changeAfter(now)
	open := f.number()
	last := int(now.Add(ahead).Sub(f.began) / binTime)
	for number := open + 1; number <= last; number++ {
		level, known := f.expect(number)
		if !known {
			continue
		}
		if level += f.score.margin(level); level > need.Slots {
			need.Slots, need.At = level, f.timeOf(number)
		}
	}
	return need
}

// rising adds what a rise that has just begun goes on to.
func (f *Forecast) rising(need Demand, ahead time.Duration) Demand {
	before, known := f.bin(f.number() - riseBins)
	if !known || !f.warm {
		return need
	}
	rise := f.present - before
	if rise <= riseDeviations*math.Sqrt(max(before, 1)) {
		return need
	}
	need.Rising = true
	reached := f.present + rise*float64(ahead)/float64(riseBins*binTime)
	if f.levels.known {
		// Waves have not been higher so far.
		reached = min(reached, max(f.levels.high, f.present))
	}
	need.Slots = reached
	return need
}

// expect returns the need in a bin to come.
func (f *Forecast) expect(number int) (float64, bool) {
	usual, known := f.usual(number)
	if !known {
		return 0, false
	}
	open := f.number()
	before, known := f.usual(open)
	if !known {
		return usual, true
	}
	// What the present differs by lasts for a while: requests hold their slots.
	return max(usual+f.score.lasting(number-open)*(f.present-before), 0), true
}

// timeOf returns the begin of a bin.
func (f *Forecast) timeOf(number int) time.Time {
	return f.began.Add(time.Duration(number) * binTime)
}

// changeAfter returns when the level changes next: the end of the wave, or the next begin.
func (f *Forecast) changeAfter(now time.Time) time.Time {
	if end := f.timeOf(f.pattern.anchor + f.pattern.length); f.pattern.high && end.After(now) {
		return end
	}
	return f.timeOf(f.pattern.next)
}
