package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/wire"
)

// TestRefusedItemsRunInCalm guards against refused items that wait for minutes although the workers are
// calm, and against all of them starting at the first calm moment.
func TestRefusedItemsRunInCalm(t *testing.T) {
	const items = 50
	now := time.Unix(1000, 0)
	lastExit := now
	var pacer Pacer
	held := make([]HeldItem, items)
	for i := range held {
		held[i].Since = now
	}
	started, done := 0, 0
	start := func() (count int) {
		for started < items && pacer.MayRun(now, lastExit, &held[started]) {
			pacer.Start()
			started++
			count++
		}
		return count
	}
	now = now.Add(CalmTime - 1)
	if start() > 0 {
		t.Error("an item started before the workers were calm")
	}
	now = now.Add(1)
	if first := start(); first != 1 {
		t.Errorf("%d items started at the first calm moment, want 1", first)
	}
	for done < items {
		now = now.Add(GoodRunTime)
		for ended := started - done; ended > 0; ended-- {
			pacer.Succeed()
			done++
		}
		if running := start(); running > 2*done {
			t.Errorf("%d items started after %d had run well", running, done)
		}
	}
	if took := now.Sub(lastExit); took > 15*time.Second {
		t.Errorf("the last of %d items ran %s after the last exit", items, took)
	}
}

// TestCrashingItemIsPaced guards against an item that ends worker after worker, and against one that is
// held back for good while workers exit all the time.
func TestCrashingItemIsPaced(t *testing.T) {
	start := time.Unix(1000, 0)
	now, lastExit := start, start
	var pacer Pacer
	item := HeldItem{Since: now}
	exits, longest, previous := 0, time.Duration(0), now
	for ; now.Sub(start) < 10*time.Minute; now = now.Add(100 * time.Millisecond) {
		if !pacer.MayRun(now, lastExit, &item) {
			continue
		}
		longest = max(longest, now.Sub(previous))
		pacer.Start()
		pacer.Fail(now, &item)
		lastExit, previous = now, now
		exits++
	}
	if longest > maxRetryDelay+CalmTime {
		t.Errorf("the item waited %s", longest)
	}
	if most := int(10*time.Minute/maxRetryDelay) + 5; exits > most {
		t.Errorf("the item ended %d workers, want at most %d", exits, most)
	}

	item = HeldItem{Since: now}
	for waited := time.Duration(0); waited < maxRetryDelay; waited += time.Second {
		if pacer.MayRun(now.Add(waited), now.Add(waited), &item) {
			t.Fatalf("the item runs %s after its refusal although workers exit", waited)
		}
	}
	if at := now.Add(maxRetryDelay); !pacer.MayRun(at, at, &item) {
		t.Error("the item never runs while workers exit")
	}
}

// refusedPart returns a table and the timers of a leader that has seen a part refused in a burst, in
// which its first two trials failed, too.
func refusedPart(t *testing.T, start time.Time, part Fingerprint) (*Table, *Timers, time.Time) {
	t.Helper()
	table, timers, now := NewTable(), NewTimers(), start
	exit := func(worker uint32) {
		table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: []wire.RunReport{exitReport(part, worker)}})
	}
	for worker := range uint32(Threshold) {
		exit(worker + 1)
	}
	for trial := range 2 {
		grantTrial(t, table, timers, &now, part, false)
		now = now.Add(300 * time.Millisecond)
		exit(uint32(10 + trial))
		timers.Tick(now, table)
	}
	return table, timers, now
}

// grantTrial advances now until a trial of the part is granted, and commits it. It returns the wait.
func grantTrial(t *testing.T, table *Table, timers *Timers, now *time.Time, part Fingerprint, owed bool) time.Duration {
	t.Helper()
	asked := *now
	for {
		granted, wait := timers.GrantTrial(*now, table, []Fingerprint{part}, owed)
		if granted {
			table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Trial: uint64(part)})
			return now.Sub(asked)
		}
		*now = now.Add(wait)
	}
}

// TestOwedItemIsTriedInCalm guards against items that wait for minutes because a part of their prompts
// was refused in a burst of exits that also broke off its trials.
func TestOwedItemIsTriedInCalm(t *testing.T) {
	const part = 7
	table, timers, now := refusedPart(t, time.Unix(1000, 0), part)
	if wait := grantTrial(t, table, timers, &now, part, true); wait > CalmTime+time.Second {
		t.Errorf("an owed item waits %s for its trial after the last exit", wait)
	}
}

