package upstream

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"
)

// endedTimeout bounds the look whether a worker has ended: the machine has just sent the
// end of a connection, so it answers within a round trip, or not at all.
const endedTimeout = 150 * time.Millisecond

// Disconnected reports whether an exchange ended because the other side closed or reset the
// connection in the midst of it.
func Disconnected(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// look is a look at a worker that others wait for.
type look struct {
	done chan struct{}
	// refused is set where nobody listens at the address. born is since when the worker that
	// does listen has been there, in milliseconds by its clock, zero for unknown; before is
	// the same at an earlier look.
	refused bool
	born    int64
	before  int64
}

// WorkerExited reports whether the worker, which has just broken off a request that began at
// began, has ended: nobody listens at its address any more, or it says that it has started
// since. A reset connection, a spoilt answer or a silent network is not an end. Those who
// ask at the same time share one look.
func (c *Client) WorkerExited(ctx context.Context, endpoint Endpoint, began time.Time) bool {
	c.mutex.Lock()
	shared := c.looks[endpoint.ID]
	if shared == nil {
		shared = &look{done: make(chan struct{})}
		c.looks[endpoint.ID] = shared
		go c.look(endpoint, shared)
	}
	c.mutex.Unlock()
	select {
	case <-shared.done:
		return shared.ended(began)
	case <-ctx.Done():
		return false
	}
}

// ended reports whether a life that had a request at began is over. Where an earlier look
// does not show it, the worker's time of day has to do, against this machine's.
func (l *look) ended(began time.Time) bool {
	switch {
	case l.refused:
		return true
	case l.born == 0:
		return false
	case l.before != 0 && l.born != l.before:
		return true
	}
	return l.born > time.Now().Add(-clock.Since(began)).UnixMilli()
}

func (c *Client) look(endpoint Endpoint, l *look) {
	// Whoever asked first may leave before the others.
	ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", endpoint.Address)
	l.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		l.born = c.askBorn(ctx, endpoint, newConnection(conn))
	}
	c.mutex.Lock()
	delete(c.looks, endpoint.ID)
	if err == nil {
		c.dialed++
	}
	l.before = c.born[endpoint.ID]
	switch {
	case l.refused:
		delete(c.born, endpoint.ID)
	case l.born != 0:
		c.born[endpoint.ID] = l.born
	}
	c.mutex.Unlock()
	close(l.done)
}

// askBorn asks a worker since when it has been there, and keeps the connection. It returns
// zero where the worker does not tell.
func (c *Client) askBorn(ctx context.Context, endpoint Endpoint, fresh *connection) int64 {
	if c.dialect.ReportPath == "" {
		fresh.idleUntil = clock.Now().Add(defaultIdle)
		c.keep(endpoint.ID, fresh)
		return 0
	}
	request := &Request{Method: http.MethodGet, Target: c.dialect.ReportPath, Host: endpoint.Address}
	response, err := c.sendOver(ctx, endpoint, fresh, request, time.Now().Add(endedTimeout))
	if err != nil {
		return 0
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil || response.Status != http.StatusOK {
		return 0
	}
	return c.dialect.ParseStartTime(body)
}

// maxReportBytes bounds what a worker says of itself.
const maxReportBytes = 64 << 10
