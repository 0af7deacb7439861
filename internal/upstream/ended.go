package upstream

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/sedgemast/sedgemast/internal/clock"

	"github.com/cockroachdb/errors"
)

// endedTimeout bounds the look whether a worker has ended: the machine has just sent the
// end of a connection, so it answers within a round trip, or not at all.
const endedTimeout = 150 * time.Millisecond

// BrokeOff reports whether an exchange ended because the other side closed or reset the
// connection in the midst of it.
func BrokeOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// look is a look at a worker that others wait for.
type look struct {
	done  chan struct{}
	ended bool
}

// Ended reports whether the worker, which has just broken off, has ended: nobody listens
// at its address any more. A reset connection, a spoilt answer or a silent network is not
// an end. Those who ask at the same time share one connection, which is kept where it
// comes about.
func (c *Client) Ended(ctx context.Context, endpoint Endpoint) bool {
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
		return shared.ended
	case <-ctx.Done():
		return false
	}
}

func (c *Client) look(endpoint Endpoint, l *look) {
	// Whoever asked first may leave before the others.
	ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", endpoint.Address)
	l.ended = errors.Is(err, syscall.ECONNREFUSED)
	c.mutex.Lock()
	delete(c.looks, endpoint.ID)
	if err == nil {
		c.dialed++
	}
	c.mutex.Unlock()
	if err == nil {
		fresh := newConnection(conn)
		fresh.idleUntil = clock.Now().Add(defaultIdle)
		c.keep(endpoint.ID, fresh)
	}
	close(l.done)
}
