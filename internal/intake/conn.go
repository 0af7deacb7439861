package intake

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgemast/sedgemast/internal/connlimit"
	"github.com/sedgemast/sedgemast/internal/memlimit"
)

const (
	// freeHeadBytes is the size of a head that is not charged while it is read.
	freeHeadBytes = 4 << 10
	// headFactor is the memory that a byte of a head takes at most: each field of a few bytes is an entry
	// of a map with a list.
	headFactor = 16
)

// Listen returns a listener that accepts connections as the limiter decides. Name is the server's name
// in metrics, limit the name of the limiter's setting in logs.
func (g *Guard) Listen(inner net.Listener, limiter *connlimit.Limiter, name, limit string) net.Listener {
	return &listener{Listener: inner, guard: g, limiter: limiter, name: name, limit: limit}
}

type listener struct {
	net.Listener
	guard       *Guard
	limiter     *connlimit.Limiter
	name, limit string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, guard: l.guard, listener: l}
		if c.place = l.limiter.Accept(time.Now(), c.evict); c.place != nil {
			return c, nil
		}
		l.recordGivenUp("new")
		// The caller sees a connection that was closed before its request was read.
		_ = inner.Close()
	}
}

// recordGivenUp counts a connection that was given up.
func (l *listener) recordGivenUp(state string) {
	l.guard.evicted.WithLabelValues(l.name, state).Inc()
	stats := l.limiter.Stats()
	l.guard.logLimit(l.limit, "server", l.name, "state", state, "open", stats.Open, "share", stats.Share)
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	guard    *Guard
	listener *listener
	place    *connlimit.Place
	// request is the last request, nil while the next head is awaited and read.
	request atomic.Pointer[request]
	state   atomic.Uint32

	// mutex guards the fields below: what has been read of a head, and the charge for it.
	mutex      sync.Mutex
	headBytes  int64
	headCharge *memlimit.Charge
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	r := c.request.Load()
	if r != nil && r.reading.Load() {
		return r.readConn(buffer)
	}
	count, err := c.Conn.Read(buffer)
	if r == nil && count > 0 {
		c.readHead(int64(count))
	}
	return count, err
}

// readHead charges a part of a head. If it is too much, the connection is closed: there is no request yet
// that could be answered.
func (c *conn) readHead(count int64) {
	c.setState(connlimit.Sending)
	c.mutex.Lock()
	c.headBytes += count
	excess := min(count, c.headBytes-freeHeadBytes)
	if excess > 0 && c.headCharge == nil {
		c.headCharge = c.guard.account.Open(time.Now(), func() {
			c.guard.refused.WithLabelValues("revoked").Inc()
			c.giveUp()
		})
	}
	charge := c.headCharge
	c.mutex.Unlock()
	if excess > 0 && !charge.Add(time.Now(), excess*headFactor) {
		_ = c.guard.refusal("refused")
		_ = c.Close()
	}
}

// endHead releases the charge of the head.
func (c *conn) endHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.headCharge != nil {
		c.headCharge.Close()
		c.headCharge = nil
	}
	c.headBytes = 0
}

// begin returns the request whose head has been read.
func (c *conn) begin() *request {
	r := newRequest(c)
	c.request.Store(r)
	c.endHead()
	c.setState(connlimit.Serving)
	return r
}

// awaitNext records that the last request has been answered.
func (c *conn) awaitNext() {
	c.request.Store(nil)
	c.setState(connlimit.Idle)
}

func (c *conn) setState(state connlimit.State) {
	if connlimit.State(c.state.Swap(uint32(state))) != state {
		c.listener.limiter.SetState(c.place, time.Now(), state)
	}
}

// evict gives the connection up in favour of a new one.
func (c *conn) evict() {
	c.listener.recordGivenUp(connlimit.State(c.state.Load()).String())
	c.giveUp()
}

// giveUp ends the request that the connection sends, or closes it if there is none yet that could be
// answered.
func (c *conn) giveUp() {
	if r := c.request.Load(); r != nil {
		r.revoke()
		return
	}
	_ = c.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.endHead()
	c.listener.limiter.Release(c.place)
	return c.Conn.Close()
}
