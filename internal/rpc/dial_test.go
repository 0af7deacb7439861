package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// unresponsiveAddress returns an address at which connections are neither accepted nor
// refused, as at a machine without power: the backlog of its listener is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(socket) })
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}).String()
	for {
		connection, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = connection.Close() })
	}
}

// TestDialTimeout calls an address that does not respond: the dial must time out long before
// the call's context does, and the failure must be NotRun.
func TestDialTimeout(t *testing.T) {
	client := NewClientWithDialTimeout(20 * time.Millisecond)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := Call[wire.Empty](ctx, client, unresponsiveAddress(t), "m", &wire.Empty{})
	if !failure.Is(err, failure.NotRun) || ctx.Err() != nil {
		t.Errorf("%v, error of the call's context: %v", err, ctx.Err())
	}
}
