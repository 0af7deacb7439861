package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// chain is a sequence of runs of one item at one store. Each run continues where the run before it
// stopped.
type chain struct {
	id uint64
	// startEvent is the number of the event after which the chain started. events is the number of
	// the last event that the chain reported.
	startEvent int
	events     int
	// text is the item's text up to the last event.
	text string
	// recorded is set if the chain continues a text that an earlier build has recorded as the
	// beginning of the result. restarts is set if the chain replaces a saved text.
	recorded bool
	restarts bool
}

// chains simulates the batch runners of leaders. An item has one or two chains. One of them may
// belong to a leader that has lost its lease while records of its runs are still in flight.
type chains struct {
	// random supplies the worker versions of new texts.
	random   *rand.Rand
	mutation Mutation
	lastID   uint64
	running  map[string][]*chain
	// startEvents holds, for every chain ever started, the event after which it started. versions
	// holds the worker version at which it runs, empty for chains of an earlier build.
	startEvents map[uint64]int
	versions    map[uint64]incarnation.Version
	// restarts is the number of chains that replaced a saved text.
	restarts int
}

func newChains(random *rand.Rand, mutation Mutation) *chains {
	return &chains{random: random, mutation: mutation, running: map[string][]*chain{}, startEvents: map[uint64]int{}, versions: map[uint64]incarnation.Version{}}
}

// maxChainsPerItem limits the chains of an item that still send records.
const maxChainsPerItem = 2

// releases are the worker versions that serve from a time on: a release, which is rolled back, and a
// second one, which replaces the first version and brings a third.
var releases = []struct {
	from     time.Duration
	versions []incarnation.Version
}{
	{0, []incarnation.Version{"v1"}},
	{6 * time.Second, []incarnation.Version{"v1", "v1.1"}},
	{12 * time.Second, []incarnation.Version{"v1"}},
	{15 * time.Second, []incarnation.Version{"v1", "v1.1"}},
	{20 * time.Second, []incarnation.Version{"v1.1", "v1.2"}},
	{26 * time.Second, []incarnation.Version{"v1.2"}},
	{28 * time.Second, []incarnation.Version{"v1.1", "v1.2"}},
}

// servingVersions returns the versions that serve at a time since the start.
func servingVersions(at time.Duration) []incarnation.Version {
	var serving []incarnation.Version
	for _, release := range releases {
		if at >= release.from {
			serving = release.versions
		}
	}
	return serving
}

// pick returns the chain that sends the next record of the item. If the item has running chains and
// startNew is not set, that is one of the running chains, selected by choice. Otherwise it is a new
// chain of a leader, which starts at the item's progress in the log if a worker of its version
// serves. A leader of an earlier build doesn't know saved progress.
func (c *chains) pick(item *batchstate.Item, serving []incarnation.Version, earlierBuild, startNew bool, choice int) *chain {
	running := c.running[item.ID]
	if !startNew && len(running) > 0 {
		return running[choice%len(running)]
	}
	c.lastID++
	started := &chain{id: c.lastID, recorded: earlierBuild || item.Recorded.Events > 0}
	version := serving[c.random.IntN(len(serving))]
	switch progress := item.Saved; {
	case started.recorded:
		started.continueFrom(&item.Recorded)
		version = ""
	case progress.Events > 0 && c.mutation == MutationAnyWorkerVersion:
		started.continueFrom(&progress)
	case progress.Events > 0 && slices.Contains(serving, progress.Version):
		started.continueFrom(&progress)
		version = progress.Version
	case progress.Events > 0:
		started.restarts = true
		c.restarts++
	}
	c.startEvents[started.id], c.versions[started.id] = started.startEvent, version
	running = append(running, started)
	c.running[item.ID] = running[max(0, len(running)-maxChainsPerItem):]
	return started
}

func (c *chain) continueFrom(progress *batchstate.Progress) {
	c.startEvent, c.events, c.text = progress.Events, progress.Events, progress.Text
}

// next returns a record of progress with the chain's next event. The chain does not learn whether
// the record is committed.
func (c *chain) next(job string, number int, id string, version incarnation.Version) wire.ItemRecord {
	c.events++
	event := fmt.Sprintf("[%s.%d@%d]", id, c.events, c.id)
	c.text += event
	opens := c.events == c.startEvent+1
	return wire.ItemRecord{
		Job:       job,
		Item:      number,
		From:      c.events - 1,
		Events:    c.events,
		LastEvent: int64(c.events),
		Text:      event,
		Chain:     c.id,
		Opens:     opens,
		Version:   string(version),
		Restarts:  opens && c.restarts,
	}
}

// complete turns a record of progress into the item's result.
func (c *chain) complete(record *wire.ItemRecord) {
	record.State = wire.ItemCompleted
	if !c.recorded {
		record.From, record.Opens, record.Text = 0, true, c.text
	}
}

// textFault describes what is wrong with an item's complete text: an event is missing or repeated,
// the text goes on with an event of another chain that did not start at this event, or it has events
// of two worker versions, none of them from a chain of an earlier build. It returns an empty string
// for a correct text.
func (c *chains) textFault(id, text string) string {
	previous := uint64(0)
	number := 0
	versions := map[incarnation.Version]bool{}
	for _, part := range strings.SplitAfter(text, "]") {
		if part == "" {
			continue
		}
		number++
		var event int
		var chainID uint64
		if _, err := fmt.Sscanf(strings.TrimPrefix(part, "["+id+"."), "%d@%d]", &event, &chainID); err != nil || event != number {
			return fmt.Sprintf("event %d reads %q", number, part)
		}
		if chainID != previous && c.startEvents[chainID] != number-1 {
			return fmt.Sprintf("event %d is of chain %d, which started after event %d", number, chainID, c.startEvents[chainID])
		}
		previous = chainID
		versions[c.versions[chainID]] = true
	}
	if number == 0 {
		return "the text holds no event"
	}
	if len(versions) > 1 && !versions[""] {
		return fmt.Sprintf("it has events of the worker versions %v", versions)
	}
	return ""
}
