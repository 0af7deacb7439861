package test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
)

const (
	// hostedGrace is the time that a machine has between SIGTERM and SIGKILL.
	hostedGrace = 8 * time.Second
	// stopInterval is the time between two requests to a stopping edge.
	stopInterval = 100 * time.Millisecond
	// acceptTime is how long after the signal an edge takes what it can serve.
	acceptTime = 2 * time.Second
	// maxSignalPause is the longest pause between two signals of a series.
	maxSignalPause = 800 * time.Millisecond
	// stopWorkers is the number of workers, enough for all requests that run at once.
	stopWorkers = 10
)

// stopKind is a kind of requests to an edge that stops.
type stopKind struct {
	name, path string
	// run is how long a worker needs. deadline is the time that callers give, zero for the route's.
	run, deadline time.Duration
}

// stopKinds are requests that the stop leaves time for, and requests that it may not.
var stopKinds = []stopKind{
	{"short", "/once/a", time.Second, 3 * time.Second},
	{"repeatable", "/stream/a", 2 * time.Second, 4 * time.Second},
	{"long", "/once/a", 5 * time.Second, 0},
	{"longer", "/stream/a", 5500 * time.Millisecond, 0},
	{"single", "/single/a", 5 * time.Second, 15 * time.Second},
}

// fits reports whether an edge that takes such a request until acceptTime has time for it.
func (k *stopKind) fits() bool { return k.deadline > 0 && k.deadline <= 4*time.Second }

// kindOf returns the kind of a request with the id.
func kindOf(id string) *stopKind {
	name, _, _ := strings.Cut(id, "-")
	for i := range stopKinds {
		if stopKinds[i].name == name {
			return &stopKinds[i]
		}
	}
	return nil
}

// stopFleet starts a fleet whose workers need the time of each request's kind, and returns it with an edge.
func stopFleet(t *testing.T) (*hostedFleet, *hostedMachine) {
	f := newHostedFleet(t, stopWorkers)
	eventually(t, "the first configuration", func() bool {
		return f.putConfiguration("core-2", f.configuration(5, brokenRoutes())) == http.StatusOK
	})
	machine := f.machines["front-21"]
	f.waitServing(t, f.address(machine, portCallers))
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		if kind := kindOf(request.ID); kind != nil {
			return emulator.HostedFault{RunFor: kind.run}
		}
		return emulator.HostedFault{}
	})
	return f, machine
}

// signalInSeries sends SIGTERM to the machine, and then more signals with drawn pauses.
func (m *hostedMachine) signalInSeries(seed int64) {
	random, process := rand.New(rand.NewSource(seed)), m.command.Process
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		// An error means that the process has ended.
		_ = process.Signal(signal)
		time.Sleep(time.Duration(random.Int63n(int64(maxSignalPause))))
	}
}

// stop sends signals in series to the machine and checks that it exits by itself within the grace.
func (m *hostedMachine) stop(t *testing.T) {
	t.Helper()
	signalledAt := time.Now()
	go m.signalInSeries(1)
	ctx, cancel := context.WithDeadline(context.Background(), signalledAt.Add(hostedGrace))
	defer cancel()
	select {
	case err := <-m.exited:
		if err != nil {
			t.Errorf("%s exited with %v", m.name, err)
		}
		// Whoever kills the machine later reads the result, too.
		m.exited <- err
	case <-ctx.Done():
		t.Errorf("%s still runs %s after SIGTERM", m.name, hostedGrace)
	}
}

