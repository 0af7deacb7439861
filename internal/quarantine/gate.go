package quarantine

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Gate keeps quarantine commands out of the log while some replica runs an older build that
// would skip them: the state of a replica must depend on the log alone, never on its build. Once
// every replica can execute the commands, and at the start of each term, the leader restates the
// whole table, so that replicas that skipped commands converge. The zero Gate is open. Gate
// performs no I/O and is not safe for concurrent use.
type Gate struct {
	olderProcess string
	restateDue   bool
}

// unresponsiveLimit is how long a process must be unresponsive before it no longer keeps the gate
// closed. Without this limit, a machine that was removed while it ran the older build would close
// the gate forever. If such a machine returns, the restated table makes up for the commands that it
// skipped.
const unresponsiveLimit = 20 * time.Second

// ApplyProcesses updates the gate from the processes that hold replicas, unresponsive ones
// included, and reports whether the gate opened or closed.
func (g *Gate) ApplyProcesses(processes []wire.Process) bool {
	before := g.olderProcess
	g.olderProcess = ""
	for i := range processes {
		process := &processes[i]
		if process.Hello.Generation() >= wire.GenerationCurrent {
			continue
		}
		g.restateDue = true
		if process.SilentMillis < unresponsiveLimit.Milliseconds() {
			g.olderProcess = process.Hello.Replica.Address
		}
	}
	return (g.olderProcess == "") != (before == "")
}

// StartTerm marks the table to be restated when this process becomes the leader, unless the
// table has never changed.
func (g *Gate) StartTerm(t *Table) { g.restateDue = g.restateDue || t.Revision() > 0 }

// OlderProcess returns the address of a process whose build would skip quarantine commands,
// empty if there is none.
func (g *Gate) OlderProcess() string { return g.olderProcess }

// Err returns why no quarantine command may be written now, or nil if the gate is open.
func (g *Gate) Err() error {
	if g.olderProcess == "" {
		return nil
	}
	return failure.New(failure.NotRun, "replace the coordinators of the older build", "%s, of an older build, would pass over what is known of requests under which workers ended", g.olderProcess)
}

// Command returns the command to write now, nil for none. While the gate is closed it returns nil.
// Otherwise it returns a restatement if the table must be restated, or else due, the command that
// the timers made.
func (g *Gate) Command(due *wire.QuarantineCommand, t *Table) *wire.QuarantineCommand {
	switch {
	case g.olderProcess != "":
		return nil
	case g.restateDue:
		return &wire.QuarantineCommand{Restated: t.State()}
	}
	return due
}

// RecordRestatement records that the table has been restated.
func (g *Gate) RecordRestatement() { g.restateDue = false }