// TestBurstExitsAreNoCalmFailures guards against trials in calm that count as failed because another
// burst broke them off.
func TestBurstExitsAreNoCalmFailures(t *testing.T) {
	const part, other = 7, 8
	table, timers, now := refusedPart(t, time.Unix(1000, 0), part)
	for burst := range uint32(6) {
		if wait := grantTrial(t, table, timers, &now, part, true); wait > 2*CalmTime {
			t.Fatalf("after %d bursts an owed item waits %s", burst, wait)
		}
		now = now.Add(300 * time.Millisecond)
		table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: []wire.RunReport{exitReport(part, 100+burst), exitReport(other, 200+burst)}})
		timers.Tick(now, table)
		now = now.Add(trialTimeout)
	}
}

// TestTrialInBurstOfIdleWorkersIsNoCalmFailure guards against an owed item that waits for minutes because
// its trial met a burst in which no other request ran, so that only the list of workers shows the exits.
func TestTrialInBurstOfIdleWorkersIsNoCalmFailure(t *testing.T) {
	const part, listInterval = 7, 500 * time.Millisecond
	table, timers, now := refusedPart(t, time.Unix(1000, 0), part)
	timers.RecordList(now, now, nil)
	grantTrial(t, table, timers, &now, part, true)
	for trial := range uint32(6) {
		// The next burst breaks off the trial, and the list shows the other workers later.
		now = now.Add(300 * time.Millisecond)
		table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: []wire.RunReport{exitReport(part, 100+trial)}})
		timers.Tick(now, table)
		now = now.Add(trialTimeout)
		if granted, wait := timers.GrantTrial(now, table, []Fingerprint{part}, true); granted || wait > CalmTime {
			t.Fatalf("granted %t, wait %s before the list is read", granted, wait)
		}
		for worker := range 10 {
			timers.RecordList(now, now, []string{fmt.Sprint("other-", trial, worker)})
			if granted, _ := timers.GrantTrial(now, table, []Fingerprint{part}, true); granted {
				t.Fatal("a trial is granted as in calm although the list shows exits")
			}
			now = now.Add(listInterval)
		}
		if wait := grantTrial(t, table, timers, &now, part, true); wait > CalmTime {
			t.Fatalf("after %d bursts an owed item waits %s", trial+1, wait)
		}
	}
}

// TestHarmfulPartEndsFewWorkersBesideList guards against a part that ends worker after worker because the
// outcome of its trial waits for a list of workers that is never read again.
func TestHarmfulPartEndsFewWorkersBesideList(t *testing.T) {
	const part = 7
	start := time.Unix(1000, 0)
	table, timers, now := refusedPart(t, start, part)
	timers.RecordList(now, now, nil)
	grantTrial(t, table, timers, &now, part, true)
	now = now.Add(300 * time.Millisecond)
	table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: []wire.RunReport{exitReport(part, 50)}})
	timers.Tick(now, table)
	if wait := grantTrial(t, table, timers, &now, part, true); wait < thirdTrialDelay-CalmTime-time.Second {
		t.Errorf("after a trial that failed in calm the next one starts %s later", wait)
	}
}

// TestHarmfulPartEndsFewWorkers guards against items that end worker after worker under a part of their
// prompts, because they are owed.
func TestHarmfulPartEndsFewWorkers(t *testing.T) {
	const part = 7
	start := time.Unix(1000, 0)
	table, timers, now := refusedPart(t, start, part)
	exits := Threshold + 2
	for worker := uint32(50); ; worker++ {
		grantTrial(t, table, timers, &now, part, true)
		if now.Sub(start) > time.Minute {
			break
		}
		exits++
		now = now.Add(300 * time.Millisecond)
		table.Apply(&wire.QuarantineCommand{AtMillis: now.UnixMilli(), Runs: []wire.RunReport{exitReport(part, worker)}})
		timers.Tick(now, table)
		now = now.Add(trialTimeout)
	}
	if exits > maxExits {
		t.Errorf("%d workers ended within a minute, want at most %d", exits, maxExits)
	}
}
