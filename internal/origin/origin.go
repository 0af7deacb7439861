// Package origin remembers at which pool and worker version streams began, so that any process can
// continue a stream only where its text fits. The package does no I/O and takes its time from the
// caller.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/tenancy"
)

// Origin is where a stream began. The zero Origin is unknown.
type Origin struct {
	Pool    string
	Version incarnation.Version
}

// Known reports whether a worker can be shown to fit the origin.
func (o Origin) Known() bool { return o.Pool != "" && o.Version != "" }

// Key identifies a stream by its tenant and the id of the request that brought its first event.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(owner tenancy.Name, requestID string) Key {
	return Key(xxhash.Sum64String(string(owner) + "\x00" + requestID))
}

// maxEntries bounds the origins that a Registry holds, at about 100 bytes each.
const maxEntries = 1 << 17

// Registry holds the origins of streams for as long as their callers may take them up. It is not
// safe for concurrent use.
type Registry struct {
	entries map[Key]entry
	// order holds the keys in the order of their first Put, from the index first on.
	order []Key
	first int
	// interned holds one copy of each origin, since few origins are shared by many streams.
	interned map[Origin]Origin
}

// entry is the origin of a stream and when it may be dropped.
type entry struct {
	origin Origin
	until  time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[Key]entry{}, interned: map[Origin]Origin{}}
}

// Put stores the origin of a stream for at least the given time, unless the registry is full: then
// the oldest streams make room. Two different origins under one key make it unknown.
func (r *Registry) Put(now time.Time, key Key, origin Origin, keep time.Duration) {
	r.expire(now)
	before, found := r.entries[key]
	if found && before.origin != origin {
		origin = Origin{}
	}
	if !found {
		r.order = append(r.order, key)
	}
	until := now.Add(keep)
	if before.until.After(until) {
		until = before.until
	}
	r.entries[key] = entry{r.intern(origin), until}
}

// Get returns the origin of a stream, and whether the registry holds one.
func (r *Registry) Get(now time.Time, key Key) (Origin, bool) {
	found, held := r.entries[key]
	if !held || now.After(found.until) || !found.origin.Known() {
		return Origin{}, false
	}
	return found.origin, true
}

// Each calls visit with each known origin and for how long it is still to be kept.
func (r *Registry) Each(now time.Time, visit func(key Key, origin Origin, keep time.Duration)) {
	for key, held := range r.entries {
		if held.origin.Known() && !now.After(held.until) {
			visit(key, held.origin, held.until.Sub(now))
		}
	}
}

// Len returns the number of origins held.
func (r *Registry) Len() int { return len(r.entries) }

func (r *Registry) intern(origin Origin) Origin {
	if shared, found := r.interned[origin]; found {
		return shared
	}
	r.interned[origin] = origin
	return origin
}

// expire drops the oldest streams while their time has passed or the registry is full. A stream
// whose time has passed stays while an older one has to be kept.
func (r *Registry) expire(now time.Time) {
	for r.first < len(r.order) {
		key := r.order[r.first]
		if len(r.entries) < maxEntries && !now.After(r.entries[key].until) {
			break
		}
		delete(r.entries, key)
		r.first++
	}
	if r.first > len(r.order)/2 {
		r.order = append([]Key(nil), r.order[r.first:]...)
		r.first = 0
	}
	if len(r.entries) == 0 {
		clear(r.interned)
	}
}
