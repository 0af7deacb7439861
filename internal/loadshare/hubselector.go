package loadshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// hubTimeout is how long a hub may stay unresponsive before the next one is tried. Together
	// with one interval it stays within ReportTTL, so that a reporter that lost its hub reaches the
	// next one before the loads it knows expire.
	hubTimeout = 2*MaxInterval + Interval
	// preferredRetryDelay is how long a reporter waits after it left its preferred hub before it
	// tries that hub again. A lost store is removed from the membership after about 3 s.
	preferredRetryDelay = 2 * time.Second
	// suspectAfter is how long a hub must have been unresponsive before unanswered requests count
	// against it.
	suspectAfter = 40 * time.Millisecond
)

// hubSelector selects the hub that a process reports to. It does no I/O; times are relative to the
// start of the process.
type hubSelector struct {
	// preferFirst makes the selector return to the first candidate after preferredRetryDelay.
	preferFirst bool
	target      string
	// targetSince is when the target was selected, lastAnswer when a hub last answered.
	targetSince time.Duration
	lastAnswer  time.Duration
	// referral is the hub that another process named, until it becomes the target.
	referral string
}

// next returns the hub to report to now, and the previous hub if it has to be told that this
// process reports elsewhere. Either is empty if there is none.
func (s *hubSelector) next(now time.Duration, candidates []string) (target, previous string) {
	current, answered := s.target, s.lastAnswer >= s.targetSince && s.target != ""
	switch {
	case s.referral != "":
		s.switchTo(now, s.referral)
		s.referral = ""
	case s.target == "" || now-max(s.targetSince, s.lastAnswer) > hubTimeout:
		s.switchTo(now, nextCandidate(candidates, s.target))
		answered = false
	case s.preferFirst && len(candidates) > 0 && s.target != candidates[0] && now-s.targetSince > preferredRetryDelay:
		s.switchTo(now, candidates[0])
	}
	if current != s.target && answered {
		previous = current
	}
	return s.target, previous
}

func (s *hubSelector) switchTo(now time.Duration, target string) {
	if target != s.target {
		s.target, s.targetSince = target, now
		return
	}
	s.targetSince = now
}

// nextCandidate returns the candidate that follows the given one, or the first if the given one is
// not among them.
func nextCandidate(candidates []string, candidate string) string {
	if len(candidates) == 0 {
		return ""
	}
	return candidates[(slices.Index(candidates, candidate)+1)%len(candidates)]
}

// suspect records that the hub leaves requests unanswered: the following call of next switches to
// another one, unless the hub was selected or answered within suspectAfter.
func (s *hubSelector) suspect(now time.Duration) {
	if now-max(s.targetSince, s.lastAnswer) > suspectAfter {
		s.targetSince, s.lastAnswer = now-hubTimeout-1, min(s.lastAnswer, now-hubTimeout-1)
	}
}

// recordAnswer records that a hub answered.
func (s *hubSelector) recordAnswer(now time.Duration) { s.lastAnswer = now }

// recordReferral records that a process named the hub to report to.
func (s *hubSelector) recordReferral(address string) {
	if address != s.target {
		s.referral = address
	}
}

// HubOrder returns the stores in the order in which the processes of a zone prefer them as their
// hub: stores of the zone first. Processes of a zone that know the same stores compute the same
// order, and adding or removing a store leaves the order of the others unchanged.
func HubOrder(zone string, stores []wire.ProcessAddress) []string {
	ordered := slices.Clone(stores)
	rank := func(store *wire.ProcessAddress) uint64 { return xxhash.Sum64String(zone + " " + store.Address) }
	slices.SortFunc(ordered, func(a, b wire.ProcessAddress) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			if a.Zone == zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.Address, b.Address))
	})
	addresses := make([]string, 0, len(ordered))
	for i := range ordered {
		addresses = append(addresses, ordered[i].Address)
	}
	return addresses
}
