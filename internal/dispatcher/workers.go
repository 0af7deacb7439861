package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/engine"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/scheduling"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// workerSet holds the workers assigned to this dispatcher. It claims the engine of each worker
// under the epoch of the assignment, then polls its load reports.
type workerSet struct {
	dispatcher *Dispatcher
	mutex      sync.Mutex
	revision   uint64
	owned      map[string]*ownedWorker
}

// ownedWorker is one assigned worker with the last report of its engine.
type ownedWorker struct {
	assignment   wire.Assignment
	cancel       context.CancelFunc
	load         engine.Load
	claimed      bool
	unresponsive bool
	// previousOwnerDone is set once a load report shows only attempts of this dispatcher: the
	// attempts of a previous owner have ended.
	previousOwnerDone bool
	nextCacheEvent    uint64
}

func newWorkerSet(d *Dispatcher) *workerSet {
	return &workerSet{dispatcher: d, owned: map[string]*ownedWorker{}}
}

// assign replaces the set of assignments, unless this version was applied already.
func (w *workerSet) assign(version uint64, assignments []wire.Assignment) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version == w.revision {
		return
	}
	w.revision = version
	wanted := map[string]wire.Assignment{}
	for _, assignment := range assignments {
		wanted[assignment.Worker] = assignment
	}
	for name, owned := range w.owned {
		if replacement, kept := wanted[name]; kept && replacement == owned.assignment {
			continue
		}
		owned.cancel()
		delete(w.owned, name)
		w.release(owned, wanted[name])
	}
	for name, assignment := range wanted {
		if w.owned[name] == nil {
			w.add(assignment)
		}
	}
}

// versionOf returns the software version of a worker, empty if it is unknown.
func (w *workerSet) versionOf(name string) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if owned := w.owned[name]; owned != nil {
		return owned.assignment.Version
	}
	return ""
}

// mayContinue reports whether a worker here may continue text of the version. If the version is
// unknown, that is so only if all workers' versions are, because the platform tells none.
func (w *workerSet) mayContinue(version string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known, found := false, false
	for _, owned := range w.owned {
		known = known || owned.assignment.Version != ""
		found = found || owned.assignment.Version == version && !owned.assignment.Leaving && !owned.load.Leaving
	}
	return found && (version != "" || !known)
}

// release drops a worker that is no longer assigned. Its attempts continue unless the machine was
// replaced.
func (w *workerSet) release(owned *ownedWorker, replacement wire.Assignment) {
	name := owned.assignment.Worker
	replaced := replacement.Worker != "" && replacement.Incarnation != owned.assignment.Incarnation
	if replacement.Worker != "" && !replaced {
		// The machine is the same under a new epoch: the scheduler keeps the worker and its
		// attempts.
		return
	}
	logging.Info(w.dispatcher.logger, "worker_released", "worker", name, "replaced", replaced)
	w.dispatcher.step(scheduling.WorkerRemoved{Worker: name, Abandon: replaced})
}

func (w *workerSet) add(assignment wire.Assignment) {
	ctx, cancel := context.WithCancel(w.dispatcher.daemon.Context())
	owned := &ownedWorker{assignment: assignment, cancel: cancel}
	w.owned[assignment.Worker] = owned
	w.dispatcher.daemon.Go(func(context.Context) { w.pollLoop(ctx, owned) })
}

