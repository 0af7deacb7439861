package coordinator

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxCachedUpdates bounds the cached encoded updates. Callers know different states, but most
// lack only the last change.
const maxCachedUpdates = 16

// updateKey identifies an update by the state that the caller knows and the state that it gets.
type updateKey struct {
	fromVersion, version uint64
	fromTerm, term       uint64
	fromView, view       uint64
	// fromQuarantine and quarantine are revisions of the quarantine.
	fromQuarantine, quarantine uint64
	// digests is the hash of the digests that the caller sent, zero for none.
	digests uint64
	// ageMillis is the time since the leader was last heard from.
	ageMillis int64
	// listDigest and listAgeMillis are the digest and the age of the list of workers.
	listDigest    uint64
	listAgeMillis int64
	// listed is set if the caller has a whole list of workers.
	listed bool
	// generation is the generation of the caller's build.
	generation wire.Generation
}

// updateCache caches encoded updates. A change is sent to all processes of the fleet at the same
// moment, and nearly all of them know the same earlier state. It is safe for concurrent use.
type updateCache struct {
	mutex   sync.Mutex
	encoded map[updateKey]*rpc.Encoded
}

// encode returns the response to the request. Responses with an update are encoded once for all
// callers that know the same state and get the same new state.
func (c *updateCache) encode(request *wire.WatchRequest, response *wire.WatchResponse) (msgp.Marshaler, error) {
	if response.Document == nil && response.Fleet == nil && response.Quarantine == nil {
		return response, nil
	}
	key := updateKey{
		fromVersion: request.Version, version: response.Version,
		fromTerm: request.Term, term: response.Term,
		fromView: request.View, view: response.View,
		ageMillis:  response.AgeMillis,
		generation: request.Generation(),

		listed:        request.Listed,
		listDigest:    response.ListDigest,
		listAgeMillis: response.ListAgeMillis,
	}
	if len(request.Digests) > 0 || request.Lost {
		key.digests = xxhash.Sum64(request.Digests)
	}
	if response.Quarantine != nil {
		key.fromQuarantine, key.quarantine = request.Quarantine, response.Quarantine.Revision
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known := c.encoded[key]; known != nil {
		return known, nil
	}
	encoded, err := rpc.Encode(response)
	if err != nil {
		return nil, err
	}
	if c.encoded == nil || len(c.encoded) >= maxCachedUpdates {
		c.encoded = map[updateKey]*rpc.Encoded{}
	}
	c.encoded[key] = encoded
	return encoded, nil
}
