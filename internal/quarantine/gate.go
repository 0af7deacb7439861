package quarantine

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// Gate keeps commands of the quarantine out of the log while a replica would pass over
// them: what a replica executes must depend on the log alone, never on its build. Once all
// can read them, and at the begin of a term, what is known is restated, so that replicas
// that passed over something have the same again. The zero Gate is open. It is pure, and
// not safe for concurrent use.
type Gate struct {
	older   string
	restate bool
}

// goneAfter is how long a process must have been silent to keep the gate closed no longer:
// a machine that was taken away on the older build would close it for good. If it comes
// back, what it passed over is restated.
const goneAfter = 20 * time.Second

// ApplyProcesses takes in the processes that hold replicas, also those that are silent, and reports
// whether that opened or closed the gate.
func (g *Gate) ApplyProcesses(processes []wire.Process) bool {
	before := g.older
	g.older = ""
	for i := range processes {
		process := &processes[i]
		if process.Hello.Generation() >= wire.GenerationCurrent {
			continue
		}
		g.restate = true
		if process.SilentMillis < goneAfter.Milliseconds() {
			g.older = process.Hello.Replica.Address
		}
	}
	return (g.older == "") != (before == "")
}

// StartTerm takes in that this process begins to lead with the table.
func (g *Gate) StartTerm(t *Table) { g.restate = g.restate || t.Revision() > 0 }

// OlderProcess returns the address of a process whose build would pass over commands, empty for none.
func (g *Gate) OlderProcess() string { return g.older }

// Err returns why no command may be written now, or nil.
func (g *Gate) Err() error {
	if g.older == "" {
		return nil
	}
	return failure.New(failure.NotRun, "replace the coordinators of the older build", "%s, of an older build, would pass over what is known of requests under which workers ended", g.older)
}

// Command returns the command that is due, nil for none: what is known is restated, or
// what follows from the time that has passed is carried out.
func (g *Gate) Command(due *wire.QuarantineCommand, t *Table) *wire.QuarantineCommand {
	switch {
	case g.older != "":
		return nil
	case g.restate:
		return &wire.QuarantineCommand{Restated: t.State()}
	}
	return due
}

// RecordRestatement takes in that what is known has been restated.
func (g *Gate) RecordRestatement() { g.restate = false }
