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

// workerSet follows the assignments: for each worker it owns it claims the
// engine under the assignment's epoch, then reads its reports.
type workerSet struct {
	dispatcher *Dispatcher
	mutex      sync.Mutex
	version    uint64
	owned      map[string]*ownedWorker
}

// ownedWorker is one assigned worker with what its engine last said.
type ownedWorker struct {
	assignment wire.Assignment
	cancel     context.CancelFunc
	load       engine.Load
	claimed    bool
	silent     bool
	// settled is set once a load report shows only attempts of this
	// dispatcher: a former owner's attempts have ended.
	settled bool
	events  uint64
}

func newWorkerSet(d *Dispatcher) *workerSet {
	return &workerSet{dispatcher: d, owned: map[string]*ownedWorker{}}
}

// assign replaces the set of assignments, unless the version is the one known.
func (w *workerSet) assign(version uint64, assignments []wire.Assignment) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version == w.version {
		return
	}
	w.version = version
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
			w.take(assignment)
		}
	}
}

// release forgets a worker. Its attempts go on unless the machine was replaced.
func (w *workerSet) release(owned *ownedWorker, replacement wire.Assignment) {
	name := owned.assignment.Worker
	replaced := replacement.Worker != "" && replacement.Incarnation != owned.assignment.Incarnation
	if replacement.Worker != "" && !replaced {
		// The same machine under a new epoch: what runs on it stays known.
		return
	}
	logging.Info(w.dispatcher.logger, "worker_released", "worker", name, "replaced", replaced)
	w.dispatcher.step(scheduling.WorkerRemoved{Worker: name, Abandon: replaced})
}

func (w *workerSet) take(assignment wire.Assignment) {
	ctx, cancel := context.WithCancel(w.dispatcher.daemon.Context())
	owned := &ownedWorker{assignment: assignment, cancel: cancel}
	w.owned[assignment.Worker] = owned
	w.dispatcher.daemon.Go(func(context.Context) { w.follow(ctx, owned) })
}

// follow claims the engine and reads its reports until ctx ends.
func (w *workerSet) follow(ctx context.Context, owned *ownedWorker) {
	interval := w.dispatcher.settings.LoadInterval.Std()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastAnswer := time.Now()
	for {
		if w.poll(ctx, owned) {
			lastAnswer = time.Now()
		} else if time.Since(lastAnswer) > w.dispatcher.settings.WorkerTimeout.Std() {
			w.setSilent(ctx, owned)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll claims the engine if need be, and takes in its report. It reports
// whether the engine answered.
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
	w.report(ctx, owned, load)
	w.readCacheEvents(callContext, owned)
	return true
}

func (w *workerSet) report(ctx context.Context, owned *ownedWorker, load *engine.Load) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if ctx.Err() != nil {
		// The worker was taken away while the engine answered.
		return
	}
	owned.load = *load
	owned.silent = false
	if load.Epoch < owned.assignment.Epoch {
		// The report is from before the claim: attempts of the former owner may
		// have begun after it. Nothing is placed on such a guess.
		return
	}
	w.dispatcher.step(scheduling.WorkerUpdated{Spec: w.spec(owned)})
}

// reportLag is how old a load report may be: attempts that were started later
// are not counted as part of what it shows.
const reportLag = time.Second

// spec describes the worker to the scheduler. The slots that a former owner's
// attempts still hold count as foreign until a report shows none.
func (w *workerSet) spec(owned *ownedWorker) scheduling.WorkerSpec {
	load := &owned.load
	foreign := 0
	if !owned.settled {
		foreign = load.Running + load.Waiting - w.dispatcher.runningOn(owned.assignment.Worker, time.Now().Add(-reportLag))
		owned.settled = foreign <= 0
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
		PreviousOwnerSlots: max(0, foreign),
	}
}

// runningOn returns the attempts of this dispatcher on a worker that were started
// by the moment given.
func (d *Dispatcher) runningOn(worker string, startedBy time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.scheduler.RunningSince(worker, startedBy)
}

func (w *workerSet) readCacheEvents(ctx context.Context, owned *ownedWorker) {
	page, err := w.dispatcher.online.CacheEvents(ctx, owned.assignment.Address, owned.events)
	if err != nil || len(page.Events) == 0 {
		return
	}
	owned.events = page.Next
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

func (w *workerSet) setSilent(ctx context.Context, owned *ownedWorker) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if owned.silent || ctx.Err() != nil {
		return
	}
	owned.silent = true
	// An engine that comes back may have been restarted: claim it again.
	owned.claimed = false
	logging.Warn(w.dispatcher.logger, "worker_silent", "worker", owned.assignment.Worker)
	w.dispatcher.step(scheduling.WorkerUnresponsive{Worker: owned.assignment.Worker})
}

// reports lists the workers for a heartbeat.
func (w *workerSet) reports() []wire.WorkerReport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	reports := make([]wire.WorkerReport, 0, len(w.owned))
	for name, owned := range w.owned {
		reports = append(reports, wire.WorkerReport{
			Worker:      name,
			Epoch:       owned.assignment.Epoch,
			Leaving:     owned.load.Leaving,
			Unreachable: owned.silent,
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
