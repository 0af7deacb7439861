// Package fleetwatch keeps a process's copy of the configuration and of the fleet, by
// asking a coordinator again and again: the leader, or a relay of it where that will do.
// Where none can be reached the copy stays as it is; it never goes back.
package fleetwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
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
	// Table is nil before the first configuration, Document the form in which it came.
	Table    *routetable.Table
	Document []byte
	// Fleet is the leader's view without the workers, of the number View in the term Term.
	Fleet wire.FleetView
	Term  uint64
	View  uint64
	// Workers is the list of workers.
	Workers *workerset.Set
	// LeaderSeenAt is when the leader was last heard, by this process or by its relay.
	LeaderSeenAt time.Time
}

// Version is the version of the configuration, zero before the first one.
func (s *Snapshot) Version() uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Configuration.Version
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
	// reached is set while a leader or a relay answers.
	reached bool
	targets targets
	// told is the coordinator that told the view. lost counts answers in a row after which
	// the list of workers was another one than it should be.
	told string
	lost int
	book *quarantine.Cache

	mutex     sync.Mutex
	seeds     []string
	listeners []func(*Snapshot)
}

// New returns a watcher; Run runs it. report tells what this process is. The meter,
// which may be nil, counts the calls and is told the zones of what the fleet has.
func New(logger logging.Logger, meter *traffic.Meter, seeds []string, report func() wire.ProcessReport) *Watcher {
	client := rpc.NewClientWithDialTimeout(rpc.ShortDial)
	client.SetMeter(meter)
	w := &Watcher{logger: logger, meter: meter, client: client, report: report, seeds: seeds, book: quarantine.NewCache()}
	w.current.Store(&Snapshot{})
	return w
}

