package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// planOrders plans the orders for a runner with the present configuration.
func (s *Store) planOrders(now time.Time, source uint32, waiting int, items map[uint32]int) map[uint32]batchroom.Order {
	return s.planOrdersWith(now, s.watcher.Current().Table, source, waiting, items)
}

// planOrdersWith plans the orders for a runner with the given configuration.
func (s *Store) planOrdersWith(now time.Time, table *routetable.Table, source uint32, waiting int, items map[uint32]int) map[uint32]batchroom.Order {
	workers := s.workers.Workers(now, func(pool string) time.Duration { return table.ShortestGoal(pool) / maxWaitDivisor })
	for i := range workers.Busy {
		worker := &workers.Busy[i]
		worker.Probe = worker.Probe && s.loads.topHub.ProbeDue(now, worker.ShortName)
	}
	workers.Forecasts = s.updateForecasts(now, table, &workers)
	workers.ClearMaxWait()
	s.loads.planner.ApplyReport(now, source, waiting, items)
	orders := s.loads.planner.Plan(source, workers)
	s.recordProbes(now, workers, orders)
	s.logPlan(now, source, workers)
	return orders
}

// recordProbes records the avoided workers at which the orders allow an item to start.
func (s *Store) recordProbes(now time.Time, workers batchroom.Workers, orders map[uint32]batchroom.Order) {
	for i := range workers.Busy {
		worker := &workers.Busy[i]
		if worker.Closed && orders[worker.ShortName].Start > 0 {
			s.loads.topHub.RecordProbe(now, worker.ShortName)
		}
	}
	s.logHealthChanges(s.loads.topHub)
}

// logHealthChanges logs and counts changes in the health rating of workers. The caller holds
// hubsMutex.
func (s *Store) logHealthChanges(hub *loadshare.Hub) {
	for _, change := range hub.HealthChanges() {
		s.metrics.healthChanges.WithLabelValues(change.Change.String()).Inc()
		logging.Info(s.logger, "worker_judged", "worker", s.workers.WorkerID(change.Worker), "change", change.Change, "failed", change.Failed, "answered", change.Answered, "good", change.GoodStreak, "relapses", change.Relapses, "ill_ms", change.UnhealthyFor.Milliseconds())
	}
}

// logSlotMismatches logs the workers that report a different number of slots than the platform's
// list gives for them. The smaller of the two numbers is used.
func (s *Store) logSlotMismatches() {
	for _, mismatch := range s.workers.SlotMismatches() {
		logging.Warn(s.logger, "worker_tells_other_slots", "worker", mismatch.Worker, "listed", mismatch.Listed, "told", mismatch.Reported)
	}
}

// planLogInterval is the shortest time between two log lines on plans. A plan is made for each
// report of a runner, so not every plan is logged.
const planLogInterval = 200 * time.Millisecond

// logPlan logs the inputs and results of a plan, at most once per planLogInterval. The caller
// holds hubsMutex.
func (s *Store) logPlan(now time.Time, source uint32, workers batchroom.Workers) {
	if now.Before(s.loads.nextPlanLog) {
		return
	}
	s.loads.nextPlanLog = now.Add(planLogInterval)
	plan, orphans := s.loads.planner.Summary(), 0
	for i := range workers.Busy {
		orphans += workers.Busy[i].Orphans
	}
	logging.Info(s.logger, "items_planned", "runner", source, "slots", plan.Slots, "online", plan.Online, "orphans", orphans, "items", plan.Items, "queued", plan.Queued, "idle", plan.IdleSlots, "waiting", plan.Waiting, "free", plan.FreeSlots, "granted", plan.Granted, "stops", plan.Stops, "ahead", plan.AdvanceStops, "level", int(plan.Demand.Slots), "sure", plan.Demand.Confident, "until_ms", untilMillis(now, plan.Demand), "rising", plan.Rising, "held", plan.Paused)
}

// withOrders returns the rows with the orders added.
func withOrders(rows []wire.WorkerLoad, orders map[uint32]batchroom.Order) []wire.WorkerLoad {
	for i := range rows {
		if order, found := orders[rows[i].Worker]; found {
			rows[i].Start, rows[i].Stop = uint16(order.Start), uint16(order.Stop)
			delete(orders, rows[i].Worker)
		}
	}
	for worker, order := range orders {
		rows = append(rows, wire.WorkerLoad{Worker: worker, Start: uint16(order.Start), Stop: uint16(order.Stop)})
	}
	return rows
}
