package connlimit

import (
	"net"
	"sync"
)

// Listen returns a listener that closes the connections which the limiter does not accept.
func (l *Limiter) Listen(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.Accept() {
			return &limitedConn{Conn: conn, limiter: l.limiter}, nil
		}
		// The caller sees a connection that was closed before its request was read.
		_ = conn.Close()
	}
}

// limitedConn is an accepted connection, which is released when it is closed.
type limitedConn struct {
	net.Conn
	limiter *Limiter
	once    sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.limiter.Release)
	return c.Conn.Close()
}
