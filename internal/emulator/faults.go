package emulator

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults says how often and how an engine misbehaves. Probabilities are per
// event of a stream, from 0 to 1.
type Faults struct {
	// Delayed delays an event by LateBy.
	Delayed float64 `json:"late"`
	DelayBy string  `json:"late_by"`
	// Misrouted puts an event of another attempt into the stream.
	Misrouted float64 `json:"crossed"`
	// Duplicated repeats an event.
	Duplicated float64 `json:"twice"`
	// Disconnected breaks the connection in mid-stream; the attempt goes on.
	Disconnected float64 `json:"cut"`
	// CacheGap loses a cache event.
	CacheGap float64 `json:"cache_gap"`
	// Frozen makes the engine answer nothing and generate nothing.
	Frozen bool `json:"frozen"`
	// Leaving makes the engine refuse new attempts.
	Leaving bool `json:"leaving"`
}

const defaultLateBy = 50 * time.Millisecond

// lateBy returns the delay of late events.
func (f *Faults) lateBy() time.Duration {
	if parsed, err := time.ParseDuration(f.DelayBy); err == nil {
		return parsed
	}
	return defaultLateBy
}

// faultSource draws faults from a seed.
type faultSource struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
}

func newFaultSource(seed uint64, faults Faults) *faultSource {
	return &faultSource{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), faults: faults}
}

func (s *faultSource) set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *faultSource) get() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// strikes draws whether a fault of the given probability happens.
func (s *faultSource) strikes(probability func(*Faults) float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wanted := probability(&s.faults)
	return wanted > 0 && s.random.Float64() < wanted
}
