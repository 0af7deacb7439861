package balance

import (
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/loadshare"
	"github.com/sedgemast/sedgemast/internal/proptest"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerset"
)

// freeSlots is the number of slots of a worker in these tests.
const freeSlots = 8

// tableOfZones returns the table of a process in zone z0 with workers spread over a number of
// zones.
func tableOfZones(workers, zones int) *Table {
	var rows []wire.PoolWorker
	for number := range workers {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: fmt.Sprintf("z%d", number%zones), Slots: freeSlots})
	}
	t := NewTable("z0", randv2.New(randv2.NewPCG(1, 2)))
	t.Update(start, workerset.Of(rows), nil)
	return t
}

// setPeerOnline sets the number of online requests that peers have at each worker.
func setPeerOnline(t *Table, online []int) {
	loads := make([]wire.WorkerLoad, 0, len(online))
	for number, count := range online {
		loads = append(loads, wire.WorkerLoad{Worker: loadshare.WorkerHash(fmt.Sprintf("w%d", number)), Online: uint16(count), Rate: 100})
	}
	t.SetPeerLoads(start, loads, ScopeAll)
}

// TestFindCandidateFindsFreeSlots calls FindCandidate on random pools of one zone: it finds a
// worker with a free slot whenever there is one, and acquires nothing.
func TestFindCandidateFindsFreeSlots(t *testing.T) {
	proptest.Run(t, "free slots", func(random *rand.Rand) error {
		online := make([]int, 1+random.Intn(60))
		free := 0
		for i := range online {
			if online[i] = freeSlots + random.Intn(4); random.Intn(20) == 0 {
				online[i] = random.Intn(freeSlots)
				free++
			}
		}
		table := tableOfZones(len(online), 1)
		setPeerOnline(table, online)
		request := &Request{Pool: "p"}
		candidate := table.FindCandidate(start, request, SearchOptions{Peers: 1})
		if candidate.Full != (free == 0) || candidate.LeftToPeers || candidate.Full != (candidate.Wait > 0) || candidate.MaxWait < candidate.Wait {
			return errors.Newf("%d workers have a free slot: %+v", free, candidate)
		}
		if loads := table.Loads(); len(loads) > 0 || table.AcquiredCount() > 0 {
			return errors.Newf("FindCandidate acquired something: %+v", loads)
		}
		lease := table.AcquireCandidate(start, request, candidate)
		if loads := table.Loads(); lease.Endpoint.ID != candidate.Worker || len(loads) != 1 {
			return errors.Newf("acquired %+v, want %+v", loads, candidate)
		}
		lease.Release()
		return nil
	})
}

// TestFewFreeSlotsAreSharedAtRandom lets many processes see the same free slot: each of them
// usually leaves it to the others. The process that released the slot takes it, and so does a
// process without peers.
func TestFewFreeSlotsAreSharedAtRandom(t *testing.T) {
	const polls = 1000
	online := []int{freeSlots, freeSlots - 1, freeSlots}
	table := tableOfZones(len(online), 1)
	setPeerOnline(table, online)
	taken := func(search SearchOptions) (count int) {
		for range polls {
			if candidate := table.FindCandidate(start, &Request{Pool: "p"}, search); !candidate.LeftToPeers && !candidate.Full {
				count++
			}
		}
		return count
	}
	if count := taken(SearchOptions{Peers: 1}); count != polls {
		t.Errorf("without peers: %d of %d", count, polls)
	}
	if count := taken(SearchOptions{Peers: 51, ReleasedWorker: "w1"}); count != polls {
		t.Errorf("with the released slot: %d of %d", count, polls)
	}
	if count := taken(SearchOptions{Peers: 51}); count < polls/20 || count > polls/4 {
		t.Errorf("with 50 peers: %d of %d", count, polls)
	}
}

