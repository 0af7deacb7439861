package origin

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/incarnation"
)

// MaxListAge is how old the leader's last answer may be if the list of workers is to show that a single
// version serves. Coordinators answer each poll within 0.5 s, and changes at once.
const MaxListAge = 700 * time.Millisecond

// Source is how the origin of a stream was found.
type Source uint8

const (
	// Unknown means that nothing shows the origin.
	Unknown Source = iota
	// Local means that the stream began at this process.
	Local
	// Hub means that a hub knows the origin.
	Hub
	// Sole means that the list of workers has shown a single version since the stream can have begun.
	Sole
	// Gone means that the origin is known and has no worker.
	Gone
)

// String returns the source as used in logs and metrics.
func (s Source) String() string { return [...]string{"unknown", "local", "hub", "sole", "gone"}[s] }

// Knowledge is what a process knows of a stream that a caller takes up.
type Knowledge struct {
	// Found is the origin that this process or a hub holds, and Source which of the two.
	// HubsAnswered is set if all hubs have answered that they hold none.
	Found        Origin
	Source       Source
	HubsAnswered bool
	// Sole is the only version listed in the pools that the stream can have begun in, empty if there
	// are several or an unknown one, and SoleFor is for how long this process has seen no other one.
	Sole    incarnation.Version
	SoleFor time.Duration
	// StreamAge is how long ago the caller can have begun the stream.
	StreamAge time.Duration
	// ListAge is the time since the leader's last answer. ListWhole is set if the list is complete.
	ListAge   time.Duration
	ListWhole bool
}

// Decision is where a stream may continue: at the workers of Version. Without a version, the request
// that takes it up must be rejected; RetryHelps is set if the origin may be found later.
type Decision struct {
	Source     Source
	Version    incarnation.Version
	RetryHelps bool
}

// Decide decides where a stream may continue.
func Decide(k *Knowledge) Decision {
	switch {
	case k.Source != Unknown && k.Found.Known():
		return Decision{Source: k.Source, Version: k.Found.Version}
	case k.Sole == "" || k.SoleFor < k.StreamAge:
		return Decision{RetryHelps: !k.HubsAnswered}
	case !k.ListIsCurrent():
		return Decision{RetryHelps: true}
	}
	return Decision{Source: Sole, Version: k.Sole}
}

// ListIsCurrent reports whether the list of workers is whole and the leader's present one.
func (k *Knowledge) ListIsCurrent() bool { return k.ListWhole && k.ListAge <= MaxListAge }
