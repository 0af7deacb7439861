package emulator

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// Incarnation returns the id of the worker's present life: its ID at first, and another
// one each time it is back, unless it keeps it.
func (w *HostedWorker) Incarnation() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.incarnation == 0 || w.KeepID {
		return w.ID
	}
	return fmt.Sprintf("%s.%d", w.ID, w.incarnation)
}

// Exits returns how often the worker has ended.
func (w *HostedWorker) Exits() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ends
}

// end ends the worker, whatever runs on it, as a crash does: its connections close and
// nobody listens. It is back after a while.
func (w *HostedWorker) end(back time.Duration) {
	w.mutex.Lock()
	server := w.server
	address := server.Listener.Addr().String()
	if w.closed || w.down {
		w.mutex.Unlock()
		return
	}
	w.ends++
	w.down = true
	w.mutex.Unlock()
	// It waits for nobody; what it can't close is closed already.
	_ = server.Config.Close()
	time.AfterFunc(back, func() { w.comeBack(address) })
}

// comeBack listens at the address again, unless the worker was closed meanwhile.
func (w *HostedWorker) comeBack(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		// The port is taken: the stand-in stays away, as a worker may.
		return
	}
	next := httptest.NewUnstartedServer(http.HandlerFunc(w.serve))
	_ = next.Listener.Close()
	next.Listener = listener
	next.Start()
	w.server = next
	w.incarnation++
	w.born = time.Now()
	w.down = false
}
