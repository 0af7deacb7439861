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
	// readBy is until when a read waits.
	readBy time.Time
}

const (
	// lateAfter is by how much a read may end after its time in a process that runs.
	lateAfter = 100 * time.Millisecond
	// lookTime is how long what has come meanwhile is read after a standstill.
	lookTime = 20 * time.Millisecond
)

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.readBy = at
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn. Where its time ends long after it should have, this process
// stood still: the worker may have answered in time, so that is looked for before its
// silence counts.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if late := time.Since(c.readBy); err != nil && count == 0 && !c.readBy.IsZero() && late > lateAfter && TimedOut(err) {
		if c.SetReadDeadline(time.Now().Add(lookTime)) == nil {
			count, err = c.Conn.Read(buffer)
		}
	}
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
