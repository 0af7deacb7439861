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

// hubGroup is the group whose leader is the top hub, to which all processes' loads are reported.
const hubGroup = 0

const (
	// maxWaitDivisor divides the tightest goal of a pool's routes: the result is how long an
	// online request may wait for an item to finish.
	maxWaitDivisor = 2
	// minOwnPlanInterval is the shortest time between two plans of the top hub for its own items.
	minOwnPlanInterval = 20 * time.Millisecond
)

// loads holds what this process knows of other processes' loads, and of the tokens that wait in
// the store groups.
type loads struct {
	// reporters counts the processes that report their loads to the top hub.
	reporters atomic.Int64

	// hubsMutex guards the fields below, up to mutex. zoneHub is the hub for the processes that
	// report here, topHub the one for all zones and runners while this process leads the hub group.
	hubsMutex sync.Mutex
	zoneHub   *loadshare.Hub
	topHub    *loadshare.Hub
	planner   *batchroom.Planner
	// nextPlanLog is the earliest time at which a plan may be logged again.
	nextPlanLog time.Time
	// forecasts holds the demand forecasts by pool.
	forecasts map[string]*forecast.Forecast
	// nextOwnPlan is the earliest time at which this process's own loads are applied again.
	nextOwnPlan time.Time
	// workers is the last list of workers. zoneWorkers holds the short names of the workers in this
	// process's zone, and otherWorkers those of the workers in other zones.
	workers      *workerset.Set
	zoneWorkers  loadshare.Set
	otherWorkers loadshare.Set
	// workerZones holds the zones of all workers by their short names.
	workerZones map[uint32]string
	random      *rand.Rand
	limits      *limiter
	// capacity measures the zone's capacity, which is divided among tenants.
	capacity *zoneCapacity
	// nextOmittedLog is the earliest time at which omitted loads may be logged again.
	nextOmittedLog time.Time

	// mutex guards the quotas.
	mutex  sync.Mutex
	quotas *quota.Tracker
}

func newLoads(tolerance ratelimit.Tolerance) *loads {
	seed := uint64(time.Now().UnixNano())
	return &loads{
		zoneHub:     loadshare.NewHub(),
		topHub:      loadshare.NewHub(),
		planner:     batchroom.New(),
		forecasts:   map[string]*forecast.Forecast{},
		random:      rand.New(rand.NewPCG(seed, seed)),
		workerZones: map[uint32]string{},
		limits:      newLimiter(clock.Now(), tolerance),
		capacity:    newZoneCapacity(),
		quotas:      quota.New(0),
	}
}

// setGroupCount sets the number of store groups.
func (l *loads) setGroupCount(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if count != l.quotas.GroupCount() {
		l.quotas = quota.New(count)
	}
}

// setWorkers applies a new list of workers, seen by a process in the zone.
func (l *loads) setWorkers(set *workerset.Set, zone string) {
	l.hubsMutex.Lock()
	defer l.hubsMutex.Unlock()
	// A restarted worker leaves the list as one incarnation and joins it as another with the
	// same short name, so removals come first.
	set.Diff(l.workers, func(*wire.PoolWorker) {}, func(row *wire.PoolWorker) {
		worker := loadshare.WorkerHash(row.ID)
		delete(l.workerZones, worker)
		l.zoneWorkers.Remove(worker)
		l.otherWorkers.Remove(worker)
	})
	set.Diff(l.workers, func(row *wire.PoolWorker) {
		worker := loadshare.WorkerHash(row.ID)
		l.workerZones[worker] = row.Zone
		if row.Zone == zone {
			l.otherWorkers.Remove(worker)
			l.zoneWorkers.Add(worker)
		} else {
			l.zoneWorkers.Remove(worker)
			l.otherWorkers.Add(worker)
		}
	}, func(*wire.PoolWorker) {})
	l.workers = set
}

// zoneOf returns the zone of a worker, given by its short name.
func (l *loads) zoneOf(worker uint32) string { return l.workerZones[worker] }

