// Package fleetwatch keeps a process's copy of the configuration and the fleet by polling a
// coordinator: the leader, or a relay if the process allows relays to answer (UseRelays). While no
// coordinator can be reached, the copy stays as it is. The copy never goes back to an older
// version.
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
	// maxPollWait is how long a coordinator may hold a poll until there is an update. replyTimeout
	// is how much longer the process waits for the answer.
	maxPollWait  = 500 * time.Millisecond
	replyTimeout = 600 * time.Millisecond
	// retryInterval is the time from a failed call to the next call.
	retryInterval = 40 * time.Millisecond
)

// Snapshot is an immutable copy of the configuration and the fleet.
type Snapshot struct {
	// Table is nil before the first configuration. Document is its encoded form, as received.
	Table    *routetable.Table
	Document []byte
	// Fleet is the leader's view without the workers. View is its number in the term Term.
	Fleet wire.FleetView
	Term  uint64
	View  uint64
	// Workers is the list of workers.
	Workers *workerset.Set
	// ListReadAt is when the reading of the platform's list began that Workers is known by, or
	// earlier. It is zero if that is unknown. The platform may have changed the list since.
	ListReadAt time.Time
	// LeaderSeenAt is when the leader last answered this process, or the relay from which this
	// process got its last answer.
	LeaderSeenAt time.Time
	// ConfirmedAt is a time at which Table was still the newest configuration: a leader said so in
	// answer to a poll that was sent then, or later. It is zero before the first such answer.
	ConfirmedAt time.Time
	// HeardSince is since when the leader's answers have come without a gap longer than maxGap.
	HeardSince time.Time
}

// Version returns the version of the configuration, zero before the first one.
func (s *Snapshot) Version() uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Configuration.Version
}

// Watcher keeps the newest snapshot up to date.
type Watcher struct {
	logger  logging.Logger
	client  *rpc.Client
	meter   *traffic.Meter
	report  func() wire.ProcessReport
	current atomic.Pointer[Snapshot]
	// lastAnswered is the coordinator that answered last, nil before the first answer.
	lastAnswered atomic.Pointer[string]
	// reached is set while a coordinator answers.
	reached bool
	targets targets
	// viewSource is the coordinator that sent the view. listMismatches counts the updates in a
	// row after which the digest of the list of workers was wrong.
	viewSource      string
	listMismatches  int
	quarantineCache *quarantine.Cache

	mutex     sync.Mutex
	seeds     []string
	listeners []func(*Snapshot)
}

// New returns a watcher; Run runs it. report returns the process's report on itself. The meter,
// which may be nil, counts the traffic of calls and gets the zones of the fleet's addresses.
func New(logger logging.Logger, meter *traffic.Meter, seeds []string, report func() wire.ProcessReport) *Watcher {
	client := rpc.NewClientWithDialTimeout(rpc.ShortDial)
	client.SetMeter(meter)
	w := &Watcher{logger: logger, meter: meter, client: client, report: report, seeds: seeds, quarantineCache: quarantine.NewCache()}
	w.current.Store(&Snapshot{})
	return w
}

// UseRelays allows relays to answer: the process polls relays of its zone first, chosen by its
// name. UseRelays must be called before Run.
func (w *Watcher) UseRelays(name, zone string) {
	w.targets = targets{name: name, zone: zone, relays: true}
}

// Current returns the newest snapshot.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// OnChange adds a function that is called with every new snapshot, from a single goroutine. It
// must be called before Run.
func (w *Watcher) OnChange(listener func(*Snapshot)) { w.listeners = append(w.listeners, listener) }

