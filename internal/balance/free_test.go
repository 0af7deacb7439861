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
	t.Update(workerset.Of(rows), nil)
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

// TestLookFindsFreeSlots calls FindCandidate on random pools of one zone: it finds a worker with
// a free slot whenever there is one, and acquires nothing.
func TestLookFindsFreeSlots(t *testing.T) {
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
		demand := &Request{Pool: "p"}
		place := table.FindCandidate(start, demand, SearchOptions{Peers: 1})
		if place.Full != (free == 0) || place.LeftToPeers || place.Full != (place.Wait > 0) || place.MaxWait < place.Wait {
			return errors.Newf("%d workers have a slot free: %+v", free, place)
		}
		if loads := table.Loads(); len(loads) > 0 || table.AcquiredCount() > 0 {
			return errors.Newf("by looking: %+v", loads)
		}
		lease := table.AcquireCandidate(start, demand, place)
		if loads := table.Loads(); lease.Endpoint.ID != place.Worker || len(loads) != 1 {
			return errors.Newf("%+v was taken, not %+v", loads, place)
		}
		lease.Release()
		return nil
	})
}

// TestFewFreeSlotsAreSharedAtRandom lets many processes see the same free slot: each of them
// usually leaves it to the others. The process that released the slot takes it, and so does one
// without peers.
func TestFewFreeSlotsAreDrawnFor(t *testing.T) {
	const looks = 1000
	online := []int{freeSlots, freeSlots - 1, freeSlots}
	table := tableOfZones(len(online), 1)
	setPeerOnline(table, online)
	taken := func(search SearchOptions) (count int) {
		for range looks {
			if place := table.FindCandidate(start, &Request{Pool: "p"}, search); !place.LeftToPeers && !place.Full {
				count++
			}
		}
		return count
	}
	if count := taken(SearchOptions{Peers: 1}); count != looks {
		t.Errorf("alone: %d of %d", count, looks)
	}
	if count := taken(SearchOptions{Peers: 51, ReleasedWorker: "w1"}); count != looks {
		t.Errorf("who gave it back: %d of %d", count, looks)
	}
	if count := taken(SearchOptions{Peers: 51}); count < looks/20 || count > looks/4 {
		t.Errorf("one of 51: %d of %d", count, looks)
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
	t.Update(workerset.Of(rows), nil)
	setPeerOnline(t, online)
	return t
}

// TestMostlyFreeSlotsAreTaken calls FindCandidate on small pools: while more than half of the
// slots are free, or their number is unknown, no process leaves a slot to its peers.
func TestNobodyWaitsBesideIdleSlots(t *testing.T) {
	const looks, peers = 1000, 51
	for _, test := range []struct {
		name   string
		slots  int
		online []int
		zones  []string
		// least and most bound how many of the polls find a slot.
		least, most int
	}{
		{"four slots", 4, []int{0}, []string{"z0"}, looks, looks},
		{"one of four held", 4, []int{1}, []string{"z0"}, looks, looks},
		{"three of four held", 4, []int{3}, []string{"z0"}, looks / 20, looks / 4},
		{"eight slots", 8, []int{0}, []string{"z0"}, looks, looks},
		{"three of eight held", 4, []int{2, 1}, []string{"z0", "z0"}, looks, looks},
		{"seven of eight held", 4, []int{3, 4}, []string{"z0", "z0"}, looks / 20, looks / 4},
		{"one slot free here, none in two more zones", 8, []int{7, 8, 8}, []string{"z0", "z1", "z2"}, looks / 5, looks / 2},
		{"a zone without workers", 8, []int{0}, []string{"z1"}, looks, looks},
		{"a zone without workers, three of eight held there", 8, []int{3}, []string{"z1"}, looks, looks},
		{"a zone without workers, seven of eight held there", 8, []int{7}, []string{"z1"}, 0, looks / 20},
		{"slots not told", 0, []int{1, 5}, []string{"z0", "z0"}, looks, looks},
		{"slots not told, elsewhere", 0, []int{1}, []string{"z1"}, looks, looks},
	} {
		table := tableOfSlots(test.slots, test.online, test.zones...)
		found := 0
		for look := range looks {
			place := table.FindCandidate(start.Add(time.Duration(look)*time.Microsecond), &Request{Pool: "p"}, SearchOptions{Peers: peers})
			if !place.Full && !place.LeftToPeers {
				found++
			}
			if test.slots == 0 && !place.Spare {
				t.Fatalf("%s: %+v", test.name, place)
			}
		}
		if found < test.least || found > test.most {
			t.Errorf("%s: %d of %d looks find a place", test.name, found, looks)
		}
	}
}

// TestReserveIsBounded sets a high request rate, as with short requests. Slots count as spare as
// soon as more than an eighth of them is free, in this zone and in another.
func TestAnEighthIsReservedAtMost(t *testing.T) {
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
			place := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: 1})
			if want := free > 2*freeSlots/reservedDivisor; place.Spare != want {
				t.Errorf("%d of %d free in %s: %+v", free, 2*freeSlots, zone, place)
			}
		}
	}
}

