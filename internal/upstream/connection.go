package upstream

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sedgemast/sedgemast/internal/httpanswer"
)

const readBufferBytes = 8 << 10

// connection is a TCP connection to a worker. It carries one request at a time.
type connection struct {
	net.Conn
	reader *httpanswer.Reader
	// sent and received count the bytes of the current request.
	sent     atomic.Int64
	received atomic.Int64
	// reused is set once the connection has carried a request.
	reused bool
	// idleUntil is the time from which the worker may close the idle connection.
	idleUntil time.Time
	// readDeadline is the deadline of reads.
	readDeadline time.Time
	// limit is the bound of the part of the answer that is read now, unread what is left of it.
	limit  LimitError
	unread int64
	// broken is the error, other than a timeout, that ended reading.
	broken error
}

const (
	// lateThreshold is the delay after the deadline from which a timed out read counts as late,
	// because the process was stalled.
	lateThreshold = 100 * time.Millisecond
	// rereadTimeout bounds the second read after a stall, which returns data that has already
	// arrived.
	rereadTimeout = 20 * time.Millisecond
)

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.reader = httpanswer.NewReader(c, readBufferBytes)
	c.setLimit("the head", maxHeadBytes)
	return c
}

// setLimit bounds what is read from now on, and names it for the error of a read beyond the bound.
func (c *connection) setLimit(what string, bytes int64) {
	c.limit, c.unread = LimitError{What: what, Bytes: bytes}, bytes
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.readDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn. It fails with a LimitError beyond the limit. If a read times out long after
// its deadline, this process was stalled, and the worker may have responded in time. Then Read tries
// once more before it reports the timeout. Any other error stays, since a socket reports a reset only once.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.broken != nil {
		return 0, c.broken
	}
	if c.unread <= 0 {
		exceeded := c.limit
		return 0, &exceeded
	}
	buffer = buffer[:min(int64(len(buffer)), c.unread)]
	count, err := c.Conn.Read(buffer)
	if late := time.Since(c.readDeadline); err != nil && count == 0 && !c.readDeadline.IsZero() && late > lateThreshold && TimedOut(err) {
		if c.SetReadDeadline(time.Now().Add(rereadTimeout)) == nil {
			count, err = c.Conn.Read(buffer)
		}
	}
	if err != nil && !TimedOut(err) {
		c.broken = err
	}
	c.received.Add(int64(count))
	c.unread -= int64(count)
	return count, err
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(int64(count))
	return count, err
}

// isAcknowledged reports whether the worker's machine has acknowledged all that was written.
func (c *connection) isAcknowledged() bool {
	return c.checkSocket(func(descriptor int) bool {
		unacknowledged, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		return err == nil && unacknowledged == 0
	})
}

// isClean reports whether an idle connection is open and has no unread bytes. Bytes after the last
// response belong to no request.
func (c *connection) isClean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.checkSocket(func(descriptor int) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(descriptor, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == syscall.EAGAIN
	})
}

// checkSocket reports whether the check of the connection's socket, which must not block, succeeds. A
// connection without a socket passes.
func (c *connection) checkSocket(check func(descriptor int) bool) bool {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	passed := false
	err = raw.Control(func(descriptor uintptr) { passed = check(int(descriptor)) })
	return err == nil && passed
}
