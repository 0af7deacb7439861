package simulation

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// timings measures how long the fleet takes to get over a failure.
type timings struct {
	// LeaderFailover holds the times from a leader's failure to the first entry
	// that its successor has committed.
	LeaderFailover []time.Duration
	// WorkerReassignment holds the times from a dispatcher's death until each of its
	// workers is owned again.
	WorkerReassignment []time.Duration
	// InForce holds the times from a change's commit until it is in force at
	// every living daemon; with faults and without.
	InForce []time.Duration

	leaderless map[int]leaderLoss
	orphans    map[string]time.Time
	pending    []*pendingRevision
	living     func() []string
	faulty     func() bool
	// InForceUnderFault are those of InForce during which a fault was on.
	InForceUnderFault []time.Duration
	lastRevision      uint64
	reached           map[string]uint64
}

type leaderLoss struct {
	at   time.Time
	term uint64
}

// pendingRevision is a committed change that is not in force everywhere yet.
type pendingRevision struct {
	revision uint64
	at       time.Time
	faulty   bool
}

func (t *timings) leaderLost(now time.Time, group int, term uint64) {
	if t.leaderless == nil {
		t.leaderless = map[int]leaderLoss{}
	}
	if _, already := t.leaderless[group]; !already {
		t.leaderless[group] = leaderLoss{now, term}
	}
}

func (t *timings) committed(now time.Time, group int, entry *wire.LogEntry) {
	if loss, lost := t.leaderless[group]; lost && entry.Term > loss.term {
		delete(t.leaderless, group)
		t.LeaderFailover = append(t.LeaderFailover, now.Sub(loss.at))
	}
	if group != controlclient.MetaGroup || entry.Kind != wire.EntryCommand {
		return
	}
	var command wire.MetaCommand
	if _, err := command.UnmarshalMsg(entry.Data); err != nil || command.Apply == nil {
		return
	}
	if command.Apply.ExpectedRevision == t.lastRevision {
		t.lastRevision++
		t.pending = append(t.pending, &pendingRevision{revision: t.lastRevision, at: now, faulty: t.faulty()})
	}
}

func (t *timings) orphaned(now time.Time, worker string) {
	if t.orphans == nil {
		t.orphans = map[string]time.Time{}
	}
	t.orphans[worker] = now
}

func (t *timings) owned(now time.Time, worker string) {
	if since, orphan := t.orphans[worker]; orphan {
		delete(t.orphans, worker)
		t.WorkerReassignment = append(t.WorkerReassignment, now.Sub(since))
	}
}

func (t *timings) inForce(now time.Time, daemon string, revision uint64) {
	if t.reached == nil {
		t.reached = map[string]uint64{}
	}
	t.reached[daemon] = revision
	t.check(now)
}

// check ends the changes that are in force at every daemon that serves.
func (t *timings) check(now time.Time) {
	var waiting []*pendingRevision
	for _, change := range t.pending {
		change.faulty = change.faulty || t.faulty()
		if !t.everywhere(change.revision) {
			waiting = append(waiting, change)
			continue
		}
		if change.faulty {
			t.InForceUnderFault = append(t.InForceUnderFault, now.Sub(change.at))
		} else {
			t.InForce = append(t.InForce, now.Sub(change.at))
		}
	}
	t.pending = waiting
}

func (t *timings) everywhere(revision uint64) bool {
	for _, name := range t.living() {
		if t.reached[name] < revision {
			return false
		}
	}
	return true
}
