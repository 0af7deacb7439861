package batchstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/balance"
	"github.com/sedgemast/sedgemast/internal/batchroom"
	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/consensus"
	"github.com/sedgemast/sedgemast/internal/forecast"
	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quota"
	"github.com/sedgemast/sedgemast/internal/ratelimit"
	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// hubGroup is the group whose leader is the top hub of all processes' loads.
const hubGroup = 0

const (
	// patienceParts is the part, one in so many, of the tightest goal of a pool's
	// routes that an online request may wait for an item.
	patienceParts = 2
	// ownInterval is the shortest time between two plans of the top hub for itself.
	ownInterval = 20 * time.Millisecond
)

// loads is what this process knows of the others' loads, and of the tokens that wait
// in the store groups.
type loads struct {
	// reporting counts the processes that tell their loads.
	reporting atomic.Int64

	// hubs guards what follows. zone is the hub for the processes that report here,
	// top the one for all zones and runners while this process leads the hub group.
	hubs    sync.Mutex
	zone    *loadshare.Hub
	top     *loadshare.Hub
	planner *batchroom.Planner
	// planLogDue is from when on a plan may be logged.
	planLogDue time.Time
	// forecasts holds those of the pools that something is forecast for.
	forecasts map[string]*forecast.Forecast
	// ownDue is from when on this process's own loads are taken in again.
	ownDue time.Time
	// listed is the list of workers taken in last, near and far the short names of those of
	// this process's zone and of others.
	listed *workerset.Set
	near   loadshare.Set
	far    loadshare.Set
	// zones holds the zones of all by their short names.
	zones  map[uint32]string
	random *rand.Rand
	limits *limiter
	// room is the account of the zone's room, which is divided among tenants.
	room *zoneRoom
	// leftLogDue is from when on a line may say that loads were left out.
	leftLogDue time.Time

	// mutex guards the quotas.
	mutex  sync.Mutex
	quotas *quota.Tracker
}

func newLoads(tolerance ratelimit.Tolerance) *loads {
	seed := uint64(time.Now().UnixNano())
	return &loads{
		zone:      loadshare.NewHub(),
		top:       loadshare.NewHub(),
		planner:   batchroom.New(),
		forecasts: map[string]*forecast.Forecast{},
		random:    rand.New(rand.NewPCG(seed, seed)),
		zones:     map[uint32]string{},
		limits:    newLimiter(clock.Now(), tolerance),
		room:      newZoneRoom(),
		quotas:    quota.New(0),
	}
}

// setGroups takes in how many groups there are.
func (l *loads) setGroups(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if count != l.quotas.GroupCount() {
		l.quotas = quota.New(count)
	}
}

// setWorkers takes in the list of workers for a process of the zone.
func (l *loads) setWorkers(set *workerset.Set, zone string) {
	l.hubs.Lock()
	defer l.hubs.Unlock()
	// A worker that starts again leaves the list as one life and joins it as another one
	// with the same short name, so who leaves is taken out first.
	set.Diff(l.listed, func(*wire.PoolWorker) {}, func(row *wire.PoolWorker) {
		worker := loadshare.WorkerHash(row.ID)
		delete(l.zones, worker)
		l.near.Remove(worker)
		l.far.Remove(worker)
	})
	set.Diff(l.listed, func(row *wire.PoolWorker) {
		worker := loadshare.WorkerHash(row.ID)
		l.zones[worker] = row.Zone
		if row.Zone == zone {
			l.far.Remove(worker)
			l.near.Add(worker)
		} else {
			l.near.Remove(worker)
			l.far.Add(worker)
		}
	}, func(*wire.PoolWorker) {})
	l.listed = set
}

// zoneOf names the zone of a worker by its short name.
func (l *loads) zoneOf(worker uint32) string { return l.zones[worker] }

// isNear reports whether the worker is one of this process's zone.
func (l *loads) isNear(worker uint32) bool { return l.near.Has(worker) }

