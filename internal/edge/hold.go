package edge

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpapi"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/routetable"
)

const (
	// startupPeriod is how long after its start a process may still expect to learn what it needs:
	// it covers an election, a repeated election and the listing of the workers. A process that
	// knows nothing after that is cut off, and callers should use other edges.
	startupPeriod = 2 * configurationTime
	// maxHoldTime is the longest time for which a request is held. It leaves time for the answer:
	// many callers give up a connection that stays silent for a second or two.
	maxHoldTime = 800 * time.Millisecond
	// holdTimeDivisor limits the hold to 1/holdTimeDivisor of the caller's time left. The rest is
	// needed to run the request, or for the caller to retry.
	holdTimeDivisor = 3
	// maxAssumedTimeLeft is the time left that is assumed for a caller that sends no time left or a
	// longer one. It stands in for the configured limit, which is not known yet.
	maxAssumedTimeLeft = time.Minute
	// maxHeldRequests limits the number of held requests. Each needs a connection and a goroutine
	// beside its bytes, which must fit into the memory of the smallest process.
	maxHeldRequests = 512
	// maxHeldBytes limits the total size of the headers and bodies that are held.
	maxHeldBytes = 8 << 20
	// maxHeldBody limits one held body: the configured limit is not known yet.
	maxHeldBody = 1 << 20
)

// prerequisite is the data that a newly started process must have before it can serve a request.
type prerequisite uint8

const (
	// needsConfiguration is the prerequisite of calls on jobs.
	needsConfiguration prerequisite = iota
	// needsWorkers is the prerequisite of requests to workers: the configuration and at least a
	// partial list of workers.
	needsWorkers
	prerequisiteCount
)

// String returns the prerequisite as used in logs and metrics.
func (n prerequisite) String() string { return [...]string{"configuration", "workers"}[n] }

// startGate holds requests that arrived before this process knew what they need. It is separate
// from poolQueue, in which requests wait for a worker. It is safe for concurrent use.
type startGate struct {
	// satisfied has a channel for each prerequisite, which is closed once the prerequisite is
	// known. stopping is closed when a planned stop begins.
	satisfied [prerequisiteCount]chan struct{}
	stopping  chan struct{}

	// maxHoldTime is the longest time for which a request is held.
	maxHoldTime time.Duration
	maxCount    int
	maxBytes    int64

	// mutex guards the fields below.
	mutex sync.Mutex
	count int
	bytes int64
	// met says which channels of satisfied are closed.
	met     [prerequisiteCount]bool
	stopped bool
}

func newStartGate() *startGate {
	g := &startGate{stopping: make(chan struct{}), maxHoldTime: maxHoldTime, maxCount: maxHeldRequests, maxBytes: maxHeldBytes}
	for i := range g.satisfied {
		g.satisfied[i] = make(chan struct{})
	}
	return g
}

// admit reserves space for a new request of the given size, and reports whether the limits allow
// it.
func (g *startGate) admit(bytes int64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopped || g.count >= g.maxCount || g.bytes+bytes > g.maxBytes {
		return false
	}
	g.count++
	g.bytes += bytes
	return true
}

func (g *startGate) release(bytes int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.count--
	g.bytes -= bytes
}

// held returns the number and the total size of the held requests.
func (g *startGate) held() (count int, bytes int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.count, g.bytes
}

// satisfy lets the requests continue that wait for the prerequisite. It returns how many requests
// are held, and whether the prerequisite was not satisfied before.
func (g *startGate) satisfy(n prerequisite) (held int, first bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.met[n] {
		return 0, false
	}
	g.met[n] = true
	close(g.satisfied[n])
	return g.count, true
}

// stop lets all held requests continue, and admits no more.
func (g *startGate) stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.stopped {
		g.stopped = true
		close(g.stopping)
	}
}

func (g *startGate) isSatisfied(n prerequisite) bool {
	select {
	case <-g.satisfied[n]:
		return true
	default:
		return false
	}
}

