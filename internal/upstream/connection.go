package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const readBufferBytes = 8 << 10

// connection is one connection to a worker. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// sent and received count the bytes of the present request.
	sent     atomic.Int64
	received atomic.Int64
	// reused is set once it has carried a request.
	reused bool
	// idleUntil is when the worker may close it.
	idleUntil time.Time
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(int64(count))
	return count, err
}

// quiet reports whether an idle connection is open and holds no bytes: what came
// after the last answer belongs to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