// tableOfSlots returns the table of a process in zone z0, with one worker per given zone, each
// with the given number of slots and the given online requests of peers.
func tableOfSlots(slots int, online []int, zones ...string) *Table {
	var rows []wire.PoolWorker
	for number, zone := range zones {
		rows = append(rows, wire.PoolWorker{ID: fmt.Sprintf("w%d", number), Pool: "p", Zone: zone, Slots: slots})
	}
	t := NewTable("z0", randv2.New(randv2.NewPCG(1, 2)))
	t.Update(start, workerset.Of(rows), nil)
	setPeerOnline(t, online)
	return t
}

// TestMostlyFreeSlotsAreTaken calls FindCandidate on small pools: while more than half of the
// slots are free, or their number is unknown, no process leaves a slot to its peers.
func TestMostlyFreeSlotsAreTaken(t *testing.T) {
	const polls, peers = 1000, 51
	for _, test := range []struct {
		name   string
		slots  int
		online []int
		zones  []string
		// least and most bound how many of the polls find a slot.
		least, most int
	}{
		{"four slots", 4, []int{0}, []string{"z0"}, polls, polls},
		{"one of four held", 4, []int{1}, []string{"z0"}, polls, polls},
		{"three of four held", 4, []int{3}, []string{"z0"}, polls / 20, polls / 4},
		{"eight slots", 8, []int{0}, []string{"z0"}, polls, polls},
		{"three of eight held", 4, []int{2, 1}, []string{"z0", "z0"}, polls, polls},
		{"seven of eight held", 4, []int{3, 4}, []string{"z0", "z0"}, polls / 20, polls / 4},
		{"one slot free here, none in two more zones", 8, []int{7, 8, 8}, []string{"z0", "z1", "z2"}, polls / 5, polls / 2},
		{"a zone without workers", 8, []int{0}, []string{"z1"}, polls, polls},
		{"a zone without workers, three of eight held there", 8, []int{3}, []string{"z1"}, polls, polls},
		{"a zone without workers, seven of eight held there", 8, []int{7}, []string{"z1"}, 0, polls / 20},
		{"number of slots unknown", 0, []int{1, 5}, []string{"z0", "z0"}, polls, polls},
		{"number of slots unknown, in another zone", 0, []int{1}, []string{"z1"}, polls, polls},
	} {
		table := tableOfSlots(test.slots, test.online, test.zones...)
		found := 0
		for poll := range polls {
			candidate := table.FindCandidate(start.Add(time.Duration(poll)*time.Microsecond), &Request{Pool: "p"}, SearchOptions{Peers: peers})
			if !candidate.Full && !candidate.LeftToPeers {
				found++
			}
			if test.slots == 0 && !candidate.Spare {
				t.Fatalf("%s: %+v", test.name, candidate)
			}
		}
		if found < test.least || found > test.most {
			t.Errorf("%s: %d of %d polls find a slot", test.name, found, polls)
		}
	}
}

// TestReserveIsBounded sets a high request rate, as with short requests. Slots count as spare as
// soon as more than an eighth of them is free, in this zone and in another.
func TestReserveIsBounded(t *testing.T) {
	for _, zone := range []string{"z0", "z1"} {
		for free := 1; free <= freeSlots; free++ {
			table := tableOfSlots(freeSlots, nil, zone, zone)
			var loads []wire.WorkerLoad
			for number := range 2 {
				held := freeSlots
				if number == 0 {
					held -= free
				}
				loads = append(loads, wire.WorkerLoad{Worker: loadshare.WorkerHash(fmt.Sprintf("w%d", number)), Online: uint16(held), Rate: 20000})
			}
			table.SetPeerLoads(start, loads, ScopeAll)
			candidate := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: 1})
			if want := free > 2*freeSlots/reservedDivisor; candidate.Spare != want {
				t.Errorf("%d of %d free in %s: %+v", free, 2*freeSlots, zone, candidate)
			}
		}
	}
}

