package edge

import (
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/origin"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// streamOrigins holds the origins of the streams that this process passed on. It is safe for
// concurrent use.
type streamOrigins struct {
	mutex    sync.Mutex
	registry *origin.Registry
}

func newStreamOrigins() *streamOrigins { return &streamOrigins{registry: origin.NewRegistry()} }

func (o *streamOrigins) put(key origin.Key, began origin.Origin, keep time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.registry.Put(clock.Now(), key, began, keep)
}

// rows returns all origins as sent to hubs.
func (o *streamOrigins) rows() []wire.StreamOrigin {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var rows []wire.StreamOrigin
	o.registry.Each(clock.Now(), func(key origin.Key, began origin.Origin, keep time.Duration) {
		rows = append(rows, originRow(key, began, keep))
	})
	return rows
}

func originRow(key origin.Key, began origin.Origin, keep time.Duration) wire.StreamOrigin {
	return wire.StreamOrigin{Stream: uint64(key), Pool: began.Pool, Version: string(began.Version), KeepMillis: uint32(keep.Milliseconds())}
}

func (o *streamOrigins) get(key origin.Key) (origin.Origin, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.registry.Get(clock.Now(), key)
}
