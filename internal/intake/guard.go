// Package intake bounds what clients make a process hold. A Guard watches the connections of all servers
// of a process: it charges each request for its memory, lets only a few requests at a time use much
// processor time for their bodies, answers refused requests although their bodies stay open, and gives
// up connections and requests that hold most, before it refuses others.
package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/memlimit"
)

const (
	// retryAfter is the retry time of requests that are refused because of what others hold.
	retryAfter = 500 * time.Millisecond
	// logInterval is the shortest time between two log lines about the same limit.
	logInterval = time.Second
)

// Guard bounds what the clients of all servers of a process make it hold. It is safe for concurrent use.
type Guard struct {
	account *memlimit.Account
	// turns has a place for each request that may use much processor time at the moment.
	turns  chan struct{}
	logger logging.Logger

	refused *prometheus.CounterVec
	evicted *prometheus.CounterVec

	mutex sync.Mutex
	// loggedAt is when a line about a limit was last logged, by the limit.
	loggedAt map[string]time.Time
}

// New returns a guard that lets requests hold at most requestBytes together; zero means no limit.
func New(requestBytes int64, logger logging.Logger, registry *prometheus.Registry) *Guard {
	const processorsPerTurn = 2
	g := &Guard{
		account:  memlimit.New(requestBytes),
		turns:    make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/processorsPerTurn)),
		logger:   logger,
		refused:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "intake_refused_total", Help: "Requests that were refused or cut because requests together held too much memory, by how (refused, revoked)."}, []string{"how"}),
		evicted:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "intake_connections_given_up_total", Help: "Connections that were closed at the limit, by server and state (new: not accepted)."}, []string{"server", "state"}),
		loggedAt: map[string]time.Time{},
	}
	registry.MustRegister(g.refused, g.evicted,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "intake_held_bytes", Help: "Memory that requests hold now, as charged."}, func() float64 { return float64(g.account.Stats().Held) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "intake_limit_bytes", Help: "Memory that requests may hold together, 0 for no limit."}, func() float64 { return float64(g.account.Limit()) }),
	)
	return g
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Protect makes the guard watch the requests of a server whose listener is from Listen.
func (g *Guard) Protect(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok && state == http.StateIdle {
			guarded.awaitNext()
		}
	}
	server.Handler = g.handler(server.Handler)
}

// handler charges each request while next serves it.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		c, ok := httpRequest.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(writer, httpRequest)
			return
		}
		r := c.begin()
		defer r.end()
		answer := &responseWriter{ResponseWriter: writer, controller: http.NewResponseController(writer), request: r}
		if httpRequest.Body != nil && httpRequest.Body != http.NoBody {
			answer.body = &body{ReadCloser: httpRequest.Body, request: r}
			answer.expectsContinue = httpRequest.Header.Get("Expect") != ""
			httpRequest.Body = answer.body
		} else {
			r.complete()
		}
		if err := r.hold(headCost(httpRequest)); err != nil {
			failure.WriteHTTP(answer, err, "")
		} else {
			next.ServeHTTP(answer, httpRequest)
		}
		answer.finish()
	})
}

const (
	// headLineBytes is the memory of a header field beside its text.
	headLineBytes = 96
)

// headCost returns the memory of a request's head in bytes.
func headCost(request *http.Request) int64 {
	cost := len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			cost += len(name) + len(value) + headLineBytes
		}
	}
	return int64(cost)
}

// refusal returns the error of a request that is refused because of what requests hold together.
func (g *Guard) refusal(how string) error {
	g.refused.WithLabelValues(how).Inc()
	stats := g.account.Stats()
	g.logLimit("request_memory_mb", "how", how, "held_mb", stats.Held>>20, "limit_mb", g.account.Limit()>>20, "refused", stats.Refused, "revoked", stats.Revoked)
	return failure.New(failure.NotRun, "try again, at another process if there is one", "requests hold too much memory here").WithRetryAfter(retryAfter)
}

// logLimit logs that a limit was met. Limit is the name of its setting.
func (g *Guard) logLimit(limit string, pairs ...any) {
	now := time.Now()
	g.mutex.Lock()
	due := now.Sub(g.loggedAt[limit]) >= logInterval
	if due {
		g.loggedAt[limit] = now
	}
	g.mutex.Unlock()
	if due {
		logging.Warn(g.logger, "clients_limited", append([]any{"limit", limit}, pairs...)...)
	}
}

// Hold charges the request that the context belongs to for more bytes, until it ends or they are released.
// An error means that they must not be allocated; it promises that nothing ran, so it fits only before
// anything did. A context of no request is not charged.
func Hold(ctx context.Context, bytes int64) error {
	r := requestOf(ctx)
	if r == nil {
		return nil
	}
	if err := r.hold(bytes); err != nil {
		return err
	}
	if l, ok := ctx.Value(loanKey{}).(*loan); ok {
		l.bytes.Add(bytes)
	}
	return nil
}

// Release takes bytes back that were charged with Hold.
func Release(ctx context.Context, bytes int64) {
	if r := requestOf(ctx); r != nil {
		r.charge.Add(time.Now(), -bytes)
		if l, ok := ctx.Value(loanKey{}).(*loan); ok {
			l.bytes.Add(-bytes)
		}
	}
}

// loan counts what was charged with a context from Borrow.
type loan struct{ bytes atomic.Int64 }

// loanKey is the key of a loan in a context.
type loanKey struct{}

// Borrow returns a context for a part of a request. When the part is over, done releases what was charged
// with that context.
func Borrow(ctx context.Context) (borrowed context.Context, done func()) {
	r := requestOf(ctx)
	if r == nil {
		return ctx, func() {}
	}
	l := &loan{}
	return context.WithValue(ctx, loanKey{}, l), func() { r.charge.Add(time.Now(), -l.bytes.Load()) }
}

// Work waits until the context's request may use the processor for long, and returns the function that
// must be called after it.
func Work(ctx context.Context) (done func()) {
	r := requestOf(ctx)
	if r == nil {
		return func() {}
	}
	turns := r.conn.guard.turns
	turns <- struct{}{}
	return func() { <-turns }
}

// firstBufferBytes is the size of the first buffer of ReadAll.
const firstBufferBytes = 4 << 10

// ReadAll reads until the end, or until it has longest bytes. It charges the context's request for its
// buffer as that grows, so for what has arrived.
func ReadAll(ctx context.Context, reader io.Reader, longest int64) ([]byte, error) {
	size := min(longest, firstBufferBytes)
	if err := Hold(ctx, size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			size = min(longest, 2*int64(cap(data)))
			if err := Hold(ctx, size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			Release(ctx, int64(cap(data)))
			data = grown
		}
		count, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case err == io.EOF || err == nil && int64(len(data)) == longest:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

func requestOf(ctx context.Context) *request {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.request.Load()
}
