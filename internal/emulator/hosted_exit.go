package emulator

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"
)

// Incarnation returns the id of the worker's current incarnation: ID until the first restart,
// then a new id after each restart, or always ID if KeepID is set.
func (w *HostedWorker) Incarnation() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.incarnation == 0 || w.KeepID {
		return w.ID
	}
	return fmt.Sprintf("%s.%d", w.ID, w.incarnation)
}

// version returns the version of the worker's software.
func (w *HostedWorker) version() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Version
}

// TakesRequests returns the worker's version, and whether it is up and not draining.
func (w *HostedWorker) TakesRequests() (version string, takes bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Version, !w.down && !w.draining && !w.closed
}

// Restart emulates a crash, after which the worker runs the given version.
func (w *HostedWorker) Restart(version string, restartAfter time.Duration) {
	w.mutex.Lock()
	w.nextVersion = version
	w.mutex.Unlock()
	w.exit(restartAfter)
}

// Exits returns the number of times that the worker has exited.
func (w *HostedWorker) Exits() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.exits
}

// exit emulates a crash: it closes all connections, whatever runs on them, and the listener. The
// worker restarts after restartAfter.
func (w *HostedWorker) exit(restartAfter time.Duration) {
	w.mutex.Lock()
	server := w.server
	address := server.Listener.Addr().String()
	if w.closed || w.down {
		w.mutex.Unlock()
		return
	}
	w.exits++
	w.down = true
	w.mutex.Unlock()
	// Close does not wait for running requests; an error means that a connection or the
	// listener was closed already.
	_ = server.Config.Close()
	time.AfterFunc(restartAfter, func() { w.restart(address) })
}

// restart listens at the address again, unless the worker was closed in the meantime.
func (w *HostedWorker) restart(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		// Another process uses the port. The worker stays down, as a real one may.
		return
	}
	next := httptest.NewUnstartedServer(http.HandlerFunc(w.serve))
	_ = next.Listener.Close()
	next.Listener = listener
	next.Start()
	w.server = next
	w.incarnation++
	w.draining = false
	if w.nextVersion != "" {
		w.Version, w.nextVersion = w.nextVersion, ""
	}
	w.startedAt = time.Now()
	w.down = false
}
