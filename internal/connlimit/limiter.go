// Package connlimit bounds the connections that a server accepts. A load balancer may send one server
// most new connections, more than it has processor time or descriptors for. Without processor time the
// limiter closes new connections before it reads a request, so that callers try another server, and what
// has been read is served in time. At the maximum of open connections a new one takes the place of one
// that asks nothing, or has not sent its request whole; only if there is none, the new one is closed.
// Decisions depend on the arguments only.
package connlimit

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

const (
	// MaxLag is how late the process may run what is due before it counts as overloaded.
	MaxLag = 30 * time.Millisecond
	// lagSamples is how many samples in a row must be above MaxLag. A single one may come from a
	// garbage collection or a burst.
	lagSamples = 3
	// overloadDivisor divides the accepted share of new connections at each sample during an
	// overload. recoveryStep is added to the share at each sample after it.
	overloadDivisor = 2
	recoveryStep    = 0.03
	// minShare is the least accepted share of new connections.
	minShare = 0.05
	// crowdedPercent is the percentage of the maximum from which on connections are crowded.
	crowdedPercent = 75
	// unfinishedTime is how long a request may be unfinished before its connection gives way to a new
	// one rather than an idle connection.
	unfinishedTime = time.Second
	// closingDivisor bounds the connections that give way and are not closed yet: 1/closingDivisor of
	// the maximum.
	closingDivisor = 8
)

// State is what a connection does.
type State uint8

// The states of a connection: it has sent nothing, it sends a request, its request is being served, and
// it waits for another request.
const (
	Silent State = iota
	Sending
	Serving
	Idle
	stateCount
)

// String returns the state as used in metrics.
func (s State) String() string { return [...]string{"silent", "sending", "serving", "idle"}[s] }

// Place is an accepted connection's place among the open ones.
type Place struct {
	evict func()
	state State
	since time.Time
	// element is the place's element in the list of its state, nil once it was evicted or released.
	element *list.Element
	closed  bool
}

// Limiter decides which new connections are accepted. It is safe for concurrent use.
type Limiter struct {
	maxOpen int

	mutex sync.Mutex
	open  int
	// places holds the places that were not evicted, by state and in the order in which they came into it.
	places [stateCount]*list.List
	// share is the accepted share of new connections, 1 without an overload. credit is the part of a
	// connection that has been saved up for the next one.
	share  float64
	credit float64
	// lags holds the last samples.
	lags       []time.Duration
	overloaded uint64
	overLimit  uint64
	evicted    [stateCount]uint64
}

// New returns a limiter for at most maxOpen open connections; zero means no limit.
func New(maxOpen int) *Limiter {
	l := &Limiter{maxOpen: maxOpen, share: 1}
	for state := range l.places {
		l.places[state] = list.New()
	}
	return l
}

// ObserveLag records how late the process ran something that was due, and reports whether an overload
// begins or ends by it. Samples must come at regular intervals. While the process stalls as a whole, it
// must not be called.
func (l *Limiter) ObserveLag(lag time.Duration) (changed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lags = append(l.lags, lag)
	if len(l.lags) > lagSamples {
		l.lags = l.lags[1:]
	}
	before := l.share
	if len(l.lags) == lagSamples && slices.Min(l.lags) > MaxLag {
		l.share = max(l.share/overloadDivisor, minShare)
	} else if lag <= MaxLag {
		l.share = min(l.share+recoveryStep, 1)
	}
	return (before < 1) != (l.share < 1)
}

// Accept returns the place of a new connection, which is silent, or nil if it is not accepted. Each place
// must be released. If the connection gives way to a later one, evict is called without a lock.
func (l *Limiter) Accept(now time.Time, evict func()) *Place {
	place, victim := l.accept(now, evict)
	if victim != nil {
		victim.evict()
	}
	return place
}

func (l *Limiter) accept(now time.Time, evict func()) (place, victim *Place) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.credit = min(l.credit+l.share, 1); l.credit < 1 {
		l.overloaded++
		return nil, nil
	}
	if l.maxOpen > 0 && l.open >= l.maxOpen {
		victim = l.victim(now)
		if victim == nil || l.open >= l.maxOpen+max(l.maxOpen/closingDivisor, 1) {
			l.overLimit++
			return nil, nil
		}
		l.evicted[victim.state]++
		l.remove(victim)
	}
	l.credit--
	l.open++
	place = &Place{evict: evict, since: now}
	place.element = l.places[Silent].PushBack(place)
	return place, victim
}

// victim returns the place that a new connection may take, nil if all are being served.
func (l *Limiter) victim(now time.Time) *Place {
	first := func(state State) *Place {
		if element := l.places[state].Front(); element != nil {
			return element.Value.(*Place)
		}
		return nil
	}
	silent, sending, idle := first(Silent), first(Sending), first(Idle)
	switch {
	case silent != nil:
		return silent
	case sending != nil && (idle == nil || now.Sub(sending.since) >= unfinishedTime):
		return sending
	}
	return idle
}

// remove takes a place out of the list of its state.
func (l *Limiter) remove(place *Place) {
	if place.element != nil {
		l.places[place.state].Remove(place.element)
		place.element = nil
	}
}

// SetState records what the connection does from now on.
func (l *Limiter) SetState(place *Place, now time.Time, state State) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if place.element == nil || place.state == state {
		return
	}
	l.remove(place)
	place.state, place.since = state, now
	place.element = l.places[state].PushBack(place)
}

// Release records that an accepted connection was closed. It may be called more than once.
func (l *Limiter) Release(place *Place) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if place.closed {
		return
	}
	place.closed = true
	l.remove(place)
	l.open--
}

// Crowded reports whether so many connections are open that idle ones should be given up.
func (l *Limiter) Crowded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.maxOpen > 0 && l.open*100 >= l.maxOpen*crowdedPercent
}

// Stats is the state of a limiter.
type Stats struct {
	// Open is the number of open connections, Share the accepted share of new ones.
	Open  int
	Share float64
	// Overloaded and OverLimit count the connections that were not accepted because of an overload,
	// and because too many were open.
	Overloaded, OverLimit uint64
	// Evicted counts the connections that gave way to new ones, by state.
	Evicted [stateCount]uint64
}

// Stats returns the limiter's state.
func (l *Limiter) Stats() Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Stats{Open: l.open, Share: l.share, Overloaded: l.overloaded, OverLimit: l.overLimit, Evicted: l.evicted}
}
