package emulator

import (
	"container/list"

	"github.com/sedgemast/sedgemast/internal/engine"
)

// maxKeptEvents bounds the cache events that readers can still ask for.
const maxKeptEvents = 4096

// prefixCache is a least-recently-used set of prompt blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	entries  map[uint64]*list.Element
	sequence uint64
	events   []engine.CacheEvent
}

func newPrefixCache(capacityBlocks int) *prefixCache {
	return &prefixCache{
		capacity: capacityBlocks,
		order:    list.New(),
		entries:  map[uint64]*list.Element{},
	}
}

// match returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for index, block := range blocks {
		element, found := c.entries[block]
		if !found {
			return index
		}
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// insert adds blocks and evicts the least recently used beyond the capacity.
func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if element, found := c.entries[block]; found {
			c.order.MoveToFront(element)
			continue
		}
		c.entries[block] = c.order.PushFront(block)
		c.publish(block, false)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		block := c.order.Remove(oldest).(uint64)
		delete(c.entries, block)
		c.publish(block, true)
	}
}

func (c *prefixCache) publish(block uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Block: block, Evicted: evicted})
	if len(c.events) > maxKeptEvents {
		c.events = append(c.events[:0:0], c.events[len(c.events)-maxKeptEvents/2:]...)
	}
}

// after returns the kept events with a sequence above the one given.
func (c *prefixCache) after(sequence uint64) []engine.CacheEvent {
	var found []engine.CacheEvent
	for _, event := range c.events {
		if event.Sequence > sequence {
			found = append(found, event)
		}
	}
	return found
}
