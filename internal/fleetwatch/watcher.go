// Package fleetwatch keeps a process's copy of the configuration and of the
// fleet, by asking the coordinator's leader again and again. Where no leader can
// be reached the copy stays as it is; it never goes back.
package fleetwatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/coordinator"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// holdTime is how long a call waits for news at the leader, replyTime how
	// much longer for the answer.
	holdTime  = 500 * time.Millisecond
	replyTime = 600 * time.Millisecond
	// retryPause is the time between two failed calls.
	retryPause = 40 * time.Millisecond
)

// Snapshot is a copy of the configuration and the fleet. It does not change.
type Snapshot struct {
	// Table is nil before the first configuration.
	Table *routetable.Table
	Fleet wire.FleetView
	// Heard is when the leader was last heard.
	Heard time.Time
}

// Watcher keeps the newest snapshot.
type Watcher struct {
	logger  logging.Logger
	client  *rpc.Client
	meter   *traffic.Meter
	report  func() wire.ProcessReport
	current atomic.Pointer[Snapshot]
	// leader is the coordinator that answered last, nil before the first answer.
	leader atomic.Pointer[string]
	// reached is set while a leader answers.
	reached bool
	term    uint64
	view    uint64
	book    *quarantine.Book

	mutex     sync.Mutex
	seeds     []string
	listeners []func(*Snapshot)
}

// New returns a watcher; Run runs it. report tells what this process is. The meter,
// which may be nil, counts the calls and is told the zones of what the fleet has.
func New(logger logging.Logger, meter *traffic.Meter, seeds []string, report func() wire.ProcessReport) *Watcher {
	client := rpc.NewClient()
	client.Measure(meter)
	w := &Watcher{logger: logger, meter: meter, client: client, report: report, seeds: seeds, book: quarantine.NewBook()}
	w.current.Store(&Snapshot{})
	return w
}

// Current returns the newest snapshot.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// OnChange adds a function that is called, from one goroutine, with every new
// snapshot. It must be called before Run.
func (w *Watcher) OnChange(listener func(*Snapshot)) { w.listeners = append(w.listeners, listener) }

// SetSeeds replaces the addresses that are asked first.
func (w *Watcher) SetSeeds(seeds []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seeds = seeds
}

// addresses returns whom to ask: the seeds, then the coordinators known.
func (w *Watcher) addresses() []string {
	w.mutex.Lock()
	addresses := append([]string(nil), w.seeds...)
	w.mutex.Unlock()
	for _, address := range w.Current().Fleet.Coordinators {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.Close()
	go w.reportRuns(ctx)
	target, next := "", 0
	for ctx.Err() == nil {
		if target == "" {
			addresses := w.addresses()
			target = addresses[next%len(addresses)]
			next++
		}
		err := w.ask(ctx, target)
		if err == nil {
			w.reachedAt(target)
			continue
		}
		w.lost(target, err)
		target = consensus.LeaderOf(err)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// reachedAt takes in which coordinator answered.
func (w *Watcher) reachedAt(target string) {
	if before := w.leader.Load(); before == nil || *before != target {
		w.leader.Store(&target)
	}
}

func (w *Watcher) lost(target string, err error) {
	if w.reached {
		w.reached = false
		logging.Warn(w.logger, "coordinator_lost", "address", target, "version", w.version(), "error", err)
	}
}

func (w *Watcher) version() uint64 {
	if table := w.Current().Table; table != nil {
		return table.Configuration.Version
	}
	return 0
}

func (w *Watcher) ask(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, holdTime+replyTime)
	defer cancel()
	request := &wire.WatchRequest{
		Process:    w.report(),
		Version:    w.version(),
		View:       w.view,
		Term:       w.term,
		WaitMillis: holdTime.Milliseconds(),
		Quarantine: w.book.Revision(),
	}
	response, err := rpc.Call[wire.WatchResponse](ctx, w.client, target, coordinator.MethodWatch, request)
	if err != nil {
		return err
	}
	if !w.reached {
		w.reached = true
		logging.Info(w.logger, "coordinator_reached", "address", target, "term", response.Term)
	}
	return w.adopt(response)
}

// adopt takes in an answer. An older configuration is never taken in, nor a view
// whose leader has not read the list of workers yet in place of one that has.
func (w *Watcher) adopt(response *wire.WatchResponse) error {
	before := w.Current()
	after := *before
	after.Heard = clock.Now()
	changed := false
	if response.Document != nil && response.Version > w.version() {
		configuration, err := routetable.Decode(response.Document)
		if err != nil {
			return err
		}
		after.Table = routetable.NewTable(configuration)
		changed = true
		logging.Info(w.logger, "configuration_in_force", "version", response.Version, "before", w.version())
	}
	if fleet := response.Fleet; fleet != nil {
		w.term, w.view = response.Term, response.View
		after.Fleet = fleet.Upon(&before.Fleet)
		changed = true
		w.meter.SetZones(zonesOf(&after.Fleet))
		logging.Info(w.logger, "fleet_view", "term", response.Term, "view", response.View, "workers", len(after.Fleet.Workers), "stores", len(after.Fleet.Stores), "edges", after.Fleet.Edges)
	}
	if response.Quarantine != nil {
		w.book.Learn(response.Quarantine)
	}
	w.current.Store(&after)
	if changed {
		for _, listener := range w.listeners {
			listener(&after)
		}
	}
	return nil
}

// zonesOf returns the zones of stores and workers by their addresses.
func zonesOf(fleet *wire.FleetView) map[string]string {
	zones := make(map[string]string, len(fleet.Stores)+len(fleet.Workers))
	for i := range fleet.Stores {
		zones[fleet.Stores[i].Address] = fleet.Stores[i].Zone
	}
	for i := range fleet.Workers {
		zones[fleet.Workers[i].Address] = fleet.Workers[i].Zone
	}
	return zones
}
