package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/fleetview"
	"github.com/sedgemast/sedgemast/internal/fleetwatch"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// relayFresh bounds the age of what a relay tells: how long a call of its own to the
// leader may take. A relay that has heard none for longer refuses its edges, who then ask
// the next one. The age is taken by the clock that counts suspensions.
const relayFresh = 1100 * time.Millisecond

// relay answers the watches of edges by what this process has heard of the leader. All
// coordinators are relays; one that leads hears itself.
type relay struct {
	daemon  *daemon.Daemon
	logger  logging.Logger
	watcher *fleetwatch.Watcher
	self    wire.ProcessReport

	// mutex guards what follows.
	mutex   sync.Mutex
	mirror  *fleetview.Mirror
	changed chan struct{}
	// stale is set while edges are refused.
	stale bool
}

func newRelay(c *Coordinator) *relay {
	r := &relay{daemon: c.daemon, logger: c.logger, mirror: fleetview.NewMirror(), changed: make(chan struct{})}
	r.self = wire.ProcessReport{Kind: wire.ProcessRelay, Name: c.settings.Name, Zone: c.settings.Zone}
	r.self.Replica.Address = c.daemon.Address()
	seeds := append([]string{c.daemon.Address()}, c.settings.Seeds...)
	r.watcher = fleetwatch.New(c.logger, c.daemon.Traffic, seeds, r.report)
	r.watcher.OnChange(r.adopt)
	return r
}

// report tells the leader of this relay and how many edges watch it.
func (r *relay) report() wire.ProcessReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.self
	report.Edges = r.mirror.EdgeCount(clock.Now())
	return report
}

// adopt takes in what is new, and wakes the edges that wait for news.
func (r *relay) adopt(snapshot *fleetwatch.Snapshot) {
	r.daemon.SetFleetKnown(snapshot.Table != nil, snapshot.Fleet.Listed || snapshot.Fleet.Partial)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mirror.Put(snapshot.Term, snapshot.View, &snapshot.Fleet, snapshot.Workers)
	close(r.changed)
	r.changed = make(chan struct{})
}

// ageStep is what ages are rounded up to, so that answers that say the same are encoded
// once.
const ageStep = 100 * time.Millisecond

func roundUp(age time.Duration) time.Duration { return (age + ageStep - 1).Truncate(ageStep) }

// watch answers with what the edge does not know, once there is any. It reports whether
// the leader was heard lately; otherwise the edge is to ask elsewhere.
func (r *relay) watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, bool) {
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	for last := false; ; {
		response, changed, fresh := r.answer(request)
		if !fresh || last || response.Document != nil || response.Fleet != nil || response.Quarantine != nil {
			return response, fresh
		}
		select {
		case <-changed:
		case <-timeout.C:
			last = true
		case <-ctx.Done():
			last = true
		}
	}
}

// answer returns what the edge does not know now, and what is closed at the next change.
func (r *relay) answer(request *wire.WatchRequest) (response *wire.WatchResponse, changed <-chan struct{}, fresh bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	snapshot := r.watcher.Current()
	age := now.Sub(snapshot.LeaderSeenAt)
	if stale := snapshot.LeaderSeenAt.IsZero() || age > relayFresh; stale != r.stale {
		r.stale = stale
		logging.Info(r.logger, "relay", "fresh", !stale, "age_ms", age.Milliseconds(), "term", r.mirror.Term(), "view", r.mirror.View())
	}
	if r.stale {
		return nil, nil, false
	}
	r.mirror.RecordWatch(now, request.Process.Name)
	response = &wire.WatchResponse{Version: snapshot.Version(), Term: r.mirror.Term(), View: r.mirror.View(), AgeMillis: roundUp(age).Milliseconds()}
	if snapshot.Version() > request.Version {
		response.Document = snapshot.Document
	}
	response.Fleet = r.mirror.UpdateFor(request)
	response.Quarantine = r.watcher.Quarantine().UpdateSince(request.Quarantine)
	return response, r.changed, true
}
