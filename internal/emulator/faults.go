package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults that an engine injects. Probabilities are per stream event, from 0 to 1.
type Faults struct {
	// Delayed delays an event by DelayBy, a Go duration.
	Delayed float64 `json:"late"`
	DelayBy string  `json:"late_by"`
	// Misrouted inserts an event of another attempt into the stream.
	Misrouted float64 `json:"crossed"`
	// Duplicated sends an event twice.
	Duplicated float64 `json:"twice"`
	// Disconnected closes the connection in mid-stream. The attempt continues.
	Disconnected float64 `json:"cut"`
	// CacheGap drops a cache event.
	CacheGap float64 `json:"cache_gap"`
	// Frozen makes the engine stop answering and generating.
	Frozen bool `json:"frozen"`
	// Leaving makes the engine reject new attempts.
	Leaving bool `json:"leaving"`
}

const defaultDelay = 50 * time.Millisecond

// delay returns the delay of delayed events, the default if DelayBy does not parse.
func (f *Faults) delay() time.Duration {
	if parsed, err := time.ParseDuration(f.DelayBy); err == nil {
		return parsed
	}
	return defaultDelay
}

// faultInjector decides at random, from a seed, when a fault occurs.
type faultInjector struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
}

func newFaultInjector(seed uint64, faults Faults) *faultInjector {
	return &faultInjector{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), faults: faults}
}

func (s *faultInjector) set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *faultInjector) get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// occurs decides at random whether a fault occurs. probability selects the fault's probability. If
// the probability is 0, no random number is used up.
func (s *faultInjector) occurs(probability func(*Faults) float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := probability(&s.faults)
	return p > 0 && s.random.Float64() < p
}
