package loadshare

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// zones is a top hub with the hubs of three zones, and a single hub that receives all reports for
// comparison.
type zones struct {
	single *Hub
	top    *Hub
	hubs   [3]*Hub
}

func newZones() *zones {
	z := &zones{single: NewHub(), top: NewHub()}
	for i := range z.hubs {
		z.hubs[i] = NewHub()
	}
	return z
}

// name returns the source of a zone's sums.
func (z *zones) name(zone int) uint32 { return uint32(1000 + zone) }

// exchange sends the sums of each zone to the top hub and then its answers to the zones.
func (z *zones) exchange(now time.Time, mutation string) {
	for i, hub := range z.hubs {
		if sums := hub.Sums(now, z.name(i)); sums != nil {
			z.top.ApplyReport(now, sums)
		}
	}
	for i, hub := range z.hubs {
		except := z.name(i)
		if mutation == "own sums are returned" {
			except = 0
		}
		hub.SetParentLoads(now, z.top.PeerLoads(now, except), 0, false)
	}
}

// online returns the online requests by worker.
func online(rows []wire.WorkerLoad) map[uint32]uint16 {
	counts := map[uint32]uint16{}
	for i := range rows {
		if rows[i].Online > 0 {
			counts[rows[i].Worker] = rows[i].Online
		}
	}
	return counts
}

// TestZoneHubsMatchSingleHub checks with random reports that, once the zones have exchanged
// their sums, every process receives the same loads as from a single hub: no report is missed, and
// none counts twice.
func TestZoneHubsMatchSingleHub(t *testing.T) {
	if err := simulateZones(""); err != nil {
		t.Error(err)
	}
}

// TestZoneMutationsAreDetected is a mutation check: simulateZones must fail under each mutation.
func TestZoneMutationsAreDetected(t *testing.T) {
	for _, mutation := range []string{"own sums are returned", "leaving is not reported", "the top hub is unreachable"} {
		if simulateZones(mutation) == nil {
			t.Errorf("mutation not detected: %s", mutation)
		}
	}
}

// simulateZones lets processes report to the hubs of their zones and to a single hub, moves them
// to other zones' hubs now and then, and compares the loads they receive.
func simulateZones(mutation string) error {
	random := rand.New(rand.NewPCG(7, 7))
	z, now := newZones(), start
	const processes = 12
	hubOf := map[uint32]int{}
	for step := range 500 {
		now = now.Add(time.Duration(random.IntN(int(ReportTTL / 2))))
		for process := range uint32(processes) {
			if random.IntN(3) == 0 {
				continue
			}
			if random.IntN(10) == 0 {
				if mutation != "leaving is not reported" {
					z.hubs[hubOf[process]].ApplyReport(now, &wire.LoadReport{Source: process + 1, Left: true})
				}
				hubOf[process] = random.IntN(len(z.hubs))
			}
			report := &wire.LoadReport{Source: process + 1}
			for worker := range uint32(5) {
				if random.IntN(2) == 0 {
					report.Workers = append(report.Workers, wire.WorkerLoad{Worker: worker, Online: uint16(1 + random.IntN(4)), Answered: 1})
				}
			}
			z.single.ApplyReport(now, report)
			z.hubs[hubOf[process]].ApplyReport(now, report)
		}
		for _, hub := range append([]*Hub{z.single, z.top}, z.hubs[:]...) {
			hub.nextExpiry = time.Time{}
		}
		if mutation != "the top hub is unreachable" {
			z.exchange(now, mutation)
		}
		for process := range uint32(processes) {
			want := online(z.single.PeerLoads(now, process+1))
			got := online(z.hubs[hubOf[process]].PeerLoads(now, process+1))
			if !maps.Equal(got, want) {
				return errors.Newf("step %d: process %d receives %v, want %v", step, process, got, want)
			}
		}
		if got, want := z.top.SourceCount(now), z.single.SourceCount(now); got != want {
			return errors.Newf("step %d: %d processes report, want %d", step, got, want)
		}
	}
	return nil
}

// TestReportsExpireOnAllHubs stops the reports of a process: no hub may count it after one
// ReportTTL of its zone's hub and one of the top hub.
func TestReportsExpireOnAllHubs(t *testing.T) {
	z, now := newZones(), start
	z.hubs[0].ApplyReport(now, report(1, 7, 3))
	z.exchange(now, "")
	if got := online(z.hubs[1].PeerLoads(now, 0)); got[7] != 3 {
		t.Fatalf("another zone receives %v", got)
	}
	for range int(2*ReportTTL/Interval) + 1 {
		now = now.Add(Interval)
		z.exchange(now, "")
	}
	for i, hub := range z.hubs {
		if got := online(hub.PeerLoads(now, 0)); len(got) != 0 {
			t.Errorf("zone %d still receives %v", i, got)
		}
	}
}

// TestZoneContinuesWithoutTopHub makes the top hub unresponsive: the processes of a zone must still
// know each other's loads, and the speed of workers from their own observations.
func TestZoneContinuesWithoutTopHub(t *testing.T) {
	z, now := newZones(), start
	z.hubs[1].ApplyReport(now, report(2, 7, 2))
	z.exchange(now, "")
	for range 20 {
		now = now.Add(Interval)
		z.hubs[0].ApplyReport(now, speedReport(1, 1, 5, 500))
		z.hubs[0].ApplyReport(now, report(3, 7, 4))
	}
	rows := z.hubs[0].PeerLoads(now, 1)
	if len(rows) != 1 || rows[0].Online != 4 || rows[0].Step != 100 || rows[0].Rate == 0 {
		t.Errorf("received %+v", rows)
	}
}

// TestLeavingProcessIsNotCounted checks that a process that announces that it reports elsewhere is
// no longer counted.
func TestLeavingProcessIsNotCounted(t *testing.T) {
	hub := NewHub()
	hub.ApplyReport(start, report(1, 7, 3))
	hub.ApplyReport(start, report(2, 7, 1))
	hub.ApplyReport(start, &wire.LoadReport{Source: 1, Left: true})
	if rows := hub.PeerLoads(start, 0); len(rows) != 1 || rows[0].Online != 1 || hub.SourceCount(start) != 1 {
		t.Errorf("%+v of %d processes", rows, hub.SourceCount(start))
	}
}

// TestSumsReportObservationsOnce checks that what processes observed at a worker is reported to the
// parent hub once, summed up, with the smallest count that the worker reported about itself.
func TestSumsReportObservationsOnce(t *testing.T) {
	hub := NewHub()
	hub.ApplyReport(start, &wire.LoadReport{Source: 1, Workers: []wire.WorkerLoad{{Worker: 7, Told: 9, Answered: 2, Failed: 1, Steps: 3, StepMicros: 30}}})
	hub.ApplyReport(start, &wire.LoadReport{Source: 2, Workers: []wire.WorkerLoad{{Worker: 7, Told: 6, Answered: 1, Steps: 1, StepMicros: 10}}})
	want := []wire.WorkerLoad{{Worker: 7, Told: 6, Answered: 3, Failed: 1, Steps: 4, StepMicros: 40}}
	sums := hub.Sums(start, 100)
	if !sums.Sums || sums.Sources != 2 || !slices.Equal(sums.Workers, want) {
		t.Errorf("%+v", sums)
	}
	if sums = hub.Sums(start, 100); len(sums.Workers) != 0 {
		t.Errorf("the second report repeats %+v", sums)
	}
}
