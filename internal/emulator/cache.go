package emulator

import (
	"container/list"

	"github.com/sedgemast/sedgemast/internal/engine"
)

// maxCacheEvents bounds the buffered cache events that a reader can fetch. When it is exceeded,
// the older half is dropped.
const maxCacheEvents = 4096

// prefixCache is a least-recently-used set of prompt blocks.
type prefixCache struct {
	capacity     int
	recency      *list.List
	entries      map[uint64]*list.Element
	lastSequence uint64
	events       []engine.CacheEvent
}

func newPrefixCache(capacityBlocks int) *prefixCache {
	return &prefixCache{
		capacity: capacityBlocks,
		recency:  list.New(),
		entries:  map[uint64]*list.Element{},
	}
}

// match returns the number of leading blocks that are cached, and marks them as recently used.
func (c *prefixCache) match(blocks []uint64) int {
	for index, block := range blocks {
		element, found := c.entries[block]
		if !found {
			return index
		}
		c.recency.MoveToFront(element)
	}
	return len(blocks)
}

// insert adds blocks and evicts the least recently used ones if the cache exceeds its capacity.
func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if element, found := c.entries[block]; found {
			c.recency.MoveToFront(element)
			continue
		}
		c.entries[block] = c.recency.PushFront(block)
		c.publish(block, false)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		block := c.recency.Remove(oldest).(uint64)
		delete(c.entries, block)
		c.publish(block, true)
	}
}

func (c *prefixCache) publish(block uint64, evicted bool) {
	c.lastSequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.lastSequence, Block: block, Evicted: evicted})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0:0], c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the buffered events whose sequence number is above the given one.
func (c *prefixCache) eventsAfter(sequence uint64) []engine.CacheEvent {
	var found []engine.CacheEvent
	for _, event := range c.events {
		if event.Sequence > sequence {
			found = append(found, event)
		}
	}
	return found
}
