package fairshare

import "time"

const (
	// recallTime is for how long an edge that is left without an answer goes by those
	// before. What it goes by fades to nothing meanwhile: then nobody is held to a share.
	recallTime = 500 * time.Millisecond
	// recallWeight is the part of an answer in what is recalled, one in so many.
	recallWeight = 4
	// maxRecalled bounds the parties that are recalled.
	maxRecalled = 4096
)

// Fallback is what an edge goes by where the hub's answer is lost: how its requests of late
// stood. It is not safe for concurrent use.
type Fallback struct {
	parties map[Class]*recalled
}

// recalled is what is known of a party: the part of its requests that was over its share,
// and the last such standing, with its time.
type recalled struct {
	at   time.Time
	part float64
	last Standing
}

// NewFallback returns one that recalls nothing.
func NewFallback() *Fallback { return &Fallback{parties: map[Class]*recalled{}} }

// Record takes in an answer of the hub.
func (r *Fallback) Record(now time.Time, party Class, standing Standing) {
	known := r.parties[party]
	if known == nil {
		if !standing.OverShare {
			// Most parties never are: they need no place.
			return
		}
		r.expire(now)
		if len(r.parties) >= maxRecalled {
			return
		}
		known = &recalled{part: 1}
		r.parties[party] = known
	}
	over := 0.0
	if standing.OverShare {
		over, known.last, known.at = 1, standing, now
	}
	known.part += (over - known.part) / recallWeight
}

// Standing returns how a request of the party probably stands. random is from 0 to 1.
func (r *Fallback) Standing(now time.Time, party Class, random float64) Standing {
	known := r.parties[party]
	if known == nil {
		return Standing{}
	}
	age := now.Sub(known.at)
	left := 1 - float64(age)/float64(recallTime)
	if random >= known.part*left {
		return Standing{}
	}
	standing := known.last
	standing.Age += age
	return standing
}

// expire forgets what is too old to go by.
func (r *Fallback) expire(now time.Time) {
	for party, known := range r.parties {
		if now.Sub(known.at) > recallTime {
			delete(r.parties, party)
		}
	}
}
