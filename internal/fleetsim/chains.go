package fleetsim

import (
	"fmt"
	"strings"

	"github.com/sedgemast/sedgemast/internal/batchstate"
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
}

// chains simulates the batch runners of leaders. An item has one or two chains. One of them may
// belong to a leader that has lost its lease while records of its runs are still in flight.
type chains struct {
	lastID  uint64
	running map[string][]*chain
	// startEvents holds, for every chain ever started, the event after which it started.
	startEvents map[uint64]int
}

func newChains() *chains {
	return &chains{running: map[string][]*chain{}, startEvents: map[uint64]int{}}
}

// maxChainsPerItem limits the chains of an item that still send records.
const maxChainsPerItem = 2

// pick returns the chain that sends the next record of the item. If the item has running chains and
// startNew is not set, that is one of the running chains, selected by choice. Otherwise it is a new
// chain, which starts at the item's progress in the log.
func (c *chains) pick(item *batchstate.Item, startNew bool, choice int) *chain {
	running := c.running[item.ID]
	if !startNew && len(running) > 0 {
		return running[choice%len(running)]
	}
	c.lastID++
	started := &chain{id: c.lastID, startEvent: item.Events, events: item.Events}
	c.startEvents[started.id] = item.Events
	running = append(running, started)
	c.running[item.ID] = running[max(0, len(running)-maxChainsPerItem):]
	return started
}

// next returns a record of the item with the chain's next event. The chain does not learn whether
// the record is committed.
func (c *chain) next(job string, number int, id string) wire.ItemRecord {
	c.events++
	return wire.ItemRecord{
		Job:       job,
		Item:      number,
		From:      c.events - 1,
		Events:    c.events,
		LastEvent: int64(c.events),
		Text:      fmt.Sprintf("[%s.%d@%d]", id, c.events, c.id),
		Chain:     c.id,
		Opens:     c.events == c.startEvent+1,
	}
}

// textFault describes what is wrong with an item's complete text: an event is missing or repeated,
// or the text goes on with an event of another chain that did not start at this event. It returns
// an empty string for a correct text.
func (c *chains) textFault(id, text string) string {
	previous := uint64(0)
	number := 0
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
	}
	if number == 0 {
		return "the text holds no event"
	}
	return ""
}
