package fleetwatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/coordinator"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/listreader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// patience bounds what a test waits for; nothing is judged by it.
const patience = 60 * time.Second

type noWorkers struct{}

// Page implements listreader.Pages.
func (noWorkers) Page(context.Context, string, string) (listreader.Page, error) {
	return listreader.Page{}, nil
}

// startCoordinator runs a coordinator alone and returns its address.
func startCoordinator(tb testing.TB) string {
	tb.Helper()
	d, err := daemon.New(daemon.Options{Role: "coordinator", Name: "core-1", Listen: "127.0.0.1:0", Embedded: true})
	if err != nil {
		tb.Fatal(err)
	}
	config := settings.DefaultCoordinator()
	config.Name, config.DataFolder, config.Bootstrap, config.Tolerate = "core-1", tb.TempDir(), true, 0
	config.Seeds = []string{d.Address()}
	c, err := coordinator.New(d, config, noWorkers{})
	if err != nil {
		tb.Fatal(err)
	}
	// It ends with the kill.
	go func() { _ = d.Run() }()
	tb.Cleanup(func() {
		_ = d.Kill()
		_ = c.Close()
	})
	return d.Address()
}

// watchers runs so many processes that watch the coordinator.
func watchers(tb testing.TB, address string, count int) ([]*fleetwatch.Watcher, []*traffic.Meter) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	var all []*fleetwatch.Watcher
	var meters []*traffic.Meter
	for number := range count {
		meter := traffic.NewMeter()
		report := wire.ProcessReport{Kind: wire.ProcessEdge, Name: fmt.Sprintf("edge-%d", number)}
		w := fleetwatch.New(logging.Discard(), meter, []string{address}, func() wire.ProcessReport { return report })
		go w.Run(ctx)
		all, meters = append(all, w), append(meters, meter)
	}
	for _, w := range all {
		await(tb, func() bool { return !w.Current().LeaderSeenAt.IsZero() })
	}
	return all, meters
}

func await(tb testing.TB, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatal("it does not come about")
		}
	}
}

func stands(w *fleetwatch.Watcher, request quarantine.Fingerprint, want quarantine.Standing) func() bool {
	return func() bool { return w.Quarantine().Standing(clock.Now(), request) == want }
}

// TestRefusalReachesAll lets three processes see an end each: all refuse the request, one
// that comes later, too; one trial is granted, and its good end lets the request in again
// everywhere.
func TestRefusalReachesAll(t *testing.T) {
	const request = quarantine.Fingerprint(77)
	address := startCoordinator(t)
	all, _ := watchers(t, address, 5)
	for number := range 3 {
		all[number].Quarantine().RecordExit(clock.Now(), request, fmt.Sprintf("w-%d", number), time.Time{})
	}
	late, _ := watchers(t, address, 1)
	all = append(all, late...)
	for _, w := range all {
		await(t, stands(w, request, quarantine.Refused))
	}
	granted := 0
	await(t, func() bool {
		for _, w := range all {
			if w.Quarantine().TrialDelay(clock.Now(), request) > 0 {
				continue
			}
			if may, _ := w.RequestTrial(context.Background(), request); may {
				granted++
				w.Quarantine().RecordSuccess(clock.Now(), request)
				return true
			}
		}
		return false
	})
	if granted != 1 {
		t.Errorf("%d trials were granted", granted)
	}
	for _, w := range all {
		await(t, stands(w, request, quarantine.Unknown))
	}
}

// TestUnheardProcessRefusesByItself lets a process see three ends while no coordinator
// answers.
func TestUnheardProcessRefusesByItself(t *testing.T) {
	const request = quarantine.Fingerprint(77)
	w := fleetwatch.New(logging.Discard(), nil, []string{"127.0.0.1:1"}, func() wire.ProcessReport { return wire.ProcessReport{} })
	for number := range quarantine.Threshold {
		w.Quarantine().RecordExit(clock.Now(), request, fmt.Sprintf("w-%d", number), time.Time{})
	}
	if !stands(w, request, quarantine.Refused)() {
		t.Error("the request is not refused")
	}
	if may, wait := w.RequestTrial(context.Background(), request); may || wait <= 0 {
		t.Errorf("a trial is granted (%t), or may be asked for at once (%s)", may, wait)
	}
}
