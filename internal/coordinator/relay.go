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

// maxRelayAge bounds the time since a relay last heard from the leader. It is the time that a call
// of the relay to the leader may take. A relay that exceeds it rejects the watches of its
// edges, which then call the next relay. The age is measured with the clock that includes
// suspensions.
const maxRelayAge = 1100 * time.Millisecond

// relay answers the watches of edges with the state that this process got from the leader. All
// coordinators are relays; the leader's own relay watches the leader, too.
type relay struct {
	daemon  *daemon.Daemon
	logger  logging.Logger
	watcher *fleetwatch.Watcher
	self    wire.ProcessReport

	// mutex guards the fields below.
	mutex   sync.Mutex
	mirror  *fleetview.Mirror
	changed chan struct{}
	// stale is set while the watches of edges are rejected.
	stale bool
}

func newRelay(c *Coordinator) *relay {
	r := &relay{daemon: c.daemon, logger: c.logger, mirror: fleetview.NewMirror(), changed: make(chan struct{})}
	r.self = wire.ProcessReport{Kind: wire.ProcessRelay, Name: c.settings.Name, Zone: c.settings.Zone}
	r.self.Replica.Address = c.daemon.Address()
	seeds := append([]string{c.daemon.Address()}, c.settings.Seeds...)
	r.watcher = fleetwatch.New(c.logger, c.daemon.Traffic, seeds, r.report)
	r.watcher.OnChange(r.applySnapshot)
	return r
}

// report returns the relay's report to the leader, with the number of edges that watch it.
func (r *relay) report() wire.ProcessReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := r.self
	report.Edges = r.mirror.EdgeCount(clock.Now())
	return report
}

// applySnapshot updates the mirror with the leader's state and wakes the watches of edges.
func (r *relay) applySnapshot(snapshot *fleetwatch.Snapshot) {
	r.daemon.SetFleetKnown(snapshot.Table != nil, snapshot.Fleet.Listed || snapshot.Fleet.Partial)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mirror.Put(snapshot.Term, snapshot.View, &snapshot.Fleet, snapshot.Workers)
	close(r.changed)
	r.changed = make(chan struct{})
}

// ageStep is the step to which ages are rounded up, so that answers with the same content have
// the same age and are encoded once.
const ageStep = 100 * time.Millisecond

func roundUp(age time.Duration) time.Duration { return (age + ageStep - 1).Truncate(ageStep) }

// watch answers with an update once there is a change that the edge does not know. It returns
// false if the state is older than maxRelayAge; the edge must call another coordinator then.
func (r *relay) watch(ctx context.Context, request *wire.WatchRequest) (*wire.WatchResponse, bool) {
	timeout := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timeout.Stop()
	arrivedAt := clock.Now()
	for last := false; ; {
		response, changed, fresh := r.answer(request, arrivedAt)
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

// answer returns the update for the edge, whose poll arrived at arrivedAt, a channel that is closed at
// the next change, and whether the state is fresh.
func (r *relay) answer(request *wire.WatchRequest, arrivedAt time.Time) (response *wire.WatchResponse, changed <-chan struct{}, fresh bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := clock.Now()
	snapshot := r.watcher.Current()
	age := now.Sub(snapshot.LeaderSeenAt)
	if stale := snapshot.LeaderSeenAt.IsZero() || age > maxRelayAge; stale != r.stale {
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
	fillListAge(snapshot.Workers, snapshot.ListReadAt, arrivedAt, response)
	response.Fleet = r.mirror.UpdateFor(request)
	response.Quarantine = r.watcher.Quarantine().UpdateSince(request.Quarantine)
	return response, r.changed, true
}