// TestProbeGrantLastsUntilAcquired finds an avoided worker that the hub granted as a probe: the
// grant lasts until the candidate is acquired, and the slot is never left to peers.
func TestProbeGrantLastsUntilAcquired(t *testing.T) {
	const polls = 100
	table := tableOfZones(3, 1)
	loads := []wire.WorkerLoad{failingLoad("w1", 0)}
	for _, id := range []string{"w0", "w2"} {
		loads = append(loads, wire.WorkerLoad{Worker: loadshare.WorkerHash(id), Online: freeSlots})
	}
	table.SetPeerLoads(start, loads, ScopeAll)
	table.SetProbes(start, []uint32{loadshare.WorkerHash("w1")})
	request := &Request{Pool: "p", Repeatable: true}
	var candidate *Candidate
	for poll := range polls {
		candidate = table.FindCandidate(start, request, SearchOptions{Peers: 51})
		if candidate.Worker != "w1" || !candidate.Spare || candidate.LeftToPeers || candidate.Full {
			t.Fatalf("poll %d: %+v", poll, candidate)
		}
	}
	lease := table.AcquireCandidate(start, request, candidate)
	if !lease.IsProbe() {
		t.Error("the lease is not a probe")
	}
	lease.Release()
	if candidate := table.FindCandidate(start, request, SearchOptions{Peers: 51}); candidate.Worker == "w1" && candidate.Spare {
		t.Errorf("a second probe for one grant: %+v", candidate)
	}
}

// TestFreeSlotsInOtherZonesAreUsed fills this zone while another one has many free slots:
// requests go there, as many as fit.
func TestFreeSlotsInOtherZonesAreUsed(t *testing.T) {
	const workers, peers = 20, 10
	online := make([]int, workers)
	for number := range online {
		if number%2 == 0 {
			online[number] = freeSlots
		}
	}
	table := tableOfZones(workers, 2)
	setPeerOnline(table, online)
	if candidate := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: peers}); candidate.Full {
		t.Errorf("%+v although another zone is idle", candidate)
	}
	// All slots but one are in use there: a tenth of the peers may go.
	for number := range online {
		online[number] = freeSlots
	}
	online[1]--
	setPeerOnline(table, online)
	count := 0
	const polls = 1000
	for poll := range polls {
		if candidate := table.FindCandidate(start.Add(time.Duration(poll)*time.Microsecond), &Request{Pool: "p"}, SearchOptions{Peers: peers}); !candidate.Full {
			count++
		}
	}
	if count > polls/peers {
		t.Errorf("%d of %d requests go to the only free slot in another zone", count, polls)
	}
}

// TestMaxWaitIsRarelyExceeded checks how many simulated waits exceed MaxWait, for a worker with
// eight slots that are held for 0.75 s.
func TestMaxWaitIsRarelyExceeded(t *testing.T) {
	const holdTime = 750 * time.Millisecond
	table := tableOfZones(1, 1)
	random := rand.New(rand.NewSource(1))
	for deficit := 1; deficit <= 3; deficit++ {
		setPeerOnline(table, []int{freeSlots + deficit - 1})
		table.pools["p"].holdTime = holdTime
		candidate := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: 1})
		late := 0
		const draws = 10000
		for range draws {
			ends := make([]float64, freeSlots)
			for i := range ends {
				ends[i] = random.Float64()
			}
			slices.Sort(ends)
			if time.Duration(ends[deficit-1]*float64(holdTime)) > candidate.MaxWait {
				late++
			}
		}
		t.Logf("deficit %d: mean wait %s, maximum %s, %d of %d wait longer", deficit, candidate.Wait, candidate.MaxWait, late, draws)
		if late > draws/15 {
			t.Errorf("deficit %d: %d of %d wait longer than %s", deficit, late, draws, candidate.MaxWait)
		}
	}
}

// BenchmarkFindCandidate measures FindCandidate in a pool whose slots are all in use.
func BenchmarkFindCandidate(b *testing.B) {
	for _, workers := range []int{72, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			online := make([]int, workers)
			for i := range online {
				online[i] = freeSlots
			}
			table := tableOfZones(workers, 4)
			setPeerOnline(table, online)
			b.ReportAllocs()
			for b.Loop() {
				if candidate := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: 51}); !candidate.Full {
					b.Fatalf("%+v", candidate)
				}
			}
		})
	}
}