// SetSeeds replaces the addresses that are tried first.
func (w *Watcher) SetSeeds(seeds []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.seeds = seeds
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.Close()
	go w.reportRuns(ctx)
	for ctx.Err() == nil {
		target := w.targets.pick(clock.Now(), w.addresses(), w.Current().Fleet.Relays)
		err := w.poll(ctx, target)
		if err == nil {
			w.targets.recordAnswer(target)
			w.recordAnswer(target)
			continue
		}
		w.targets.recordFailure(clock.Now(), target, consensus.LeaderFromError(err))
		w.recordFailure(target, err)
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// recordAnswer records which coordinator answered.
func (w *Watcher) recordAnswer(target string) {
	if before := w.lastAnswered.Load(); before == nil || *before != target {
		w.lastAnswered.Store(&target)
	}
}

func (w *Watcher) recordFailure(target string, err error) {
	if w.reached {
		w.reached = false
		logging.Warn(w.logger, "coordinator_lost", "address", target, "version", w.Current().Version(), "error", err)
	}
}

// maxGap is the longest time between two answers of the leader during which nothing can have come and
// gone unseen: a worker that leaves stays in the list for longer.
const maxGap = 2 * time.Second

// MaxUsualGap is the longest time between two answers of a coordinator while all is well: it holds a poll
// for maxPollWait, and the answer arrives within replyTimeout. A process that has heard nothing for longer
// may lack what has changed since.
const MaxUsualGap = 1200 * time.Millisecond

// pollWait returns how long a coordinator may hold the poll of a process that got its last
// answer the given time ago. A process that was cut off or suspended needs an answer at once, to
// know that its copy is current.
func pollWait(sinceAnswer time.Duration) time.Duration {
	if sinceAnswer > maxPollWait+replyTimeout {
		return 0
	}
	return maxPollWait
}

func (w *Watcher) poll(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, maxPollWait+replyTimeout)
	defer cancel()
	known := w.Current()
	request := &wire.WatchRequest{
		Process:    w.report(),
		Version:    known.Version(),
		View:       known.View,
		Term:       known.Term,
		WaitMillis: pollWait(clock.Since(known.LeaderSeenAt)).Milliseconds(),
		Quarantine: w.quarantineCache.Revision(),
		Lost:       w.listMismatches > 0,
		Listed:     known.Fleet.Listed,
	}
	if w.listMismatches == 1 || w.listMismatches == 0 && target != w.viewSource {
		// After a second mismatch, two different buckets must have the same digest by chance. So
		// the request then omits the digests, and the coordinator sends the whole list.
		request.Digests = known.Workers.Digests()
	}
	askedAt := clock.Now()
	response, err := rpc.Call[wire.WatchResponse](ctx, w.client, target, wire.MethodWatch, request)
	if err != nil {
		return err
	}
	// An answer may have waited here while this process was suspended. It was sent once the poll had
	// waited for as long as it may, or earlier.
	answeredAt := askedAt.Add(time.Duration(request.WaitMillis) * time.Millisecond)
	if now := clock.Now(); now.Before(answeredAt) {
		answeredAt = now
	}
	if !w.reached {
		w.reached = true
		logging.Info(w.logger, "coordinator_reached", "address", target, "term", response.Term)
	}
	return w.apply(target, response, askedAt, answeredAt)
}

// apply applies an answer to a poll sent at askedAt, which was answered at answeredAt, or earlier. It
// never replaces the configuration or the view by an older one. If the leader has not read the whole
// list of workers yet, apply does not let the leader's list replace one that was read whole.
func (w *Watcher) apply(target string, response *wire.WatchResponse, askedAt, answeredAt time.Time) error {
	before := w.Current()
	after := *before
	after.LeaderSeenAt = answeredAt.Add(-time.Duration(response.AgeMillis) * time.Millisecond)
	if after.LeaderSeenAt.Sub(before.LeaderSeenAt) > maxGap {
		after.HeardSince = after.LeaderSeenAt
	}
	changed := !after.HeardSince.Equal(before.HeardSince)
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
		changed = w.applyFleet(target, response, before, &after) || changed
	}
	after.confirmConfiguration(response, askedAt)
	after.confirmList(before, response, askedAt)
	if response.Quarantine != nil {
		w.quarantineCache.Apply(clock.Now(), response.Quarantine)
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

// confirmConfiguration records that the configuration was the newest one when a poll was sent at
// askedAt. A relay dates the leader's answer up to maxPollWait too late, because it does not know for
// how long the leader held its poll.
func (s *Snapshot) confirmConfiguration(response *wire.WatchResponse, askedAt time.Time) {
	if response.Version != s.Version() {
		return
	}
	confirmedAt := askedAt
	if response.AgeMillis > 0 {
		confirmedAt = askedAt.Add(-time.Duration(response.AgeMillis)*time.Millisecond - maxPollWait)
	}
	if confirmedAt.After(s.ConfirmedAt) {
		s.ConfirmedAt = confirmedAt
	}
}

// ListAge returns the time since ListReadAt, or maxListAge if that is unknown or longer ago.
func (s *Snapshot) ListAge(now time.Time) time.Duration {
	if s.ListReadAt.IsZero() {
		return maxListAge
	}
	return min(now.Sub(s.ListReadAt), maxListAge)
}

// ListAgeBuckets are the bounds, in seconds, of histograms of list ages.
var ListAgeBuckets = []float64{.25, .5, 1, 1.5, 2, 2.5, 3, 4, 5, 10, 30}

// maxListAge is the longest age of a list that is told from longer ones.
const maxListAge = time.Hour

// confirmList records how old the list of workers is after an answer to a poll sent at askedAt. An
// answer tells the age of one list only, so it does not count for a process that has another one.
func (s *Snapshot) confirmList(before *Snapshot, response *wire.WatchResponse, askedAt time.Time) {
	if s.Workers.Digest() != before.Workers.Digest() {
		// A new leader may know an older list than this process did.
		s.ListReadAt = time.Time{}
	}
	if response.ListDigest == 0 || response.ListDigest != s.Workers.Digest() {
		return
	}
	readAt := askedAt.Add(-time.Duration(response.ListAgeMillis) * time.Millisecond)
	if readAt.After(s.ListReadAt) {
		s.ListReadAt = readAt
	}
}

// applyFleet applies an update of the fleet and reports whether it did. If the digest of the
// resulting list of workers is wrong nothing is applied, so that no relay passes the list on,
// and the next request reports the mismatch.
func (w *Watcher) applyFleet(target string, response *wire.WatchResponse, before, after *Snapshot) bool {
	fleet := response.Fleet
	rows, removed, leaving := 0, 0, 0
	w.viewSource = target
	switch update := workerUpdate(fleet); {
	case fleet.Partial && before.Fleet.Listed:
		// A partial list says nothing about the workers that it lacks, so the list known here is
		// kept. Once the leader has read the whole list, the two lists are compared by digests.
		w.viewSource = ""
	case update == nil:
	default:
		rows, removed, leaving = len(update.Rows), len(update.Gone), workerset.CountLeaving(update.Rows)
		after.Workers = before.Workers.Apply(update)
		if after.Workers.Digest() != update.Digest {
			logging.Warn(w.logger, "worker_list_differs", "from", target, "term", response.Term, "view", response.View, "workers", after.Workers.Len())
			after.Workers = before.Workers
			w.listMismatches++
			return false
		}
	}
	w.listMismatches = 0
	after.Fleet = fleet.ApplyTo(&before.Fleet)
	after.Term, after.View = response.Term, response.View
	w.setZones(before, after)
	logging.Info(w.logger, "fleet_view", "from", target, "term", response.Term, "view", response.View, "workers", after.Workers.Len(), "rows", rows, "gone", removed, "leaving", leaving, "stores", len(after.Fleet.Stores), "edges", after.Fleet.Edges, "age_ms", response.AgeMillis)
	return true
}

// workerUpdate returns the update of the list of workers, nil for none. A leader of
// wire.GenerationFirst sends the whole list in another field. If that field were ignored, this
// process would have no configuration and no workers until a leader of its own generation is
// elected.
func workerUpdate(fleet *wire.FleetView) *wire.WorkerNews {
	if fleet.News != nil || !fleet.Listed || fleet.SameWorkers {
		return fleet.News
	}
	return workerset.Of(fleet.Workers).FullUpdate()
}

// setZones gives the meter the zones of stores, relays and workers by address.
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
