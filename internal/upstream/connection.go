package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const readBufferBytes = 8 << 10

// connection is one connection to a worker. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// reused is set once it has carried a request.
	reused bool
	// idleUntil is when the worker may close it.
	idleUntil time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
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
