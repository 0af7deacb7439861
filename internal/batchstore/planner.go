package batchstore

import (
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// order plans for a runner.
func (s *Store) order(now time.Time, source uint32, waiting int, items map[uint32]int) map[uint32]batchroom.Order {
	return s.orderBy(now, s.watcher.Current().Table, source, waiting, items)
}

// orderBy plans for a runner by a configuration.
func (s *Store) orderBy(now time.Time, table *routetable.Table, source uint32, waiting int, items map[uint32]int) map[uint32]batchroom.Order {
	places := s.workers.Workers(now, func(pool string) time.Duration { return table.TightestGoal(pool) / patienceParts })
	for i := range places.Busy {
		place := &places.Busy[i]
		place.Probe = place.Probe && s.loads.top.ProbeDue(now, place.ShortName)
	}
	places.Forecasts = s.foresee(now, table, &places)
	places.ClearMaxWait()
	s.loads.planner.ApplyReport(now, source, waiting, items)
	orders := s.loads.planner.Plan(source, places)
	s.noteProbes(now, places, orders)
	s.logPlan(now, source, places)
	return orders
}

// noteProbes takes in which avoided workers the orders let an item start at.
func (s *Store) noteProbes(now time.Time, places batchroom.Workers, orders map[uint32]batchroom.Order) {
	for i := range places.Busy {
		place := &places.Busy[i]
		if place.Closed && orders[place.ShortName].Start > 0 {
			s.loads.top.RecordProbe(now, place.ShortName)
		}
	}
	s.noteJudged(s.loads.top)
}

// noteJudged writes down how the judgement of workers has changed. The lock of the hubs is
// held.
func (s *Store) noteJudged(hub *loadshare.Hub) {
	for _, judged := range hub.HealthChanges() {
		s.metrics.judged.WithLabelValues(judged.Change.String()).Inc()
		logging.Info(s.logger, "worker_judged", "worker", s.workers.WorkerID(judged.Worker), "change", judged.Change, "failed", judged.Failed, "answered", judged.Answered, "good", judged.GoodStreak, "relapses", judged.Relapses, "ill_ms", judged.UnhealthyFor.Milliseconds())
	}
}

// noteDoubts writes down which workers tell other slots than the list says. The smaller count
// is believed.
func (s *Store) noteDoubts() {
	for _, doubt := range s.workers.SlotMismatches() {
		logging.Warn(s.logger, "worker_tells_other_slots", "worker", doubt.Worker, "listed", doubt.Listed, "told", doubt.Reported)
	}
}

// planLogInterval is the shortest time between two lines on the plans, which are made with each
// report of a runner.
const planLogInterval = 200 * time.Millisecond

// logPlan writes down now and then what a plan rested on. The lock of the hubs is held.
func (s *Store) logPlan(now time.Time, source uint32, places batchroom.Workers) {
	if now.Before(s.loads.planLogDue) {
		return
	}
	s.loads.planLogDue = now.Add(planLogInterval)
	plan, orphans := s.loads.planner.Summary(), 0
	for i := range places.Busy {
		orphans += places.Busy[i].Orphans
	}
	logging.Info(s.logger, "items_planned", "runner", source, "slots", plan.Slots, "online", plan.Online, "orphans", orphans, "items", plan.Items, "queued", plan.Queued, "idle", plan.IdleSlots, "waiting", plan.Waiting, "free", plan.FreeSlots, "granted", plan.Granted, "stops", plan.Stops, "ahead", plan.AdvanceStops, "level", int(plan.Demand.Slots), "sure", plan.Demand.Confident, "until_ms", untilMillis(now, plan.Demand), "rising", plan.Rising, "held", plan.Paused)
}

// ordered returns the rows with the orders.
func ordered(rows []wire.WorkerLoad, orders map[uint32]batchroom.Order) []wire.WorkerLoad {
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
