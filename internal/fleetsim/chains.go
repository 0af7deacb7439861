package fleetsim

import (
	"fmt"
	"strings"

	"github.com/sedgemast/sedgemast/internal/batchstate"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// chain is a series of runs of one item, one after another in one place.
type chain struct {
	id uint64
	// began is the event after which it was asked to go on, events how far it
	// has come.
	began  int
	events int
}

// chains plays the runners of leaders: each item has a chain or two, of which one
// may be that of a leader that has lost its lease and still has news on their way.
type chains struct {
	last    uint64
	running map[string][]*chain
	// begun holds, for every chain ever, the event after which it began.
	begun map[uint64]int
}

func newChains() *chains {
	return &chains{running: map[string][]*chain{}, begun: map[uint64]int{}}
}

// maxChains bounds the chains of an item that have news on their way.
const maxChains = 2

// pick returns the chain that has the next news of the item: one that goes on, or,
// where begin is set, one that begins at what the log has.
func (c *chains) pick(item *batchstate.Item, begin bool, choose int) *chain {
	running := c.running[item.ID]
	if !begin && len(running) > 0 {
		return running[choose%len(running)]
	}
	c.last++
	started := &chain{id: c.last, began: item.Events, events: item.Events}
	c.begun[started.id] = item.Events
	running = append(running, started)
	c.running[item.ID] = running[max(0, len(running)-maxChains):]
	return started
}

// next returns the chain's next event as news of the item. What becomes of it the
// chain does not know.
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
		Opens:     c.events == c.began+1,
	}
}

// fault returns what is wrong with an item's whole text: an event that is missing
// or stands twice, or one of a chain that was not asked to go on there. It is empty
// for a text as it should be.
func (c *chains) fault(id, text string) string {
	previous := uint64(0)
	number := 0
	for _, part := range strings.SplitAfter(text, "]") {
		if part == "" {
			continue
		}
		number++
		var event int
		var from uint64
		if _, err := fmt.Sscanf(strings.TrimPrefix(part, "["+id+"."), "%d@%d]", &event, &from); err != nil || event != number {
			return fmt.Sprintf("event %d is %q", number, part)
		}
		if from != previous && c.begun[from] != number-1 {
			return fmt.Sprintf("event %d is of chain %d, which began after event %d", number, from, c.begun[from])
		}
		previous = from
	}
	if number == 0 {
		return "there is no event"
	}
	return ""
}
