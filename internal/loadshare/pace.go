package loadshare

import (
	"math"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// paceHalf is the time after which an observation counts half.
	paceHalf = time.Second
	// leastSteps is the weight of times between events that a mean rests on.
	leastSteps = 2.0
	// rateSeconds is the span of time that a rate is told for.
	rateSeconds = 10
)

// pace is how fast a worker makes events and answers online requests, over all
// processes. The zero value is ready for use.
type pace struct {
	at       time.Time
	answered float64
	steps    float64
	// micros is the sum of the times between events.
	micros float64
}

// take takes in what a process has seen since its last report.
func (p *pace) take(now time.Time, load *wire.WorkerLoad) {
	p.age(now)
	p.answered += float64(load.Answered)
	p.steps += float64(load.Steps)
	p.micros += float64(load.StepMicros)
}

func (p *pace) age(now time.Time) {
	if !p.at.IsZero() {
		weight := math.Exp2(-float64(now.Sub(p.at)) / float64(paceHalf))
		p.answered *= weight
		p.steps *= weight
		p.micros *= weight
	}
	p.at = now
}

// step returns the mean time between events in microseconds, zero if unknown.
func (p *pace) step(now time.Time) uint32 {
	p.age(now)
	if p.steps < leastSteps {
		return 0
	}
	return uint32(min(p.micros/p.steps, math.MaxUint32))
}

// rate returns how many online requests are answered in ten seconds. What is
// answered evenly adds up to its rate times the mean age at which it is forgotten.
func (p *pace) rate(now time.Time) uint16 {
	p.age(now)
	perSecond := p.answered * math.Ln2 / paceHalf.Seconds()
	return clamp16(int(math.Round(perSecond * rateSeconds)))
}

// stale reports whether nothing is left to remember.
func (p *pace) stale(now time.Time) bool { return p.step(now) == 0 && p.rate(now) == 0 }
