package fairshare

import "time"

const (
	// fallbackTTL is how long an edge that gets no answer from the hub uses the hub's earlier
	// answers. The weight of these answers falls linearly to zero in this time. After it, no class
	// counts as over its share.
	fallbackTTL = 500 * time.Millisecond
	// fallbackDivisor gives an answer the weight 1/4 in the moving average.
	fallbackDivisor = 4
	// maxFallbackClasses bounds the classes that are kept.
	maxFallbackClasses = 4096
)

// Fallback replaces the hub's answer at an edge if that answer is lost. It estimates the standing
// of a request (whether its tenant is over its share) from recent answers for the request's class.
// It is not safe for concurrent use.
type Fallback struct {
	classes map[Class]*classHistory
}

// classHistory holds the moving average of the fraction of a class's requests that were over its
// share, the last standing that was over the share, and when that standing arrived.
type classHistory struct {
	overShareAt       time.Time
	overShareFraction float64
	lastOverShare     Standing
}

// NewFallback returns a Fallback without any answers.
func NewFallback() *Fallback { return &Fallback{classes: map[Class]*classHistory{}} }

// Record records an answer of the hub.
func (f *Fallback) Record(now time.Time, class Class, standing Standing) {
	history := f.classes[class]
	if history == nil {
		if !standing.OverShare {
			// Most classes are never over their shares and need no entry.
			return
		}
		f.expire(now)
		if len(f.classes) >= maxFallbackClasses {
			return
		}
		history = &classHistory{overShareFraction: 1}
		f.classes[class] = history
	}
	sample := 0.0
	if standing.OverShare {
		sample, history.lastOverShare, history.overShareAt = 1, standing, now
	}
	history.overShareFraction += (sample - history.overShareFraction) / fallbackDivisor
}

// Standing returns the probable standing of a request of the class. random is from 0 to 1.
func (f *Fallback) Standing(now time.Time, class Class, random float64) Standing {
	history := f.classes[class]
	if history == nil {
		return Standing{}
	}
	age := now.Sub(history.overShareAt)
	weight := 1 - float64(age)/float64(fallbackTTL)
	if random >= history.overShareFraction*weight {
		return Standing{}
	}
	standing := history.lastOverShare
	standing.Age += age
	return standing
}

// expire deletes the classes whose answers are older than fallbackTTL.
func (f *Fallback) expire(now time.Time) {
	for class, history := range f.classes {
		if now.Sub(history.overShareAt) > fallbackTTL {
			delete(f.classes, class)
		}
	}
}
