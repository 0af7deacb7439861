// Package gateway implements the daemon that serves the APIs of callers and operators. It keeps no
// persistent state: it checks keys and limits, chooses a dispatcher for each request, retries and
// resumes requests, and passes jobs and configuration changes to control.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/sedgemast/sedgemast/internal/controlclient"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/retry"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	drainPollInterval = 20 * time.Millisecond
	leaveCallTimeout  = time.Second
	// notReadyDelay gives load balancers time to see that the gateway is not ready before it
	// rejects requests.
	notReadyDelay = 200 * time.Millisecond
)

// Gateway is a gateway process.
type Gateway struct {
	daemon      *daemon.Daemon
	settings    *settings.Gateway
	logger      logging.Logger
	control     *controlclient.Client
	session     *controlclient.Session
	rpc         *rpc.Client
	chooser     *chooser
	limits      *limits
	metrics     *metrics
	incarnation uint64
	sequence    atomic.Uint64
	draining    atomic.Bool
	inFlight    atomic.Int64
	uploads     chan struct{}

	budgetMutex sync.Mutex
	budget      *retry.Budget
}

// New returns a gateway whose routes are registered with the daemon; d.Run serves it.
func New(d *daemon.Daemon, config *settings.Gateway) *Gateway {
	g := &Gateway{
		daemon:      d,
		settings:    config,
		logger:      d.Logger,
		control:     controlclient.New(config.Control),
		rpc:         rpc.NewClient(),
		limits:      newLimits(),
		incarnation: uint64(time.Now().UnixNano()),
		uploads:     make(chan struct{}, config.MaxUploads),
		budget:      retry.NewBudget(config.RetryPercent),
	}
	g.session = controlclient.NewSession(controlclient.SessionOptions{
		Client:     g.control,
		Logger:     d.Logger,
		Interval:   config.Heartbeat.Interval.Std(),
		Timeout:    config.Heartbeat.Timeout.Std(),
		Report:     g.report,
		OnResponse: func(*wire.HeartbeatResponse) { d.SetReady(!g.draining.Load()) },
	})
	g.chooser = newChooser(g.session, config.Zone, rand.New(rand.NewPCG(g.incarnation, 1)))
	g.metrics = newMetrics(d.Registry, g)
	g.registerCallers()
	g.registerOperators()
	d.BeforeStop(g.drain)
	d.Go(g.session.Run)
	return g
}

func (g *Gateway) report(request *wire.HeartbeatRequest) {
	request.Daemon = g.settings.Name
	request.Incarnation = g.incarnation
	request.Role = wire.RoleGateway
	request.Zone = g.settings.Zone
	request.Address = g.daemon.Address()
	request.Draining = g.isDraining()
}

func (g *Gateway) isDraining() bool {
	return g.draining.Load() || g.session.Config().Draining[g.settings.Name]
}

// checkAccepting returns a NotRun failure if the gateway must not accept new requests.
func (g *Gateway) checkAccepting() error {
	if g.isDraining() {
		return errStopping()
	}
	if !g.session.ConfigValid(clock.Exact()) {
		return failure.New(failure.NotRun, "send it again, to another gateway", "the configuration can't be confirmed").WithRetryAfter(leaseRetryAfter)
	}
	return nil
}

func errStopping() error {
	return failure.New(failure.NotRun, "send it again, to another gateway", "the gateway is stopping").WithRetryAfter(shortRetryAfter)
}

const (
	shortRetryAfter = time.Second
	leaseRetryAfter = 2 * time.Second
)

// drain runs at a planned stop: it lets running requests finish while new ones are rejected, then
// reports to control that the gateway is leaving.
func (g *Gateway) drain(ctx context.Context) {
	time.Sleep(notReadyDelay)
	g.draining.Store(true)
	for ctx.Err() == nil && g.inFlight.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveCallTimeout)
	defer cancel()
	request := &wire.HeartbeatRequest{Leaving: true}
	g.report(request)
	// If the call fails, the lease expires by itself.
	_, _ = controlclient.Call[wire.HeartbeatResponse](leaveCtx, g.control, controlclient.MetaGroup, controlclient.MethodHeartbeat, request)
	logging.Info(g.logger, "drained", "complete", ctx.Err() == nil)
}

// nextAttempt decides whether a failed request is retried, and withdraws the retry from the
// gateway's retry budget.
func (g *Gateway) nextAttempt(policy *retry.Policy, attempts int, err error) retry.Decision {
	g.budgetMutex.Lock()
	defer g.budgetMutex.Unlock()
	return policy.Next(time.Now(), attempts, err, g.budget)
}

func (g *Gateway) depositRetryBudget() {
	g.budgetMutex.Lock()
	defer g.budgetMutex.Unlock()
	g.budget.Deposit()
}

// handler is an HTTP handler whose returned failure is written by instrument.
type handler func(writer http.ResponseWriter, request *http.Request, requestID string) error

// instrument wraps a handler: it assigns the request id, counts the request as in flight, records
// its metrics, and writes the failure that the handler returns.
func (g *Gateway) instrument(api string, handle handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		started := time.Now()
		requestID := g.newRequestID()
		writer.Header().Set(HeaderRequestID, requestID)
		err := handle(writer, request, requestID)
		g.metrics.request(api, started, err)
		if err == nil {
			return
		}
		logging.Info(g.logger, "request_refused", "request", requestID, "api", api, "kind", failure.KindOf(err), "error", err)
		failure.WriteHTTP(writer, err, requestID)
	}
}
