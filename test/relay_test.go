package test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to a process. While cut, it accepts connections but discards all
// data, like a network partition that closes no connection.
type relay struct {
	listener net.Listener
	mutex    sync.Mutex
	target   string
	cut      bool
	open     map[net.Conn]bool
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, open: map[net.Conn]bool{}}
	t.Cleanup(func() {
		listener.Close()
		r.setCut(false)
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) forwardTo(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.target = target
}

// setCut cuts or restores the link. Restoring closes the open connections, as if they had timed
// out.
func (r *relay) setCut(cut bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
	if cut {
		return
	}
	for connection := range r.open {
		connection.Close()
	}
	r.open = map[net.Conn]bool{}
}

func (r *relay) accept() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(connection)
	}
}

func (r *relay) serve(connection net.Conn) {
	r.mutex.Lock()
	target, cut := r.target, r.cut
	r.open[connection] = true
	r.mutex.Unlock()
	if cut {
		return
	}
	onward, err := net.Dial("tcp", target)
	if err != nil {
		connection.Close()
		return
	}
	r.mutex.Lock()
	r.open[onward] = true
	r.mutex.Unlock()
	go r.copy(onward, connection)
	r.copy(connection, onward)
}

// copy forwards one direction. Data that arrives while the link is cut is lost.
func (r *relay) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		r.mutex.Lock()
		cut := r.cut
		r.mutex.Unlock()
		if count > 0 && !cut {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil && !cut {
			to.Close()
			from.Close()
			return
		}
		if err != nil {
			return
		}
	}
}
