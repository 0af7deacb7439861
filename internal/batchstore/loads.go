package batchstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/placement"
	"github.com/sedgemast/sedgemast/internal/quota"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// hubGroup is the group whose leader is the hub of all processes' loads.
const hubGroup = 0

const (
	// patienceParts is the part, one in so many, of the tightest goal of a pool's
	// routes that an online request may wait for an item.
	patienceParts = 2
	// ownInterval is the shortest time between two plans of the hub for itself.
	ownInterval = 20 * time.Millisecond
)

// loads is what this process knows of the others' loads, and of the tokens that wait
// in the store groups.
type loads struct {
	// hub, planner and ownDue are used by the loop that answers reports only.
	hub     *loadshare.Hub
	planner *batchroom.Planner
	ownDue  time.Time
	// reporting counts the processes that tell the hub their loads.
	reporting atomic.Int64

	// mutex guards the quotas.
	mutex  sync.Mutex
	quotas *quota.Ledger
}

func newLoads() *loads {
	return &loads{hub: loadshare.NewHub(), planner: batchroom.New(), quotas: quota.New(placement.Groups)}
}

// takeLoads is the hub while this process leads the hub group: it tells each process
// what the others have, and stores which items they may start and are to stop.
func (s *Store) takeLoads(ctx context.Context) {
	err := loadshare.Serve(ctx, s.daemon.Address(), func(report *wire.LoadReport) *wire.LoadReport {
		if err := s.groups[hubGroup].read(func(storage.Reader) error { return nil }); err != nil {
			if hub := consensus.LeaderOf(err); hub != "" && hub != s.daemon.Address() {
				return &wire.LoadReport{Hub: hub}
			}
			return nil
		}
		now := time.Now()
		s.takeOwn(now)
		s.loads.hub.Take(now, report)
		answer := &wire.LoadReport{Workers: s.loads.hub.Others(now, report.Source), Sources: uint16(s.loads.reporting.Load())}
		if len(report.Groups) > 0 {
			s.loads.learn(now, report.Groups)
			s.loads.learn(now, s.ledGroups())
			answer.Groups = s.loads.known(now)
			answer.Workers = s.order(now, report.Source, int(report.Waiting), itemsOf(report), answer.Workers)
		}
		return answer
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_taken", "error", err)
	}
}

// ownSource is the name under which the hub takes in its own loads.
const ownSource = 0

// takeOwn takes in what this process has, and orders its own runners.
func (s *Store) takeOwn(now time.Time) {
	if now.Before(s.loads.ownDue) {
		return
	}
	s.loads.ownDue = now.Add(ownInterval)
	hub := s.loads.hub
	hub.Take(now, &wire.LoadReport{Source: ownSource, Workers: s.workers.Loads()})
	s.loads.reporting.Store(int64(hub.Sources(now)) - 1)
	others := hub.Others(now, ownSource)
	s.workers.SetOthers(now, others)
	s.workers.SetOthers(now, s.order(now, ownSource, s.waiting(), s.workers.Items(), others))
}

// order plans for a runner and adds its orders to what it is told of the workers.
func (s *Store) order(now time.Time, source uint32, waiting int, items map[uint32]int, rows []wire.WorkerLoad) []wire.WorkerLoad {
	table := s.watcher.Current().Table
	places := s.workers.Places(now, func(pool string) time.Duration { return table.TightestGoal(pool) / patienceParts })
	s.loads.planner.Take(now, source, waiting, items)
	orders := s.loads.planner.Plan(source, places)
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

// itemsOf returns the items that run by a report, by worker.
func itemsOf(report *wire.LoadReport) map[uint32]int {
	items := make(map[uint32]int, len(report.Workers))
	for i := range report.Workers {
		if batch := report.Workers[i].Batch; batch > 0 {
			items[report.Workers[i].Worker] = int(batch)
		}
	}
	return items
}

// waiting counts the items that could start here.
func (s *Store) waiting() int {
	waiting := 0
	for _, g := range s.groups {
		waiting += int(g.runner.waiting.Load())
	}
	return waiting
}

// tellLoads tells the hub what this process runs, while another one is the hub.
func (s *Store) tellLoads(ctx context.Context) {
	source := loadshare.Hash(s.settings.Name)
	err := loadshare.Report(ctx, &loadshare.Reporter{
		Meter: s.daemon.Traffic,
		Hubs:  func() []string { return s.watcher.Current().Fleet.StoreAddresses() },
		Own: func() *wire.LoadReport {
			led := s.ledGroups()
			if len(led) == 0 || s.groups[hubGroup].leads() {
				return nil
			}
			return &wire.LoadReport{Source: source, Workers: s.workers.Loads(), Waiting: uint32(s.waiting()), Groups: led}
		},
		Learn: func(now time.Time, answer *wire.LoadReport) {
			s.workers.SetOthers(now, answer.Workers)
			s.loads.reporting.Store(int64(answer.Sources))
			s.loads.learn(now, answer.Groups)
		},
		Pause: func() time.Duration { return loadshare.Interval },
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_told", "error", err)
	}
}

// ledGroups returns the tokens that wait in the groups that this process leads.
func (s *Store) ledGroups() []wire.GroupTokens {
	var led []wire.GroupTokens
	for _, g := range s.groups {
		row := wire.GroupTokens{Group: uint8(g.number)}
		err := g.read(func(storage.Reader) error {
			g.machine.EachWaiting(func(route string, tokens int64) {
				row.Routes = append(row.Routes, wire.RouteTokens{Route: loadshare.Hash(route), Tokens: tokens})
			})
			return nil
		})
		if err == nil {
			led = append(led, row)
		}
	}
	return led
}

// learn takes in the tokens that wait in groups.
func (l *loads) learn(now time.Time, groups []wire.GroupTokens) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i := range groups {
		waiting := make(map[uint32]int64, len(groups[i].Routes))
		for _, row := range groups[i].Routes {
			waiting[row.Route] = row.Tokens
		}
		at := now.Add(-time.Duration(groups[i].AgeMillis) * time.Millisecond)
		l.quotas.Take(at, int(groups[i].Group), waiting)
	}
}

// known returns what is known of all groups, with its age.
func (l *loads) known(now time.Time) []wire.GroupTokens {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var rows []wire.GroupTokens
	l.quotas.Each(func(number int, at time.Time, waiting map[uint32]int64) {
		row := wire.GroupTokens{Group: uint8(number), AgeMillis: uint32(max(now.Sub(at), 0).Milliseconds())}
		for route, tokens := range waiting {
			row.Routes = append(row.Routes, wire.RouteTokens{Route: route, Tokens: tokens})
		}
		rows = append(rows, row)
	})
	return rows
}

// limit returns how many tokens may wait on a route in one group, of the limit for
// all groups together.
func (s *Store) limit(now time.Time, number int, route string, limit int64) int64 {
	s.loads.learn(now, s.ledGroups())
	s.loads.mutex.Lock()
	defer s.loads.mutex.Unlock()
	return s.loads.quotas.Limit(now, number, loadshare.Hash(route), limit)
}

// batchShare returns the part of a worker's slots, in hundredths, that items of this
// process may take while no planner is heard.
func (s *Store) batchShare() int {
	runners := min(len(s.watcher.Current().Fleet.Stores), placement.Groups)
	return max(s.settings.BatchShare/max(runners, 1), 1)
}
