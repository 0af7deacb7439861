// Package connlimit bounds the connections that a server accepts. A load balancer may send one server
// most new connections, more than it has processor time or descriptors for. The limiter then closes new
// connections before it reads a request, so that callers try another server, and what has been read is
// served in time. Open connections are left alone. Decisions depend on the arguments only.
package connlimit

import (
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
)

// Limiter decides which new connections are accepted. It is safe for concurrent use.
type Limiter struct {
	maxOpen int

	mutex sync.Mutex
	open  int
	// share is the accepted share of new connections, 1 without an overload. credit is the part of a
	// connection that has been saved up for the next one.
	share  float64
	credit float64
	// lags holds the last samples.
	lags       []time.Duration
	overloaded uint64
	overLimit  uint64
}

// New returns a limiter for at most maxOpen open connections; zero means no limit.
func New(maxOpen int) *Limiter { return &Limiter{maxOpen: maxOpen, share: 1} }

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

// Accept reports whether to accept a new connection. Each accepted one must be released.
func (l *Limiter) Accept() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.maxOpen > 0 && l.open >= l.maxOpen {
		l.overLimit++
		return false
	}
	l.credit = min(l.credit+l.share, 1)
	if l.credit < 1 {
		l.overloaded++
		return false
	}
	l.credit--
	l.open++
	return true
}

// Release records that an accepted connection was closed.
func (l *Limiter) Release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
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
}

// Stats returns the limiter's state.
func (l *Limiter) Stats() Stats {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Stats{Open: l.open, Share: l.share, Overloaded: l.overloaded, OverLimit: l.overLimit}
}
