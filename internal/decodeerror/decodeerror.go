// Package decodeerror counts and logs messages from other processes that this process can't decode.
// A build that can't decode all messages of its peers must not ignore this silently: half of a
// fleet might run on outdated state meanwhile.
package decodeerror

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// logInterval is the shortest time between two log lines for one kind of message. A process that
// can't decode a response polls again at once, so each failure would be logged.
const logInterval = 10 * time.Second

// Messages counts undecodable messages by kind and by generation of the sender. Each process
// registers it.
var Messages = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "peer_unread_total", Help: "Messages of other processes that could not be read, by kind and the generation of the other's build."}, []string{"kind", "generation"})

// logState holds, for each kind, when it may be logged again and how many messages were not logged
// yet.
var logState = struct {
	mutex    sync.Mutex
	logger   logging.Logger
	nextLog  map[string]time.Time
	unlogged map[string]int
}{logger: logging.Discard(), nextLog: map[string]time.Time{}, unlogged: map[string]int{}}

// SetLogger sets the logger for all of this process.
func SetLogger(logger logging.Logger) {
	logState.mutex.Lock()
	defer logState.mutex.Unlock()
	logState.logger = logger
}

// Record counts a message of a kind (a method, or the kind of a datagram) that could not be
// decoded, and logs it at most once per logInterval. from is the address of the sender. It is safe
// for concurrent use.
func Record(kind, from string, generation wire.Generation, cause error) {
	Messages.WithLabelValues(kind, strconv.Itoa(int(generation))).Inc()
	logState.mutex.Lock()
	defer logState.mutex.Unlock()
	logState.unlogged[kind]++
	now := time.Now()
	if now.Before(logState.nextLog[kind]) {
		return
	}
	logState.nextLog[kind] = now.Add(logInterval)
	logging.Warn(logState.logger, "message_unread", "kind", kind, "from", from, "generation", int(generation), "own_generation", int(wire.GenerationCurrent), "messages", logState.unlogged[kind], "error", cause)
	logState.unlogged[kind] = 0
}