// TestProbeGrantLastsUntilAcquired finds an avoided worker that the hub granted as a probe: the
// grant lasts until the candidate is acquired, and the slot is never left to peers.
func TestProbesAreKeptUntilTaken(t *testing.T) {
	const looks = 100
	table := tableOfZones(3, 1)
	loads := []wire.WorkerLoad{failingLoad("w1", 0)}
	for _, id := range []string{"w0", "w2"} {
		loads = append(loads, wire.WorkerLoad{Worker: loadshare.WorkerHash(id), Online: freeSlots})
	}
	table.SetPeerLoads(start, loads, ScopeAll)
	table.SetProbes(start, []uint32{loadshare.WorkerHash("w1")})
	demand := &Request{Pool: "p", Repeatable: true}
	var place *Candidate
	for look := range looks {
		place = table.FindCandidate(start, demand, SearchOptions{Peers: 51})
		if place.Worker != "w1" || !place.Spare || place.LeftToPeers || place.Full {
			t.Fatalf("look %d: %+v", look, place)
		}
	}
	lease := table.AcquireCandidate(start, demand, place)
	if !lease.IsProbe() {
		t.Error("the lease is no probe")
	}
	lease.Release()
	if place := table.FindCandidate(start, demand, SearchOptions{Peers: 51}); place.Worker == "w1" && place.Spare {
		t.Errorf("a second probe by one word: %+v", place)
	}
}

// TestFreeSlotsInOtherZonesAreUsed fills this zone while another one has many free slots:
// requests go there, as many as fit.
func TestRoomElsewhereIsUsed(t *testing.T) {
	const workers, peers = 20, 10
	online := make([]int, workers)
	for number := range online {
		if number%2 == 0 {
			online[number] = freeSlots
		}
	}
	table := tableOfZones(workers, 2)
	setPeerOnline(table, online)
	if place := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: peers}); place.Full {
		t.Errorf("%+v beside an idle zone", place)
	}
	// All slots but one are in use there: a tenth of the peers may go.
	for number := range online {
		online[number] = freeSlots
	}
	online[1]--
	setPeerOnline(table, online)
	count := 0
	const looks = 1000
	for look := range looks {
		if place := table.FindCandidate(start.Add(time.Duration(look)*time.Microsecond), &Request{Pool: "p"}, SearchOptions{Peers: peers}); !place.Full {
			count++
		}
	}
	if count > looks/peers {
		t.Errorf("%d of %d go to the only slot elsewhere", count, looks)
	}
}

// TestWaitsAtMost checks how many simulated waits exceed MaxWait, for a worker with eight slots
// that are held for 0.75 s.
func TestWaitsAtMost(t *testing.T) {
	const hold = 750 * time.Millisecond
	table := tableOfZones(1, 1)
	random := rand.New(rand.NewSource(1))
	for over := 1; over <= 3; over++ {
		setPeerOnline(table, []int{freeSlots + over - 1})
		table.pools["p"].holdTime = hold
		place := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: 1})
		late := 0
		const draws = 10000
		for range draws {
			ends := make([]float64, freeSlots)
			for i := range ends {
				ends[i] = random.Float64()
			}
			slices.Sort(ends)
			if time.Duration(ends[over-1]*float64(hold)) > place.MaxWait {
				late++
			}
		}
		t.Logf("%d before it: %s in the mean, %s at most, %d of %d wait longer", over, place.Wait, place.MaxWait, late, draws)
		if late > draws/15 {
			t.Errorf("%d before it: %d of %d wait longer than %s", over, late, draws, place.MaxWait)
		}
	}
}

// BenchmarkLook measures FindCandidate in a pool whose slots are all in use.
func BenchmarkLook(b *testing.B) {
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
				if place := table.FindCandidate(start, &Request{Pool: "p"}, SearchOptions{Peers: 51}); !place.Full {
					b.Fatalf("%+v", place)
				}
			}
		})
	}
}
