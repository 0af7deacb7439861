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
	// startTime is how long after its start a process may still be about to learn what it
	// needs: an election, one that had to be repeated, and a reading of the list of
	// workers. One that knows nothing then is cut off, and other edges are better.
	startTime = 2 * learnTime
	// holdTime is the longest time for which a request is held. It leaves its caller time
	// for the answer: many give up a connection on which nothing comes for a second or two.
	holdTime = 800 * time.Millisecond
	// holdShare is the part of its time, one in so many, for which a request is held at
	// most: the rest is needed to run it, or for its caller to come back.
	holdShare = 3
	// maxLeft is what is taken for the time left where the caller tells none, or more: the
	// configuration, which bounds it, is not known yet.
	maxLeft = time.Minute
	// maxHeld bounds the requests held. Each has a connection and a goroutine beside its
	// bytes, which the smallest process must have the memory for.
	maxHeld = 512
	// maxHeldBytes bounds the heads and bodies held together.
	maxHeldBytes = 8 << 20
	// maxHeldBody bounds one body held: the configuration's bound is not known yet.
	maxHeldBody = 1 << 20
)

// need is what a request waits for at a process that has just begun.
type need uint8

const (
	// needConfiguration is what calls on jobs wait for.
	needConfiguration need = iota
	// needWorkers is what requests for workers wait for: the configuration, and a part of
	// the list of workers at least.
	needWorkers
	needs
)

// String returns the need as used in logs and metrics.
func (n need) String() string { return [...]string{"configuration", "workers"}[n] }

// startGate holds the requests that came before this process knew what they need. It is not
// the queue of those that wait for a worker (poolQueue). It is safe for concurrent use.
type startGate struct {
	// known are closed once the need is met, stopping once a planned stop begins.
	known    [needs]chan struct{}
	stopping chan struct{}

	// longest is the longest time for which a request is held.
	longest  time.Duration
	maxCount int
	maxBytes int64

	// mutex guards what follows.
	mutex   sync.Mutex
	count   int
	bytes   int64
	met     [needs]bool
	stopped bool
}

func newStartGate() *startGate {
	h := &startGate{stopping: make(chan struct{}), longest: holdTime, maxCount: maxHeld, maxBytes: maxHeldBytes}
	for i := range h.known {
		h.known[i] = make(chan struct{})
	}
	return h
}

// admit takes so many bytes of a new request in, and reports whether the bounds allow it.
func (h *startGate) admit(bytes int64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stopped || h.count >= h.maxCount || h.bytes+bytes > h.maxBytes {
		return false
	}
	h.count++
	h.bytes += bytes
	return true
}

func (h *startGate) release(bytes int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.count--
	h.bytes -= bytes
}

// held returns how many requests are held, and their bytes.
func (h *startGate) held() (count int, bytes int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.count, h.bytes
}

// meet lets those go on that wait for the need. It returns how many are held, and whether
// the need was not met before.
func (h *startGate) meet(n need) (held int, first bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.met[n] {
		return 0, false
	}
	h.met[n] = true
	close(h.known[n])
	return h.count, true
}

// stop lets all go that are held, and takes none any more.
func (h *startGate) stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.stopped {
		h.stopped = true
		close(h.stopping)
	}
}

func (h *startGate) knows(n need) bool {
	select {
	case <-h.known[n]:
		return true
	default:
		return false
	}
}

// holdFor returns for how long after its arrival, at a process of that age, a request may
// be held whose caller has so much time left; zero or less for not at all.
func (h *startGate) holdFor(age, left time.Duration) time.Duration {
	return min(h.longest, left/holdShare, startTime-age)
}

// outcomes of requests that came too early, for the metric.
const (
	heldServed  = "served"
	heldRefused = "refused"
	heldGone    = "gone"
)

// await returns once this process knows what the request needs. Where that is not so yet,
// the request is held, if the bounds allow it, until the time since its arrival is over for which
// it may be. A failure says that it was not run, and when to come back.
//
// What is held has been read whole: a caller whose request is not read takes the
// connection for dead, and that it leaves is noticed behind the end of its body only.
// Without a writer nothing is read: where a body counts for nothing.
func (e *Edge) await(writer http.ResponseWriter, request *http.Request, arrived time.Time, n need) error {
	if e.gate.knows(n) {
		return nil
	}
	known, err := e.hold(writer, request, arrived, n)
	if err == nil && !known && e.Table() == nil {
		err = noConfiguration(clock.Now().Sub(e.started))
	}
	outcome := heldRefused
	switch {
	case request.Context().Err() != nil:
		outcome = heldGone
	case known:
		outcome = heldServed
	}
	e.metrics.held.WithLabelValues(n.String(), outcome).Inc()
	return err
}

// hold holds a request and reports whether what it needs is known then. A failure means
// that the request could not be read.
func (e *Edge) hold(writer http.ResponseWriter, request *http.Request, arrived time.Time, n need) (known bool, err error) {
	left := httpheader.ParseTimeLeft(request.Header.Get(e.dialect.Deadline), maxLeft)
	until := arrived.Add(e.gate.holdFor(clock.Now().Sub(e.started)-time.Since(arrived), left))
	bound := int64(0)
	if writer != nil {
		bound = bodyBound(request)
	}
	size := int64(httpapi.HeaderSize(request)) + bound
	if !time.Now().Before(until) || bound > maxHeldBody || !e.gate.admit(size) {
		return false, nil
	}
	defer e.gate.release(size)
	if err := readHeld(writer, request, bound, until); err != nil {
		return false, err
	}
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	select {
	case <-e.gate.known[n]:
	case <-e.gate.stopping:
	case <-timeout.C:
	case <-request.Context().Done():
	}
	return e.gate.knows(n), nil
}

// bodyBound returns how long the body of a request may be at most, for all that is known
// before it is read.
func bodyBound(request *http.Request) int64 {
	if request.ContentLength < 0 {
		return maxHeldBody
	}
	return request.ContentLength
}

// readHeld reads the body of a request, of bound bytes at most, until the given time, and
// lets it be read again.
func readHeld(writer http.ResponseWriter, request *http.Request, bound int64, until time.Time) error {
	if bound == 0 {
		return nil
	}
	controller := http.NewResponseController(writer)
	// Writers without deadlines serve tests only.
	_ = controller.SetReadDeadline(until)
	body, err := httpapi.ReadBody(request, bound)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		// Where the rest is still to come, no other request can be read from the connection.
		writer.Header().Set("Connection", "close")
		return failure.Wrap(err, failure.NotRun, "try again", "no configuration is known here yet, and the body was not read whole").WithRetryAfter(shortRetry)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// openGate lets the requests go on that were held until the table, or the table and the list of
// workers, are known.
func (e *Edge) openGate(table *routetable.Table, listed bool) {
	if table == nil {
		return
	}
	e.meet(needConfiguration)
	if listed {
		e.meet(needWorkers)
	}
}

func (e *Edge) meet(n need) {
	held, first := e.gate.meet(n)
	if first && held > 0 {
		logging.Info(e.logger, "held_requests", "held", held, "need", n, "since_start_ms", clock.Now().Sub(e.started).Milliseconds())
	}
}
