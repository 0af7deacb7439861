// Package gateway is the daemon that callers and operators speak to. It keeps
// no state of its own: it checks keys and limits, chooses a dispatcher for each
// request, retries and resumes, and hands jobs and configuration to control.
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
	drainPoll        = 20 * time.Millisecond
	leaveCallTimeout = time.Second
	// settleTime lets load balancers see that the gateway is not ready before
	// it refuses requests.
	settleTime = 200 * time.Millisecond
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

// New prepares the process; d.Run serves it.
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
		Client:   g.control,
		Logger:   d.Logger,
		Interval: config.Heartbeat.Interval.Std(),
		Timeout:  config.Heartbeat.Timeout.Std(),
		Report:   g.report,
		OnChange: func(*wire.HeartbeatResponse) { d.SetReady(!g.draining.Load()) },
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

// accepts returns a NotRun failure while the gateway must take no new work.
func (g *Gateway) accepts() error {
	if g.isDraining() {
		return failure.New(failure.NotRun, "send it again, to another gateway", "the gateway is stopping").WithRetryAfter(shortRetryAfter)
	}
	if !g.session.ConfigValid(clock.Exact()) {
		return failure.New(failure.NotRun, "send it again, to another gateway", "the configuration can't be confirmed").WithRetryAfter(leaseRetryAfter)
	}
	return nil
}

const (
	shortRetryAfter = time.Second
	leaseRetryAfter = 2 * time.Second
)

// drain is the planned stop: requests that run are finished, new ones refused.
func (g *Gateway) drain(ctx context.Context) {
	time.Sleep(settleTime)
	g.draining.Store(true)
	for ctx.Err() == nil && g.inFlight.Load() > 0 {
		time.Sleep(drainPoll)
	}
	leaveContext, cancel := context.WithTimeout(context.Background(), leaveCallTimeout)
	defer cancel()
	request := &wire.HeartbeatRequest{Leaving: true}
	g.report(request)
	// Without an answer the lease runs out by itself.
	_, _ = controlclient.Call[wire.HeartbeatResponse](leaveContext, g.control, controlclient.MetaGroup, controlclient.MethodHeartbeat, request)
	logging.Info(g.logger, "drained", "complete", ctx.Err() == nil)
}

// retryAllowed draws one retry on the gateway's budget.
func (g *Gateway) nextAttempt(policy *retry.Policy, attempts int, err error) retry.Decision {
	g.budgetMutex.Lock()
	defer g.budgetMutex.Unlock()
	return policy.Next(time.Now(), attempts, err, g.budget)
}

func (g *Gateway) countRequest() {
	g.budgetMutex.Lock()
	defer g.budgetMutex.Unlock()
	g.budget.Deposit()
}

// handler is an HTTP handler that answers its failures itself.
type handler func(writer http.ResponseWriter, request *http.Request, requestID string) error

// counted wraps a handler: it gives the request an id, counts it as in flight,
// and answers the handler's failure.
func (g *Gateway) counted(name string, handle handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		started := time.Now()
		requestID := g.newRequestID()
		writer.Header().Set(HeaderRequestID, requestID)
		err := handle(writer, request, requestID)
		g.metrics.request(name, started, err)
		if err == nil {
			return
		}
		logging.Info(g.logger, "request_refused", "request", requestID, "api", name, "kind", failure.KindOf(err), "error", err)
		failure.WriteHTTP(writer, err, requestID)
	}
}