// holdDuration returns how long after its arrival a request may be held, given the process's age
// and the caller's time left. Zero or less means that it may not be held.
func (g *startGate) holdDuration(age, timeLeft time.Duration) time.Duration {
	return min(g.maxHoldTime, timeLeft/holdTimeDivisor, startupPeriod-age)
}

// Outcomes of held requests, for the metric.
const (
	heldServed       = "served"
	heldRejected     = "refused"
	heldDisconnected = "gone"
)

// awaitPrerequisite returns once this process knows what the request needs. If it does not know
// yet, it holds the request for as long as the limits allow. An error means that the request was
// not run, and carries a retry time.
//
// A held request is first read completely: a caller whose request is not read takes the
// connection for dead, and the server notices a disconnect only after the end of the body. With a
// nil writer no body is read, for calls whose body does not matter.
func (e *Edge) awaitPrerequisite(writer http.ResponseWriter, request *http.Request, arrived time.Time, n prerequisite) error {
	if e.gate.isSatisfied(n) {
		return nil
	}
	known, err := e.holdRequest(writer, request, arrived, n)
	if err == nil && !known && e.Table() == nil {
		err = noConfigurationError(clock.Now().Sub(e.started))
	}
	outcome := heldRejected
	switch {
	case request.Context().Err() != nil:
		outcome = heldDisconnected
	case known:
		outcome = heldServed
	}
	e.metrics.held.WithLabelValues(n.String(), outcome).Inc()
	return err
}

// holdRequest holds a request and reports whether its prerequisite is known at the end. An error
// means that the request could not be read.
func (e *Edge) holdRequest(writer http.ResponseWriter, request *http.Request, arrived time.Time, n prerequisite) (known bool, err error) {
	timeLeft := httpheader.ParseTimeLeft(request.Header.Get(e.headerNames.Deadline), maxAssumedTimeLeft)
	until := arrived.Add(e.gate.holdDuration(clock.Now().Sub(e.started)-time.Since(arrived), timeLeft))
	bodyBytes := int64(0)
	if writer != nil {
		bodyBytes = maxBodyBytes(request)
	}
	size := int64(httpapi.HeaderSize(request)) + bodyBytes
	if !time.Now().Before(until) || bodyBytes > maxHeldBody || !e.gate.admit(size) {
		return false, nil
	}
	defer e.gate.release(size)
	if err := readHeldBody(writer, request, bodyBytes, until); err != nil {
		return false, err
	}
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	select {
	case <-e.gate.satisfied[n]:
	case <-e.gate.stopping:
	case <-timeout.C:
	case <-request.Context().Done():
	}
	return e.gate.isSatisfied(n), nil
}

// maxBodyBytes returns the maximum size of a request's body, as far as it is known before the
// body is read.
func maxBodyBytes(request *http.Request) int64 {
	if request.ContentLength < 0 {
		return maxHeldBody
	}
	return request.ContentLength
}

// readHeldBody reads the request's body of at most maxBytes until the given time, and replaces it
// with a copy in memory.
func readHeldBody(writer http.ResponseWriter, request *http.Request, maxBytes int64, until time.Time) error {
	if maxBytes == 0 {
		return nil
	}
	controller := http.NewResponseController(writer)
	// Only the writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(until)
	body, err := httpapi.ReadBody(request, maxBytes)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		// The unread rest of the body keeps the connection from being used for another request.
		writer.Header().Set("Connection", "close")
		return failure.Wrap(err, failure.NotRun, "try again", "no configuration is known here yet, and the body was not read whole").WithRetryAfter(shortRetryAfter)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// openGate releases the held requests whose prerequisite, the table or the table and the list of
// workers, is now known.
func (e *Edge) openGate(table *routetable.Table, listed bool) {
	if table == nil {
		return
	}
	e.satisfyPrerequisite(needsConfiguration)
	if listed {
		e.satisfyPrerequisite(needsWorkers)
	}
}

func (e *Edge) satisfyPrerequisite(n prerequisite) {
	held, first := e.gate.satisfy(n)
	if first && held > 0 {
		logging.Info(e.logger, "held_requests", "held", held, "need", n, "since_start_ms", clock.Now().Sub(e.started).Milliseconds())
	}
}