// TestPlannedStopServesOrRefuses guards against an edge that takes requests which its stop then cuts. Clients
// use their open connections until the process is gone.
func TestPlannedStopServesOrRefuses(t *testing.T) {
	f, machine := stopFleet(t)
	address := f.address(machine, portCallers)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var mutex sync.Mutex
	served, refused := map[string]int{}, map[string]int{}
	var signalledAt time.Time
	var sending sync.WaitGroup
	send := func(id string) {
		kind := kindOf(id)
		headers := map[string]string{"Request-Id": id, "Token-Count": "10,6"}
		if kind.deadline > 0 {
			headers["Deadline-Ms"] = fmt.Sprint(kind.deadline.Milliseconds())
		}
		sentAt := time.Now()
		status, header, body, err := f.callOver(client, hostedTimeout, http.MethodPost, address, kind.path, headers, "p")
		mutex.Lock()
		defer mutex.Unlock()
		sinceSignal := -hostedGrace
		if !signalledAt.IsZero() {
			sinceSignal = sentAt.Sub(signalledAt)
		}
		switch {
		case err == nil && status == http.StatusOK && body == events(id, 1, 6):
			if sinceSignal > 0 {
				served[kind.name]++
			}
		case status == http.StatusServiceUnavailable && f.runCount(id) == 0 && sinceSignal > -stopInterval:
			refused[kind.name]++
			if header.Get("Retry-After") == "" {
				t.Errorf("%s: a refusal without Retry-After", id)
			}
			if kind.fits() && sinceSignal < acceptTime {
				t.Errorf("%s: refused %s after the signal, though there was time", id, sinceSignal)
			}
		case status == 0 && f.runCount(id) == 0 && sinceSignal > acceptTime:
			// The connection was refused, or closed before the request was read.
		default:
			t.Errorf("%s, sent %s after the signal: %d, %v, %q, %d runs", id, sinceSignal, status, err, body, f.runCount(id))
		}
	}
	stopped := make(chan struct{})
	go func() {
		time.Sleep(time.Second)
		mutex.Lock()
		signalledAt = time.Now()
		mutex.Unlock()
		machine.stop(t)
		close(stopped)
	}()
	for number := 0; ; number++ {
		select {
		case <-stopped:
			sending.Wait()
			for _, kind := range stopKinds {
				if kind.fits() && served[kind.name] == 0 || !kind.fits() && refused[kind.name] == 0 {
					t.Errorf("%s: %d served, %d refused after the signal", kind.name, served[kind.name], refused[kind.name])
				}
			}
			t.Logf("after the signal: served %v, refused %v", served, refused)
			return
		case <-time.After(stopInterval):
		}
		id := fmt.Sprintf("%s-%d", stopKinds[number%len(stopKinds)].name, number)
		sending.Go(func() { send(id) })
	}
}

// TestPlannedStopAnswersWhatItCuts guards against an edge that ends without an answer to what it has read, or
// that waits for clients which don't go on until it is killed.
func TestPlannedStopAnswersWhatItCuts(t *testing.T) {
	f, machine := stopFleet(t)
	address := f.address(machine, portCallers)
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		return emulator.HostedFault{Hang: strings.HasPrefix(request.ID, "hang")}
	})
	head := "POST %s HTTP/1.1\r\nHost: " + hostedHost + "\r\nRequest-Id: %s\r\nToken-Count: 10,6\r\nContent-Length: %d\r\n\r\npart"
	var ends sync.WaitGroup
	for _, test := range []struct {
		name, sent string
		// want is the beginning of the answer, empty if the connection may just be closed.
		want string
	}{
		{"at a worker", fmt.Sprintf(head, "/once/a", "hang-1", 4), "HTTP/1.1 502 "},
		{"at a worker, repeatable", fmt.Sprintf(head, "/stream/a", "hang-2", 4), "HTTP/1.1 502 "},
		{"unfinished body", fmt.Sprintf(head, "/once/a", "body-1", 100), "HTTP/1.1 503 "},
		{"unfinished job", fmt.Sprintf(head, "/batch/a", "body-2", 100), "HTTP/1.1 503 "},
		{"unfinished head", "POST /once/a HTTP/1.1\r\nHost: ", ""},
		{"silent", "", ""},
	} {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		if _, err := io.WriteString(connection, test.sent); err != nil {
			t.Fatal(err)
		}
		ends.Go(func() {
			_ = connection.SetReadDeadline(time.Now().Add(hostedTimeout))
			answer, _ := io.ReadAll(connection)
			if !strings.HasPrefix(string(answer), test.want) {
				t.Errorf("%s: %q, want %s", test.name, answer, test.want)
			}
		})
	}
	eventually(t, "the requests at workers", func() bool { return f.runCount("hang-1") == 1 && f.runCount("hang-2") >= 1 })
	machine.stop(t)
	ends.Wait()
	if runs := f.runCount("hang-1"); runs != 1 {
		t.Errorf("%d runs at most once", runs)
	}
}

// TestPlannedStopOfAllRoles checks that each process ends by itself within the grace while clients hold
// connections to all its addresses.
func TestPlannedStopOfAllRoles(t *testing.T) {
	f, _ := stopFleet(t)
	var stopping sync.WaitGroup
	for _, name := range []string{"core-1", "store-11", "front-22"} {
		machine := f.machines[name]
		for port := range portReady + 1 {
			connection, err := net.Dial("tcp", f.address(machine, port))
			if err != nil {
				continue
			}
			defer connection.Close()
			if _, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart"); err != nil {
				t.Fatal(err)
			}
		}
		stopping.Go(func() { machine.stop(t) })
	}
	stopping.Wait()
}
