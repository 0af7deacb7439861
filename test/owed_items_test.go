package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

const (
	// burstTime is how long workers crash in the tests of owed items. Every burstInterval a half of them
	// exits, and each is back after burstRestart.
	burstTime     = 10 * time.Second
	burstInterval = 450 * time.Millisecond
	burstRestart  = 400 * time.Millisecond
	// calmBound is the longest time from the last exit to the results of all items.
	calmBound = 15 * time.Second
	// maxPartExits is how many workers may end under a part of prompts that online requests bring, once all
	// edges refuse it: eight in all, of which five end before. partTestTime is how long the part is brought
	// after that.
	maxPartExits = 8 - firstExits
	partTestTime = 20 * time.Second
)

// crashHalves makes a random half of the workers exit, again and again. permute returns a random
// permutation.
func (f *hostedFleet) crashHalves(duration time.Duration, permute func(int) []int) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(burstInterval) {
		for _, number := range permute(len(f.workers))[:len(f.workers)/2] {
			f.workers[number].Restart("", burstRestart)
		}
	}
}

// TestItemsUnderBurstOfExitsAreRunInCalm guards against items that are held back for a minute or more
// because workers exited under them by coincidence, though the workers have been calm and idle since.
func TestItemsUnderBurstOfExitsAreRunInCalm(t *testing.T) {
	const items, tokens, workers = 48, 300, 8
	f := newHostedFleet(t, workers)
	edges := f.configure(t)
	f.waitServing(t, edges[0])
	document := partDocument("j1", items, tokens, func(number int) string { return fmt.Sprintf("part-%d", number%3) })
	f.submitJob(t, edges[0], "/batch/", "j1", document)
	f.crashHalves(burstTime, rand.New(rand.NewPCG(1, 1)).Perm)
	calm := time.Now()
	done := func() (count int) {
		if page, _ := f.readResults(edges[0], "j1", 0); page != nil {
			for _, row := range page.Results {
				if row.State == "completed" {
					count++
				}
			}
		}
		return count
	}
	before := done()
	eventually(t, "the results of all items", func() bool { return done() == items })
	took := time.Since(calm)
	t.Logf("%d exits; %d of %d items done in the burst, all %s after it", f.exits(), before, items, took.Round(time.Millisecond))
	if took > calmBound {
		t.Errorf("the last item was done %s after the last exit, want at most %s", took, calmBound)
	}
	if before == items {
		t.Error("no item was left at the end of the burst")
	}
}

// TestOnlinePartEndsFewWorkersBesideItems guards against owed items that end worker after worker under a
// part of their prompts that online requests have brought, and that hold up the other items of their job.
func TestOnlinePartEndsFewWorkersBesideItems(t *testing.T) {
	const items, tokens = 24, 20
	f, edges, _ := newPartFleet(t)
	traffic := startPartTraffic(f, "all", edges, true)
	eventually(t, "five exits", func() bool { return f.exits() >= firstExits })
	for number, edge := range edges {
		eventually(t, "the part refused", func() bool {
			status, _ := f.sendPart(edge, "/stream/a", fmt.Sprintf("probe-%d", number), crashingPart)
			return status == http.StatusServiceUnavailable
		})
	}
	before := f.exits()
	f.submitJob(t, edges[0], "/batch/", "j1", partDocument("j1", items, tokens, crashingInHalf))
	submitted := time.Now()
	eventually(t, "the results of the other items", func() bool {
		page, _ := f.readResults(edges[1], "j1", 0)
		return page != nil && len(page.Results) == items/2
	})
	took := time.Since(submitted)
	time.Sleep(time.Until(submitted.Add(partTestTime)))
	traffic.end()
	exits := f.exits() - before
	t.Logf("%d exits, then %d beside the items; the other items done after %s", before, exits, took.Round(time.Millisecond))
	if exits > maxPartExits {
		t.Errorf("%d workers ended once the part was refused, want at most %d", exits, maxPartExits)
	}
	f.checkStates(t, edges[0], "j1", "completed")
}