// inZone reports whether the worker is in this process's zone.
func (l *loads) inZone(worker uint32) bool { return l.zoneWorkers.Has(worker) }

// serveLoads answers load reports. Edges of the zone get the loads of all other processes.
// While this process leads the hub group, zone hubs get the loads of the other zones, and
// stores learn how many items they may start and must stop at each worker.
func (s *Store) serveLoads(ctx context.Context) {
	err := loadshare.Serve(ctx, s.daemon.Address(), func(report *wire.LoadReport) *wire.LoadReport {
		now := clock.Now()
		if isOriginReport(report) {
			return s.origins.answer(now, report)
		}
		err := s.groups[hubGroup].read(func(storage.Reader) error { return nil })
		s.loads.hubsMutex.Lock()
		defer s.loads.hubsMutex.Unlock()
		if err == nil {
			s.applyOwnLoads(now)
		}
		switch toTop := report.Sums || len(report.Groups) > 0; {
		case !toTop:
			return s.answerEdge(now, report)
		case err == nil:
			return s.answerAsTop(now, report)
		}
		return s.referral(err)
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_taken", "error", err)
	}
}

// referral returns an answer that names the top hub, for a process that took this one for the top
// hub. The address is that of the leader named by readErr, with which the hub group's replica here
// refused to be read. If readErr names no leader, the address comes from the fleet view.
func (s *Store) referral(readErr error) *wire.LoadReport {
	hub := consensus.LeaderFromError(readErr)
	if hub == "" {
		hub = s.watcher.Current().Fleet.Group(hubGroup).Leader
	}
	if hub == "" || hub == s.daemon.Address() {
		return nil
	}
	return &wire.LoadReport{Hub: hub}
}

// topHubs returns the addresses at which to look for the top hub, the most likely first.
func (s *Store) topHubs() []string {
	fleet := &s.watcher.Current().Fleet
	hubPlace := fleet.Group(hubGroup)
	var hubs []string
	if hubPlace.Leader != "" {
		hubs = append(hubs, hubPlace.Leader)
	}
	for _, address := range append(slices.Clone(hubPlace.Members), fleet.StoreAddresses()...) {
		if !slices.Contains(hubs, address) {
			hubs = append(hubs, address)
		}
	}
	return hubs
}

// answerEdge applies and answers the report of an edge. The caller holds hubsMutex.
func (s *Store) answerEdge(now time.Time, report *wire.LoadReport) *wire.LoadReport {
	s.loads.zoneHub.ApplyReport(now, report)
	s.logHealthChanges(s.loads.zoneHub)
	verdicts := s.loads.limits.answerTokens(now, report.Tokens)
	capacityStandings := s.loads.capacity.answerClaims(now, report, verdicts)
	s.logCapacity(now)
	if report.Left || report.Quiet {
		return nil
	}
	answer := &wire.LoadReport{Verdicts: verdicts, Standings: capacityStandings}
	if report.Choosing && report.Repeatable {
		answer.Probes = s.loads.zoneHub.OnlineProbes(now, s.loads.inZone)
		s.logHealthChanges(s.loads.zoneHub)
	}
	// An edge of wire.GenerationFirst would assume that workers missing from a sample are idle.
	if loadshare.IsLargeZone(&s.loads.zoneWorkers) && !report.First {
		answer.Drawn = true
		if report.Choosing {
			sampled := loadshare.Sample(s.loads.random, report.Asked, &s.loads.zoneWorkers, &s.loads.otherWorkers)
			// An edge probes a worker only if the answer reports that worker as failing, so the
			// answer must include the workers that the edge may probe.
			sampled = append(sampled, answer.Probes...)
			slices.Sort(sampled)
			answer.Workers = s.loads.zoneHub.LoadsOf(now, report.Source, slices.Compact(sampled))
		}
		return answer
	}
	answer.Workers, answer.Part = loadshare.Subset(s.loads.zoneHub.PeerLoads(now, report.Source), report.Zone, s.loads.zoneOf, s.loads.random)
	answer.Part = answer.Part || s.loads.zoneHub.ParentPartial()
	return answer
}

// answerAsTop applies and answers the report of a zone's hub or of a store that runs items. The
// caller holds hubsMutex.
func (s *Store) answerAsTop(now time.Time, report *wire.LoadReport) *wire.LoadReport {
	s.loads.topHub.ApplyReport(now, report)
	s.logHealthChanges(s.loads.topHub)
	if report.Left {
		s.loads.limits.removeHub(now, report.Source)
	}
	if report.Left || report.Quiet {
		return nil
	}
	updateFor := s.loads.topHub.UpdateFor
	if report.Sums {
		updateFor = s.loads.topHub.UpdateForHub
	}
	update := updateFor(now, report.Source)
	s.logOmitted(now, "told", update.Omitted)
	answer := &wire.LoadReport{Workers: update.Rows, Rest: uint32(update.UnlistedRate), Part: update.Omitted > 0, Sources: uint16(s.loads.reporters.Load())}
	if report.Tenants != nil {
		answer.Tenants = s.loads.limits.answerHub(now, report)
	}
	if len(report.Groups) > 0 {
		s.loads.applyGroupTokens(now, report.Groups)
		s.loads.applyGroupTokens(now, s.ledGroupTokens())
		answer.Groups = s.loads.groupTokens(now)
		answer.Workers = withOrders(answer.Workers, s.planOrders(now, report.Source, int(report.Waiting), itemsOf(report)))
	}
	return answer
}

// omittedLogInterval is the shortest time between two log lines on omitted loads.
const omittedLogInterval = 10 * time.Second

// logOmitted logs that loads did not fit into a datagram. The caller holds hubsMutex.
func (s *Store) logOmitted(now time.Time, stage string, omitted int) {
	if omitted == 0 || now.Before(s.loads.nextOmittedLog) {
		return
	}
	s.loads.nextOmittedLog = now.Add(omittedLogInterval)
	logging.Warn(s.logger, "loads_left_out", "what", stage, "rows", omitted, "workers", s.loads.workers.Len())
}

// ownSource is the source under which the top hub applies its own loads.
const ownSource = 0

// zoneSource is the source under which this process reports the sums over its zone.
func (s *Store) zoneSource() uint32 { return loadshare.Hash(s.settings.Name + "/zone") }

// applyOwnLoads applies the loads of this process and its zone to the top hub, and gives orders
// to the runners of this process. The caller holds hubsMutex.
func (s *Store) applyOwnLoads(now time.Time) {
	if now.Before(s.loads.nextOwnPlan) {
		return
	}
	s.loads.nextOwnPlan = now.Add(s.ownPlanInterval())
	top, zone := s.loads.topHub, s.loads.zoneHub
	probes := s.workers.ProbeResults()
	top.ApplyReport(now, &wire.LoadReport{Source: ownSource, Workers: s.workers.Loads(), Proofs: probes})
	switch sums := zone.Sums(now, s.zoneSource()); {
	case sums == nil:
	case sums.Left:
		top.ApplyReport(now, sums)
		s.loads.limits.removeHub(now, s.zoneSource())
	default:
		top.ApplyReport(now, sums)
		s.loads.limits.syncOwnHub(now, s.zoneSource(), s.settings.Zone, int(sums.Sources))
	}
	s.logHealthChanges(top)
	parent := top.UpdateForHub(now, s.zoneSource())
	zone.SetParentLoads(now, parent.Rows, parent.UnlistedRate, parent.Omitted > 0)
	s.loads.reporters.Store(int64(top.SourceCount(now)) - 1)
	own := top.UpdateFor(now, ownSource)
	s.workers.SetUnlistedRate(own.UnlistedRate)
	s.workers.SetPeerLoads(now, own.Rows, balance.ScopeAll)
	s.workers.SetOrders(s.planOrders(now, ownSource, s.waitingItemCount(), s.workers.Items()))
}

// ownPlanInterval returns the time to the next plan of the top hub for its own items. It is
// minOwnPlanInterval while zone hubs and other runners report at the usual interval
// (loadshare.Interval). If they report less often, it is the interval of their reports.
func (s *Store) ownPlanInterval() time.Duration {
	interval := loadshare.HubReportInterval(s.workers.RequestRate(), s.loads.workers.Len())
	if interval <= loadshare.Interval {
		return minOwnPlanInterval
	}
	return interval
}

// reportZone reports the sums over the zone to the top hub while another process is the top hub.
func (s *Store) reportZone(ctx context.Context) {
	err := loadshare.Report(ctx, &loadshare.Reporter{
		Meter: s.daemon.Traffic,
		Hubs:  s.topHubs,
		Report: func() *wire.LoadReport {
			if s.groups[hubGroup].leads() {
				return nil
			}
			s.loads.hubsMutex.Lock()
			defer s.loads.hubsMutex.Unlock()
			now := clock.Now()
			sums := s.loads.zoneHub.Sums(now, s.zoneSource())
			if sums != nil && !sums.Left {
				s.logOmitted(now, "summed", s.loads.zoneHub.OmittedCount())
				sums.Zone, sums.Tenants = s.settings.Zone, s.loads.limits.report(now)
			}
			return sums
		},
		OnAnswer: func(now time.Time, answer *wire.LoadReport) {
			s.loads.hubsMutex.Lock()
			defer s.loads.hubsMutex.Unlock()
			s.loads.zoneHub.SetParentLoads(now, answer.Workers, int(answer.Rest), answer.Part)
			s.loads.limits.applyUpdate(now, answer.Tenants)
		},
		Interval: func() time.Duration {
			s.loads.hubsMutex.Lock()
			defer s.loads.hubsMutex.Unlock()
			return loadshare.HubReportInterval(s.loads.zoneHub.RequestRate(), s.loads.workers.Len())
		},
	})
	if err != nil {
		logging.Warn(s.logger, "zone_not_told", "error", err)
	}
}

// itemsOf returns the number of items that run at each worker, from a report.
func itemsOf(report *wire.LoadReport) map[uint32]int {
	items := make(map[uint32]int, len(report.Workers))
	for i := range report.Workers {
		if batch := report.Workers[i].Batch; batch > 0 {
			items[report.Workers[i].Worker] = int(batch)
		}
	}
	return items
}

// waitingItemCount returns the number of items that could start here.
func (s *Store) waitingItemCount() int {
	waiting := 0
	for _, g := range s.groups {
		waiting += int(g.runner.waiting.Load())
	}
	return waiting
}

// reportLoads reports to the top hub what this process runs, while another process is the top hub.
func (s *Store) reportLoads(ctx context.Context) {
	source := loadshare.Hash(s.settings.Name)
	err := loadshare.Report(ctx, &loadshare.Reporter{
		Meter: s.daemon.Traffic,
		Hubs:  s.topHubs,
		Report: func() *wire.LoadReport {
			led := s.ledGroupTokens()
			if len(led) == 0 || s.groups[hubGroup].leads() {
				return nil
			}
			probes := s.workers.ProbeResults()
			return &wire.LoadReport{Source: source, Workers: s.workers.Loads(), Proofs: probes, Waiting: uint32(s.waitingItemCount()), Groups: led}
		},
		OnAnswer: func(now time.Time, answer *wire.LoadReport) {
			s.workers.SetUnlistedRate(int(answer.Rest))
			s.workers.SetPeerLoads(now, answer.Workers, balance.ScopeAll)
			s.loads.reporters.Store(int64(answer.Sources))
			s.loads.applyGroupTokens(now, answer.Groups)
		},
		Interval: func() time.Duration {
			return loadshare.HubReportInterval(s.workers.RequestRate(), s.watcher.Current().Workers.Len())
		},
	})
	if err != nil {
		logging.Warn(s.logger, "loads_not_told", "error", err)
	}
}

// batchShare returns the share of a worker's slots, in percent, that items of this process may
// use while no planner can be reached.
func (s *Store) batchShare() int {
	runners := min(len(s.watcher.Current().Fleet.Stores), s.groupCount())
	return max(s.settings.BatchShare/max(runners, 1), 1)
}
