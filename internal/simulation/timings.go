package simulation

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// timings measures how long the fleet takes to recover from failures and to apply changes of the
// configuration.
type timings struct {
	// LeaderFailover holds the times from a leader's failure to the first entry of a later term
	// that a replica applies.
	LeaderFailover []time.Duration
	// WorkerReassignment holds, for each worker of a failed dispatcher, the time from the failure
	// until a dispatcher claims the worker again.
	WorkerReassignment []time.Duration
	// InForce holds the times from a change's commit until it is in force at every daemon that
	// serves, for changes during which no fault was active.
	InForce []time.Duration

	leaderless     map[int]leaderLoss
	orphans        map[string]time.Time
	pending        []*pendingRevision
	servingDaemons func() []string
	faulty         func() bool
	// InForceUnderFault holds the times that InForce leaves out: those of changes during which a
	// fault was active.
	InForceUnderFault []time.Duration
	lastRevision      uint64
	revisionOf        map[string]uint64
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

func (t *timings) entryApplied(now time.Time, group int, entry *wire.LogEntry) {
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

func (t *timings) workerOrphaned(now time.Time, worker string) {
	if t.orphans == nil {
		t.orphans = map[string]time.Time{}
	}
	t.orphans[worker] = now
}

func (t *timings) workerClaimed(now time.Time, worker string) {
	if since, orphan := t.orphans[worker]; orphan {
		delete(t.orphans, worker)
		t.WorkerReassignment = append(t.WorkerReassignment, now.Sub(since))
	}
}

func (t *timings) inForce(now time.Time, daemon string, revision uint64) {
	if t.revisionOf == nil {
		t.revisionOf = map[string]uint64{}
	}
	t.revisionOf[daemon] = revision
	t.checkPending(now)
}

// checkPending records the pending changes that are now in force at every daemon that serves.
func (t *timings) checkPending(now time.Time) {
	var stillPending []*pendingRevision
	for _, change := range t.pending {
		change.faulty = change.faulty || t.faulty()
		if !t.inForceEverywhere(change.revision) {
			stillPending = append(stillPending, change)
			continue
		}
		if change.faulty {
			t.InForceUnderFault = append(t.InForceUnderFault, now.Sub(change.at))
		} else {
			t.InForce = append(t.InForce, now.Sub(change.at))
		}
	}
	t.pending = stillPending
}

func (t *timings) inForceEverywhere(revision uint64) bool {
	for _, name := range t.servingDaemons() {
		if t.revisionOf[name] < revision {
			return false
		}
	}
	return true
}
