package fleetwatch_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/coordinator"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/listreader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/quarantine"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/rpc/rpctest"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/traffic"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// testTimeout bounds what a test waits for. No result depends on it.
const testTimeout = 60 * time.Second

type noWorkers struct{}

// Page implements listreader.Pages.
func (noWorkers) Page(context.Context, string, string) (listreader.Page, error) {
	return listreader.Page{}, nil
}

// startCoordinator runs a single coordinator and returns its address.
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
	// Kill in the cleanup ends the goroutine.
	go func() { _ = d.Run() }()
	tb.Cleanup(func() {
		_ = d.Kill()
		_ = c.Close()
	})
	return d.Address()
}

// startWatchers runs count processes that watch the coordinator.
func startWatchers(tb testing.TB, address string, count int) ([]*fleetwatch.Watcher, []*traffic.Meter) {
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
		waitFor(tb, func() bool { return !w.Current().LeaderSeenAt.IsZero() })
	}
	return all, meters
}

func waitFor(tb testing.TB, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatal("the condition does not become true within testTimeout")
		}
	}
}

func hasStanding(w *fleetwatch.Watcher, request quarantine.Fingerprint, want quarantine.Standing) func() bool {
	return func() bool { return w.Quarantine().Standing(clock.Now(), request) == want }
}

// TestRefusalReachesAll lets three processes observe one exit each: all processes must refuse
// the request, including one that starts later. One trial is granted, and its success readmits
// the request everywhere.
func TestRefusalReachesAll(t *testing.T) {
	const request = quarantine.Fingerprint(77)
	address := startCoordinator(t)
	all, _ := startWatchers(t, address, 5)
	for number := range 3 {
		all[number].Quarantine().RecordExit(clock.Now(), &quarantine.Subject{Request: request}, fmt.Sprintf("w-%d", number), time.Time{})
	}
	late, _ := startWatchers(t, address, 1)
	all = append(all, late...)
	for _, w := range all {
		waitFor(t, hasStanding(w, request, quarantine.Refused))
	}
	granted := 0
	waitFor(t, func() bool {
		for _, w := range all {
			if w.Quarantine().TrialDelay(clock.Now(), []quarantine.Fingerprint{request}) > 0 {
				continue
			}
			if allowed, _ := w.RequestTrial(context.Background(), []quarantine.Fingerprint{request}, false); allowed {
				granted++
				w.Quarantine().RecordSuccess(clock.Now(), &quarantine.Subject{Request: request})
				return true
			}
		}
		return false
	})
	if granted != 1 {
		t.Errorf("%d trials were granted", granted)
	}
	for _, w := range all {
		waitFor(t, hasStanding(w, request, quarantine.Unknown))
	}
}

// TestProcessWithoutCoordinatorRefuses lets a process observe three exits while no coordinator
// answers.
func TestProcessWithoutCoordinatorRefuses(t *testing.T) {
	const request = quarantine.Fingerprint(77)
	w := fleetwatch.New(logging.Discard(), nil, []string{"127.0.0.1:1"}, func() wire.ProcessReport { return wire.ProcessReport{} })
	for number := range quarantine.Threshold {
		w.Quarantine().RecordExit(clock.Now(), &quarantine.Subject{Request: request}, fmt.Sprintf("w-%d", number), time.Time{})
	}
	if !hasStanding(w, request, quarantine.Refused)() {
		t.Error("the request is not refused")
	}
	if allowed, wait := w.RequestTrial(context.Background(), []quarantine.Fingerprint{request}, false); allowed || wait <= 0 {
		t.Errorf("a trial is granted (%t), or may be requested at once (retry after %s)", allowed, wait)
	}
}

// TestGrantToItemsIsNotLost guards against a trial that is granted, but whose answer comes after the item
// has given up: all others then wait for its outcome. It also guards against one request per item.
func TestGrantToItemsIsNotLost(t *testing.T) {
	const items = 20
	var asked atomic.Int32
	mux := rpctest.NewMux()
	rpc.Handle(mux, wire.MethodQuarantine, func(context.Context, *wire.QuarantineReport) (msgp.Marshaler, error) {
		asked.Add(1)
		time.Sleep(400 * time.Millisecond)
		return &wire.QuarantineAnswer{Granted: true}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	w := fleetwatch.New(logging.Discard(), nil, []string{server.Listener.Addr().String()}, func() wire.ProcessReport { return wire.ProcessReport{} })
	var granted atomic.Int32
	var waiting sync.WaitGroup
	for range items {
		waiting.Go(func() {
			if allowed, _ := w.RequestTrial(t.Context(), []quarantine.Fingerprint{77}, true); allowed {
				granted.Add(1)
			}
		})
	}
	waiting.Wait()
	if asked.Load() != 1 || granted.Load() != 1 {
		t.Errorf("%d items asked %d times and got %d grants, want one of each", items, asked.Load(), granted.Load())
	}
}