// takeLoads answers reports of loads. Edges of the zone are told what all others have.
// While this process leads the hub group, hubs of zones are told what the other zones
// have, and stores which items they may start and are to stop.
func (s *Store) takeLoads(ctx context.Context) {
	err := loadshare.Serve(ctx, s.daemon.Address(), func(report *wire.LoadReport) *wire.LoadReport {
		now := clock.Now()
		err := s.groups[hubGroup].read(func(storage.Reader) error { return nil })
		s.loads.hubs.Lock()
		defer s.loads.hubs.Unlock()
		if err == nil {
			s.takeOwn(now)
		}
		switch toTop := report.Sums || len(report.Groups) > 0; {
		case !toTop:
			return s.answerZone(now, report)
		case err == nil:
			return s.answerTop(now, report)
		}
		return s.referral(err)
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_taken", "error", err)
	}
}

// referral names the top hub to who asks this process instead, by what the refusal of
// the hub group's replica here or else the view of the fleet says.
func (s *Store) referral(refusal error) *wire.LoadReport {
	hub := consensus.LeaderFromError(refusal)
	if hub == "" {
		hub = s.watcher.Current().Fleet.Group(hubGroup).Leader
	}
	if hub == "" || hub == s.daemon.Address() {
		return nil
	}
	return &wire.LoadReport{Hub: hub}
}

// topHubs returns where the top hub is looked for, the likeliest first.
func (s *Store) topHubs() []string {
	fleet := &s.watcher.Current().Fleet
	place := fleet.Group(hubGroup)
	var hubs []string
	if place.Leader != "" {
		hubs = append(hubs, place.Leader)
	}
	for _, address := range append(slices.Clone(place.Members), fleet.StoreAddresses()...) {
		if !slices.Contains(hubs, address) {
			hubs = append(hubs, address)
		}
	}
	return hubs
}

// answerZone takes in the report of an edge. The lock of the hubs is held.
func (s *Store) answerZone(now time.Time, report *wire.LoadReport) *wire.LoadReport {
	s.loads.zone.ApplyReport(now, report)
	s.noteJudged(s.loads.zone)
	verdicts := s.loads.limits.answer(now, report.Tokens)
	standings := s.loads.room.answer(now, report, verdicts)
	s.logRoom(now)
	if report.Left || report.Quiet {
		return nil
	}
	answer := &wire.LoadReport{Verdicts: verdicts, Standings: standings}
	if report.Choosing && report.Repeatable {
		answer.Probes = s.loads.zone.OnlineProbes(now, s.loads.isNear)
		s.noteJudged(s.loads.zone)
	}
	// An edge of wire.GenerationFirst would take what is not named for idle.
	if loadshare.Large(&s.loads.near) && !report.First {
		answer.Drawn = true
		if report.Choosing {
			drawn := loadshare.Sample(s.loads.random, report.Asked, &s.loads.near, &s.loads.far)
			// An edge that is told of no failure of a worker does not probe it.
			drawn = append(drawn, answer.Probes...)
			slices.Sort(drawn)
			answer.Workers = s.loads.zone.LoadsOf(now, report.Source, slices.Compact(drawn))
		}
		return answer
	}
	answer.Workers, answer.Part = loadshare.Subset(s.loads.zone.PeerLoads(now, report.Source), report.Zone, s.loads.zoneOf, s.loads.random)
	answer.Part = answer.Part || s.loads.zone.ParentPartial()
	return answer
}

// answerTop takes in the report of a zone's hub or of a store that runs items. The lock
// of the hubs is held.
func (s *Store) answerTop(now time.Time, report *wire.LoadReport) *wire.LoadReport {
	s.loads.top.ApplyReport(now, report)
	s.noteJudged(s.loads.top)
	if report.Left {
		s.loads.limits.leave(now, report.Source)
	}
	if report.Left || report.Quiet {
		return nil
	}
	loaded := s.loads.top.UpdateFor
	if report.Sums {
		loaded = s.loads.top.UpdateForHub
	}
	told := loaded(now, report.Source)
	s.noteLeft(now, "told", told.Omitted)
	answer := &wire.LoadReport{Workers: told.Rows, Rest: uint32(told.UnlistedRate), Part: told.Omitted > 0, Sources: uint16(s.loads.reporting.Load())}
	if report.Tenants != nil {
		answer.Tenants = s.loads.limits.answerHub(now, report)
	}
	if len(report.Groups) > 0 {
		s.loads.learn(now, report.Groups)
		s.loads.learn(now, s.ledGroups())
		answer.Groups = s.loads.known(now)
		answer.Workers = ordered(answer.Workers, s.order(now, report.Source, int(report.Waiting), itemsOf(report)))
	}
	return answer
}

// leftLogInterval is the shortest time between two lines on loads left out.
const leftLogInterval = 10 * time.Second

// noteLeft writes down that loads did not fit into a datagram. The lock of the hubs is held.
func (s *Store) noteLeft(now time.Time, what string, left int) {
	if left == 0 || now.Before(s.loads.leftLogDue) {
		return
	}
	s.loads.leftLogDue = now.Add(leftLogInterval)
	logging.Warn(s.logger, "loads_left_out", "what", what, "rows", left, "workers", s.loads.listed.Len())
}

// ownSource is the name under which the top hub takes in its own loads.
const ownSource = 0

// zoneSource is the name under which this process tells the sums over its zone.
func (s *Store) zoneSource() uint32 { return loadshare.Hash(s.settings.Name + "/zone") }

// takeOwn takes in what this process and its zone have, and orders its own runners.
// The lock of the hubs is held.
func (s *Store) takeOwn(now time.Time) {
	if now.Before(s.loads.ownDue) {
		return
	}
	s.loads.ownDue = now.Add(s.ownPause())
	top, zone := s.loads.top, s.loads.zone
	proofs := s.workers.ProbeResults()
	top.ApplyReport(now, &wire.LoadReport{Source: ownSource, Workers: s.workers.Loads(), Proofs: proofs})
	switch sums := zone.Sums(now, s.zoneSource()); {
	case sums == nil:
	case sums.Left:
		top.ApplyReport(now, sums)
		s.loads.limits.leave(now, s.zoneSource())
	default:
		top.ApplyReport(now, sums)
		s.loads.limits.tellSelf(now, s.zoneSource(), s.settings.Zone, int(sums.Sources))
	}
	s.noteJudged(top)
	above := top.UpdateForHub(now, s.zoneSource())
	zone.SetParentLoads(now, above.Rows, above.UnlistedRate, above.Omitted > 0)
	s.loads.reporting.Store(int64(top.SourceCount(now)) - 1)
	own := top.UpdateFor(now, ownSource)
	s.workers.SetUnlistedRate(own.UnlistedRate)
	s.workers.SetPeerLoads(now, own.Rows, balance.ScopeAll)
	s.workers.SetOrders(s.order(now, ownSource, s.waiting(), s.workers.Items()))
}

// ownPause returns the time to the next plan of the top hub for itself: as long as other
// runners wait where news age slowly.
func (s *Store) ownPause() time.Duration {
	pause := loadshare.HubReportInterval(s.workers.RequestRate(), s.loads.listed.Len())
	if pause <= loadshare.Interval {
		return ownInterval
	}
	return pause
}

// tellZone tells the top hub the sums over the zone that reports here, while another
// process is the top hub.
func (s *Store) tellZone(ctx context.Context) {
	err := loadshare.Report(ctx, &loadshare.Reporter{
		Meter: s.daemon.Traffic,
		Hubs:  s.topHubs,
		Report: func() *wire.LoadReport {
			if s.groups[hubGroup].leads() {
				return nil
			}
			s.loads.hubs.Lock()
			defer s.loads.hubs.Unlock()
			now := clock.Now()
			sums := s.loads.zone.Sums(now, s.zoneSource())
			if sums != nil && !sums.Left {
				s.noteLeft(now, "summed", s.loads.zone.OmittedCount())
				sums.Zone, sums.Tenants = s.settings.Zone, s.loads.limits.report(now)
			}
			return sums
		},
		OnAnswer: func(now time.Time, answer *wire.LoadReport) {
			s.loads.hubs.Lock()
			defer s.loads.hubs.Unlock()
			s.loads.zone.SetParentLoads(now, answer.Workers, int(answer.Rest), answer.Part)
			s.loads.limits.learn(now, answer.Tenants)
		},
		Interval: func() time.Duration {
			s.loads.hubs.Lock()
			defer s.loads.hubs.Unlock()
			return loadshare.HubReportInterval(s.loads.zone.RequestRate(), s.loads.listed.Len())
		},
	})
	if err != nil {
		logging.Warn(s.logger, "zone_not_told", "error", err)
	}
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
		Hubs:  s.topHubs,
		Report: func() *wire.LoadReport {
			led := s.ledGroups()
			if len(led) == 0 || s.groups[hubGroup].leads() {
				return nil
			}
			proofs := s.workers.ProbeResults()
			return &wire.LoadReport{Source: source, Workers: s.workers.Loads(), Proofs: proofs, Waiting: uint32(s.waiting()), Groups: led}
		},
		OnAnswer: func(now time.Time, answer *wire.LoadReport) {
			s.workers.SetUnlistedRate(int(answer.Rest))
			s.workers.SetPeerLoads(now, answer.Workers, balance.ScopeAll)
			s.loads.reporting.Store(int64(answer.Sources))
			s.loads.learn(now, answer.Groups)
		},
		Interval: func() time.Duration {
			return loadshare.HubReportInterval(s.workers.RequestRate(), s.watcher.Current().Workers.Len())
		},
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_told", "error", err)
	}
}

// batchShare returns the part of a worker's slots, in hundredths, that items of this
// process may take while no planner is heard.
func (s *Store) batchShare() int {
	runners := min(len(s.watcher.Current().Fleet.Stores), s.groupCount())
	return max(s.settings.BatchShare/max(runners, 1), 1)
}