// UseRelays lets relays answer: a process of that name and zone asks those of its zone
// first. It must be called before Run.
func (w *Watcher) UseRelays(name, zone string) {
	w.targets = targets{name: name, zone: zone, relays: true}
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

// Run asks until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.Close()
	go w.reportRuns(ctx)
	for ctx.Err() == nil {
		target := w.targets.pick(clock.Now(), w.addresses(), w.Current().Fleet.Relays)
		err := w.ask(ctx, target)
		if err == nil {
			w.targets.answered(target)
			w.reachedAt(target)
			continue
		}
		w.targets.failed(clock.Now(), target, consensus.LeaderFromError(err))
		w.missed(target, err)
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

func (w *Watcher) missed(target string, err error) {
	if w.reached {
		w.reached = false
		logging.Warn(w.logger, "coordinator_lost", "address", target, "version", w.Current().Version(), "error", err)
	}
}

// patience returns for how long an answer may wait for news at a process that heard the
// last one so long ago. One that was cut off, or stood still, wants to know at once that
// what it has is right.
func patience(silent time.Duration) time.Duration {
	if silent > holdTime+replyTime {
		return 0
	}
	return holdTime
}

func (w *Watcher) ask(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, holdTime+replyTime)
	defer cancel()
	known := w.Current()
	request := &wire.WatchRequest{
		Process:    w.report(),
		Version:    known.Version(),
		View:       known.View,
		Term:       known.Term,
		WaitMillis: patience(clock.Since(known.LeaderSeenAt)).Milliseconds(),
		Quarantine: w.book.Revision(),
		Lost:       w.lost > 0,
	}
	if w.lost == 1 || w.lost == 0 && target != w.told {
		// Where digests have not helped, two of them are alike by chance: all is told then.
		request.Digests = known.Workers.Digests()
	}
	response, err := rpc.Call[wire.WatchResponse](ctx, w.client, target, wire.MethodWatch, request)
	if err != nil {
		return err
	}
	if !w.reached {
		w.reached = true
		logging.Info(w.logger, "coordinator_reached", "address", target, "term", response.Term)
	}
	return w.adopt(target, response)
}

// adopt takes in an answer. An older configuration is never taken in, nor an older view,
// nor a view whose leader has not read the list of workers yet in place of one that has.
func (w *Watcher) adopt(target string, response *wire.WatchResponse) error {
	before := w.Current()
	after := *before
	after.LeaderSeenAt = clock.Now().Add(-time.Duration(response.AgeMillis) * time.Millisecond)
	changed := false
	if response.Document != nil && response.Version > before.Version() {
		configuration, err := routetable.Decode(response.Document)
		if err != nil {
			return err
		}
		after.Table, after.Document = routetable.NewTable(configuration), response.Document
		changed = true
		logging.Info(w.logger, "configuration_in_force", "version", response.Version, "before", before.Version(), "from", target, "age_ms", response.AgeMillis)
	}
	if response.Fleet != nil {
		if older := response.Term < before.Term || response.Term == before.Term && response.View < before.View; older {
			return failure.New(failure.NotRun, "ask another coordinator", "%s tells of view %d in term %d, view %d in term %d is known", target, response.View, response.Term, before.View, before.Term)
		}
		changed = w.adoptFleet(target, response, before, &after) || changed
	}
	if response.Quarantine != nil {
		w.book.Apply(response.Quarantine)
		changed = changed || response.Quarantine.Urgent()
	}
	w.current.Store(&after)
	if changed {
		for _, listener := range w.listeners {
			listener(&after)
		}
	}
	return nil
}

// adoptFleet takes in what differs of the fleet, and reports whether it did. Where the list
// of workers comes out as another one than was told, nothing is taken in, so that no relay
// passes it on; the next question says so.
func (w *Watcher) adoptFleet(target string, response *wire.WatchResponse, before, after *Snapshot) bool {
	fleet := response.Fleet
	rows, gone := 0, 0
	w.told = target
	switch news := workerNews(fleet); {
	case news == nil:
	case fleet.Partial && before.Fleet.Listed:
		// A list of which the leader has read a part only says nothing of the rest. What
		// is known here is compared, by digests, once it has read all.
		w.told = ""
	default:
		rows, gone = len(news.Rows), len(news.Gone)
		after.Workers = before.Workers.Apply(news)
		if after.Workers.Digest() != news.Digest {
			logging.Warn(w.logger, "worker_list_differs", "from", target, "term", response.Term, "view", response.View, "workers", after.Workers.Len())
			after.Workers = before.Workers
			w.lost++
			return false
		}
	}
	w.lost = 0
	after.Fleet = fleet.Upon(&before.Fleet)
	after.Term, after.View = response.Term, response.View
	w.setZones(before, after)
	logging.Info(w.logger, "fleet_view", "from", target, "term", response.Term, "view", response.View, "workers", after.Workers.Len(), "rows", rows, "gone", gone, "stores", len(after.Fleet.Stores), "edges", after.Fleet.Edges, "age_ms", response.AgeMillis)
	return true
}

// workerNews returns what is told of the list of workers, nil for nothing. A leader of
// wire.GenerationFirst tells it whole; read as nothing, it would leave this process without
// configuration and workers until a leader of its own generation comes.
func workerNews(fleet *wire.FleetView) *wire.WorkerNews {
	if fleet.News != nil || !fleet.Listed || fleet.SameWorkers {
		return fleet.News
	}
	return workerset.Of(fleet.Workers).FullUpdate()
}

// setZones tells the meter the zones of stores and workers by their addresses.
func (w *Watcher) setZones(before, after *Snapshot) {
	zones := make(map[string]string, len(after.Fleet.Stores))
	for i := range after.Fleet.Stores {
		zones[after.Fleet.Stores[i].Address] = after.Fleet.Stores[i].Zone
	}
	for i := range after.Fleet.Relays {
		zones[after.Fleet.Relays[i].Address] = after.Fleet.Relays[i].Zone
	}
	after.Workers.Diff(before.Workers, func(row *wire.PoolWorker) { zones[row.Address] = row.Zone }, func(*wire.PoolWorker) {})
	w.meter.AddZones(zones)
}
