package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/incarnation"
)

const (
	// healthTimeout bounds a health check. A busy worker answers it once a slot is free, so a worker
	// that does not answer in time has no slot for a request either.
	healthTimeout = 400 * time.Millisecond
	// healthTTL is how long the result of a health check counts for all requests of this process.
	healthTTL = time.Second
	// defaultHealthPath is the path of health checks if the pool has none configured.
	defaultHealthPath = "/healthz"
	// sendTime is the part of the drain time that is left for a request to reach its worker.
	sendTime = 500 * time.Millisecond
)

// WorkerState is what a process knows about a worker from the list of workers.
type WorkerState struct {
	// Ready is set if the worker is listed and not leaving.
	Ready bool
	// ListReadAt is when the reading began by which the list is known, zero if unknown.
	ListReadAt time.Time
	// HealthPath is the path of the worker's health checks, empty for the default.
	HealthPath string
}

// Readiness is what a process may conclude about a worker from the list.
type Readiness uint8

const (
	// NotReady means that the worker is leaving or not listed.
	NotReady Readiness = iota
	// Ready means that a request which is sent now reaches the worker within the drain time.
	Ready
	// Unknown means that the worker may have been leaving for as long as the drain time when the
	// request reaches it.
	Unknown
)

// Readiness returns what the state says at the time now, for workers that get requests for drainTime
// after they are listed as leaving.
func (s WorkerState) Readiness(now time.Time, drainTime time.Duration) Readiness {
	switch {
	case !s.Ready:
		return NotReady
	case now.Sub(s.ListReadAt) <= drainTime-sendTime:
		return Ready
	}
	return Unknown
}

// Directory tells what is known about workers now. It is safe for concurrent use.
type Directory interface {
	WorkerState(id string) WorkerState
}

// BoundListAge makes Send consult the directory just before it sends a request. Send sends nothing to
// a worker that is not listed as ready. If the list is so old that the worker may have been leaving for
// drainTime when the request arrives, Send first asks the worker. BoundListAge must be called before
// the first Send.
func (c *Client) BoundListAge(directory Directory, drainTime time.Duration) {
	c.directory, c.drainTime = directory, drainTime
}

// errNotReady marks the failure of a request that was not sent because its worker takes none.
var errNotReady = errors.New("the worker takes no requests")

// TakesNoRequests reports whether Send failed because the worker takes no requests.
func TakesNoRequests(err error) bool { return errors.Is(err, errNotReady) }

// HealthMetrics returns counters of the health checks. role is the first part of their names.
func (c *Client) HealthMetrics(role string) []prometheus.Collector {
	counter := func(result string, count *uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        role + "_health_checks_total",
			Help:        "Health checks of workers before a request was sent on an old list of workers, by result.",
			ConstLabels: prometheus.Labels{"result": result},
		}, func() float64 {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return float64(*count)
		})
	}
	return []prometheus.Collector{counter("ready", &c.healthyChecks), counter("not_ready", &c.unhealthyChecks)}
}

// healthCheck is a health check of a worker, shared by all requests that need its result.
type healthCheck struct {
	askedAt time.Time
	done    chan struct{}
	// err says why the worker takes no requests, nil if it does.
	err error
}

// connectReady returns a connection to a worker that is known to take requests.
func (c *Client) connectReady(ctx context.Context, endpoint Endpoint) (*connection, error) {
	connection, err := c.connect(ctx, endpoint)
	if err != nil || c.directory == nil {
		return connection, err
	}
	state := c.directory.WorkerState(endpoint.ID)
	switch state.Readiness(clock.Now(), c.drainTime) {
	case NotReady:
		err = errors.Wrap(errNotReady, "it is leaving or not listed")
	case Unknown:
		err = c.confirmReady(ctx, endpoint, state.HealthPath)
	}
	if err != nil {
		_ = connection.Close()
		return nil, failure.Wrap(err, failure.NotRun, "try another worker", "nothing was sent to worker %s", endpoint.ID)
	}
	return connection, nil
}

// confirmReady asks the worker whether it takes requests, unless an answer is known that is younger than
// healthTTL.
func (c *Client) confirmReady(ctx context.Context, endpoint Endpoint, path string) error {
	c.mutex.Lock()
	check := c.healthChecks[endpoint.ID]
	if check == nil || clock.Since(check.askedAt) > healthTTL {
		check = &healthCheck{askedAt: clock.Now(), done: make(chan struct{})}
		c.healthChecks[endpoint.ID] = check
		go c.checkHealth(endpoint, path, check)
	}
	c.mutex.Unlock()
	select {
	case <-check.done:
		return check.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) checkHealth(endpoint Endpoint, path string, check *healthCheck) {
	// The check is shared, so the context of the first request must not cancel it.
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	if path == "" {
		path = defaultHealthPath
	}
	check.err = c.askHealth(ctx, endpoint, path)
	c.mutex.Lock()
	if check.err == nil {
		c.healthyChecks++
	} else {
		c.unhealthyChecks++
	}
	c.mutex.Unlock()
	close(check.done)
}

func (c *Client) askHealth(ctx context.Context, endpoint Endpoint, path string) error {
	connection, err := c.dial(ctx, endpoint)
	if err != nil {
		return errors.Mark(err, errNotReady)
	}
	request := &Request{Method: http.MethodGet, Target: path, Host: endpoint.Address}
	response, err := c.sendOver(ctx, endpoint, connection, request, time.Now().Add(healthTimeout))
	if err != nil {
		return errors.Mark(err, errNotReady)
	}
	defer response.Close()
	response.Discard()
	if response.Status != http.StatusOK {
		return errors.Wrapf(errNotReady, "its health check answered %d", response.Status)
	}
	if id := response.Header.Get(c.headers.WorkerID); id != "" && id != incarnation.WorkerID(endpoint.ID) {
		return errors.Wrap(errNotReady, "another worker has the address")
	}
	return nil
}
