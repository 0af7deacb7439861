package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/sedgemast/sedgemast/internal/logging"
)

// answerDivisor divides the stop timeout: at its end one part is left for answers to requests that the stop
// cuts.
const answerDivisor = 20

// ErrStopping is the cause for which the context of a request ends when a planned stop cuts it.
var ErrStopping = errors.New("the process stops")

// plannedStop says until when requests may run once a planned stop has begun.
type plannedStop struct {
	timeout time.Duration
	// endsAt is when the servers have stopped, nil before the stop begins.
	endsAt atomic.Pointer[time.Time]
	// begun ends when the stop begins, running when it cuts the requests that still run.
	begun, running        context.Context
	markBegun, cutRunning context.CancelFunc
}

func newPlannedStop(timeout time.Duration) *plannedStop {
	s := &plannedStop{timeout: timeout}
	s.begun, s.markBegun = context.WithCancel(context.Background())
	s.running, s.cutRunning = context.WithCancel(context.Background())
	return s
}

// begin begins the stop.
func (s *plannedStop) begin(now time.Time) {
	endsAt := now.Add(s.timeout)
	s.endsAt.Store(&endsAt)
	time.AfterFunc(time.Until(s.cutsAt(endsAt)), s.cutRunning)
	s.markBegun()
}

func (s *plannedStop) cutsAt(endsAt time.Time) time.Time {
	return endsAt.Add(-s.timeout / answerDivisor)
}

// cutsBefore reports whether the stop has begun and cuts requests before the given time.
func (s *plannedStop) cutsBefore(at time.Time) bool {
	endsAt := s.endsAt.Load()
	return endsAt != nil && s.cutsAt(*endsAt).Before(at)
}

// limit returns a context that ends with ctx or at the end of the stop.
func (s *plannedStop) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if endsAt := s.endsAt.Load(); endsAt != nil {
		return context.WithDeadline(ctx, *endsAt)
	}
	return context.WithCancel(ctx)
}

// CutsBefore reports whether a planned stop has begun that cuts requests before the deadline. A request with
// that deadline of which nothing has run should be rejected.
func (d *Daemon) CutsBefore(deadline time.Time) bool { return d.stop.cutsBefore(deadline) }

// WaitContext returns a context that ends with ctx, or for ErrStopping as soon as a planned stop begins
// that cuts requests before the deadline. Requests of which nothing has run wait under it.
func (d *Daemon) WaitContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(d.stop.begun, func() {
		if d.stop.cutsBefore(deadline) {
			cancel(ErrStopping)
		}
	})
	return ctx, func() { release(); cancel(nil) }
}

// IsCut reports whether ctx, that of a request or one derived from it, has ended because of a planned stop.
func IsCut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// server is an HTTP server that stops within the planned stop of its process.
type server struct {
	*kratoshttp.Server
	name   string
	stop   *plannedStop
	logger logging.Logger
}

// Start implements transport.Server. The contexts of requests end for ErrStopping when the stop cuts them,
// which may be after Start has returned.
func (s *server) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	context.AfterFunc(s.stop.running, func() { cancel(ErrStopping) })
	return s.Server.Start(ctx)
}

// Stop implements transport.Server. Connections that are still in use at the end of the stop are closed.
func (s *server) Stop(ctx context.Context) error {
	ctx, cancel := s.stop.limit(ctx)
	defer cancel()
	err := s.Server.Stop(ctx)
	if ctx.Err() == nil {
		return err
	}
	logging.Warn(s.logger, "connections_cut", "server", s.name)
	return s.Close()
}
