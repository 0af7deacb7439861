package coordinator

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// maxNews bounds the answers that are kept encoded: callers differ in what they know,
// most of them by the last change only.
const maxNews = 16

// newsKey tells answers to watches apart: where the caller stands, and where it gets to.
type newsKey struct {
	fromVersion, version uint64
	fromTerm, term       uint64
	fromView, view       uint64
	// fromQuarantine and quarantine are revisions of what is known of refused requests.
	fromQuarantine, quarantine uint64
	// digests is the hash of those that the caller sent, zero for none.
	digests uint64
	// ageMillis is how old the news are.
	ageMillis int64
	// generation is that of the caller's build.
	generation wire.Generation
}

// newsCache keeps answers encoded. A change goes to all processes of the fleet at the
// same moment, nearly always from the same state. It is safe for concurrent use.
type newsCache struct {
	mutex   sync.Mutex
	encoded map[newsKey]*rpc.Encoded
}

// encode returns the answer to the request, encoded once for all callers who know and
// get the same.
func (c *newsCache) encode(request *wire.WatchRequest, response *wire.WatchResponse) (msgp.Marshaler, error) {
	if response.Document == nil && response.Fleet == nil && response.Quarantine == nil {
		return response, nil
	}
	key := newsKey{
		fromVersion: request.Version, version: response.Version,
		fromTerm: request.Term, term: response.Term,
		fromView: request.View, view: response.View,
		ageMillis:  response.AgeMillis,
		generation: request.Generation(),
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
	if c.encoded == nil || len(c.encoded) >= maxNews {
		c.encoded = map[newsKey]*rpc.Encoded{}
	}
	c.encoded[key] = encoded
	return encoded, nil
}
