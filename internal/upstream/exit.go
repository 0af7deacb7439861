package upstream

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/incarnation"
)

// exitCheckTimeout bounds an exit check. It can be short: the worker's machine has just sent the
// end of a connection, so it responds within a round trip or not at all.
const exitCheckTimeout = 150 * time.Millisecond

// Disconnected reports whether an exchange failed because the other side closed or reset the
// connection before the end of the response.
func Disconnected(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// provesSameStart reports whether the process that answers at the worker's address now is the start of the
// worker that got a request at requestStart. The worker tells its id, which a new start may keep only if it
// tells its start time in its report. A check without a result proves nothing.
//
// Unlike WorkerExited, concurrent calls share no check: one that is in progress may have begun before the
// caller's answer ended.
func (c *Client) provesSameStart(ctx context.Context, endpoint Endpoint, requestStart time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	connection, err := c.dial(ctx, endpoint)
	if err != nil {
		return false
	}
	request := &Request{Method: http.MethodGet, Target: c.healthPath(endpoint), Host: endpoint.Address}
	response, err := c.sendOver(ctx, endpoint, connection, request, time.Now().Add(healthTimeout))
	if err != nil {
		return false
	}
	id := response.Header.Get(c.headers.WorkerID)
	response.Close()
	if id == "" || id != incarnation.WorkerID(endpoint.ID) {
		return false
	}
	return c.headers.ReportPath == "" || !c.WorkerExited(ctx, endpoint, requestStart)
}

// healthPath returns the path of the worker's health checks.
func (c *Client) healthPath(endpoint Endpoint) string {
	if c.directory != nil {
		if path := c.directory.WorkerState(endpoint.ID).HealthPath; path != "" {
			return path
		}
	}
	return defaultHealthPath
}

// exitCheck is a check whether a worker has exited, shared by all requests that wait for it.
type exitCheck struct {
	done chan struct{}
	// refused is set if nothing listens at the address. startTime is the start time that the worker
	// reported, in Unix milliseconds by its own clock, or zero if unknown. previousStart is the
	// start time from an earlier check, or zero.
	refused       bool
	startTime     int64
	previousStart int64
}

// WorkerExited reports whether the worker, which has just disconnected during a request sent at
// requestStart, has exited: nothing listens at its address any more, or the start time that it
// reports shows a restart. A reset connection, a malformed response or an unresponsive network does
// not count as an exit. Concurrent calls for one worker share one check.
func (c *Client) WorkerExited(ctx context.Context, endpoint Endpoint, requestStart time.Time) bool {
	c.mutex.Lock()
	check := c.exitChecks[endpoint.ID]
	if check == nil {
		check = &exitCheck{done: make(chan struct{})}
		c.exitChecks[endpoint.ID] = check
		go c.checkExit(endpoint, check)
	}
	c.mutex.Unlock()
	select {
	case <-check.done:
		return check.exited(requestStart)
	case <-ctx.Done():
		return false
	}
}

// exited reports whether the incarnation that received a request at requestStart has exited. If no
// earlier check shows this, the worker's start time is compared with this machine's wall clock.
func (e *exitCheck) exited(requestStart time.Time) bool {
	switch {
	case e.refused:
		return true
	case e.startTime == 0:
		return false
	case e.previousStart != 0 && e.startTime != e.previousStart:
		return true
	}
	return e.startTime > time.Now().Add(-clock.Since(requestStart)).UnixMilli()
}

func (c *Client) checkExit(endpoint Endpoint, check *exitCheck) {
	// The check is shared, so the context of the first caller must not cancel it.
	ctx, cancel := context.WithTimeout(context.Background(), exitCheckTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", endpoint.Address)
	check.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		check.startTime = c.fetchStartTime(ctx, endpoint, newConnection(conn))
	}
	c.mutex.Lock()
	delete(c.exitChecks, endpoint.ID)
	if err == nil {
		c.dialed++
	}
	check.previousStart = c.startTimes[endpoint.ID]
	switch {
	case check.refused:
		delete(c.startTimes, endpoint.ID)
	case check.startTime != 0:
		c.startTimes[endpoint.ID] = check.startTime
	}
	c.mutex.Unlock()
	close(check.done)
}

// fetchStartTime reads the start time from the worker's report. Without a report it keeps the connection
// for requests. It returns zero if the worker does not report it.
func (c *Client) fetchStartTime(ctx context.Context, endpoint Endpoint, conn *connection) int64 {
	if c.headers.ReportPath == "" {
		conn.idleUntil = clock.Now().Add(defaultIdleTimeout)
		c.putIdle(endpoint.ID, conn)
		return 0
	}
	request := &Request{Method: http.MethodGet, Target: c.headers.ReportPath, Host: endpoint.Address}
	response, err := c.sendOver(ctx, endpoint, conn, request, time.Now().Add(exitCheckTimeout))
	if err != nil {
		return 0
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil || response.Status != http.StatusOK {
		return 0
	}
	return c.headers.ParseStartTime(body)
}

// maxReportBytes bounds the report that a worker returns.
const maxReportBytes = 64 << 10
