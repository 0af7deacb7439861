// Package unread counts what other processes sent and this one could not read, and writes
// a line of it now and then. A build that reads less than its peers write must not pass
// over that in silence: half of a fleet may live on old news meanwhile.
package decodeerror

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// lineInterval is the shortest time between two lines on messages of one kind; a process
// that can't read one asks again at once.
const lineInterval = 10 * time.Second

// Messages counts by kind of message and generation of its writer. Each process registers it.
var Messages = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peer_unread_total", Help: "Messages of other processes that could not be read, by kind and the generation of the other's build."}, []string{"kind", "generation"})

// book holds when a line on each kind is due again, and who writes it.
var book = struct {
	mutex  sync.Mutex
	logger logging.Logger
	due    map[string]time.Time
	since  map[string]int
}{logger: logging.Discard(), due: map[string]time.Time{}, since: map[string]int{}}

// SetLogger names who writes the lines: one logger for all that runs in this process.
func SetLogger(logger logging.Logger) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.logger = logger
}

// Record takes in that a message of a kind (a method, or that of a datagram) could not be
// read. from is the address that it came from. It may be called from any goroutine.
func Record(kind, from string, generation wire.Generation, cause error) {
	Messages.WithLabelValues(kind, strconv.Itoa(int(generation))).Inc()
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.since[kind]++
	now := time.Now()
	if now.Before(book.due[kind]) {
		return
	}
	book.due[kind] = now.Add(lineInterval)
	logging.Warn(book.logger, "message_unread", "kind", kind, "from", from, "generation", int(generation), "own_generation", int(wire.GenerationCurrent), "messages", book.since[kind], "error", cause)
	book.since[kind] = 0
}