// pollLoop claims the engine and polls its reports until ctx ends.
func (w *workerSet) pollLoop(ctx context.Context, owned *ownedWorker) {
	interval := w.dispatcher.settings.LoadInterval.Std()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastResponse := time.Now()
	for {
		if w.poll(ctx, owned) {
			lastResponse = time.Now()
		} else if time.Since(lastResponse) > w.dispatcher.settings.WorkerTimeout.Std() {
			w.setUnresponsive(ctx, owned)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll claims the engine if necessary and applies its report. It returns whether the engine
// responded.
func (w *workerSet) poll(ctx context.Context, owned *ownedWorker) bool {
	callContext, cancel := context.WithTimeout(ctx, w.dispatcher.settings.WorkerTimeout.Std()/2)
	defer cancel()
	client, assignment := w.dispatcher.online, owned.assignment
	if !owned.claimed {
		order := &engine.Order{Epoch: assignment.Epoch, Kind: engine.OrderOwn, Owner: w.dispatcher.settings.Name}
		if err := client.Order(callContext, assignment.Address, order); err != nil {
			return false
		}
		owned.claimed = true
		logging.Info(w.dispatcher.logger, "worker_claimed", "worker", assignment.Worker, "epoch", assignment.Epoch)
	}
	load, err := client.Load(callContext, assignment.Address)
	if err != nil || load.Worker != assignment.Worker {
		return false
	}
	w.applyLoad(ctx, owned, load)
	w.readCacheEvents(callContext, owned)
	return true
}

func (w *workerSet) applyLoad(ctx context.Context, owned *ownedWorker, load *engine.Load) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if ctx.Err() != nil {
		// The worker was released while the call was running.
		return
	}
	owned.load = *load
	owned.unresponsive = false
	if load.Epoch < owned.assignment.Epoch {
		// The engine made the report before the claim, and the previous owner may have started
		// attempts since then. Such a report can't be used to place attempts.
		return
	}
	w.dispatcher.step(scheduling.WorkerUpdated{Spec: w.spec(owned)})
}

// maxReportAge is how old a load report may be. Attempts that started later may be missing from the
// report, so they are not counted as part of its load.
const maxReportAge = time.Second

// spec describes the worker to the scheduler. Slots that attempts of a previous owner use are
// counted separately until a report shows none.
func (w *workerSet) spec(owned *ownedWorker) scheduling.WorkerSpec {
	load := &owned.load
	previousOwnerSlots := 0
	if !owned.previousOwnerDone {
		previousOwnerSlots = load.Running + load.Waiting - w.dispatcher.runningOn(owned.assignment.Worker, time.Now().Add(-maxReportAge))
		owned.previousOwnerDone = previousOwnerSlots <= 0
	}
	return scheduling.WorkerSpec{
		ID:                 owned.assignment.Worker,
		Address:            owned.assignment.Address,
		Zone:               owned.assignment.Zone,
		Epoch:              owned.assignment.Epoch,
		Slots:              load.Slots,
		KVTokens:           load.KVTokens,
		Models:             setOf(load.Models),
		Adapters:           setOf(load.Adapters),
		Leaving:            owned.assignment.Leaving || load.Leaving,
		Version:            owned.assignment.Version,
		PreviousOwnerSlots: max(0, previousOwnerSlots),
	}
}

// runningOn returns the number of this dispatcher's attempts on a worker that were started by the
// given time.
func (d *Dispatcher) runningOn(worker string, startedBy time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.RunningStartedBy(worker, startedBy)
}

func (w *workerSet) readCacheEvents(ctx context.Context, owned *ownedWorker) {
	page, err := w.dispatcher.online.CacheEvents(ctx, owned.assignment.Address, owned.nextCacheEvent)
	if err != nil || len(page.Events) == 0 {
		return
	}
	owned.nextCacheEvent = page.Next
	change := scheduling.CacheChanged{Worker: owned.assignment.Worker}
	for _, event := range page.Events {
		if event.Evicted {
			change.Evicted = append(change.Evicted, event.Block)
		} else {
			change.Added = append(change.Added, event.Block)
		}
	}
	w.dispatcher.step(change)
}

func (w *workerSet) setUnresponsive(ctx context.Context, owned *ownedWorker) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if owned.unresponsive || ctx.Err() != nil {
		return
	}
	owned.unresponsive = true
	// An engine that responds again may have restarted, so it must be claimed again.
	owned.claimed = false
	logging.Warn(w.dispatcher.logger, "worker_silent", "worker", owned.assignment.Worker)
	w.dispatcher.step(scheduling.WorkerUnresponsive{Worker: owned.assignment.Worker})
}

// reports describes the workers for a heartbeat.
func (w *workerSet) reports() []wire.WorkerReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	reports := make([]wire.WorkerReport, 0, len(w.owned))
	for name, owned := range w.owned {
		reports = append(reports, wire.WorkerReport{
			Worker:      name,
			Epoch:       owned.assignment.Epoch,
			Leaving:     owned.load.Leaving,
			Unreachable: owned.unresponsive,
		})
	}
	return reports
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
