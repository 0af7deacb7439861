package test

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// soakCrowdsSeconds is how long the default run with misbehaving clients injects faults.
	soakCrowdsSeconds = 25
	// soakCrowds is the number of crowds at a time, crowdSize the most clients of one.
	soakCrowds = 3
	crowdSize  = 120
	// maxCrowdStay is the longest time for which a crowd stays.
	maxCrowdStay = 3 * time.Second
	// maxSignals is the most signals in a series.
	maxSignals = 5
)

// crowdLimits are the limits of the machines in a run with misbehaving clients.
var crowdLimits = hostedLimits{memoryMB: 160, maxFDs: 500, maxBodyBytes: hostedMaxBodyBytes}

// soakCrowdState is the state of a run with clients that don't behave.
type soakCrowdState struct {
	// forms are what the clients of a crowd send, by name.
	forms []crowdForm
}

// crowdForm is what the clients of a crowd send to addresses of a class of machines.
type crowdForm struct {
	name string
	// ports are the addresses at which it is sent: the class of the machines and the offset of the port.
	ports []crowdPort
	text  func(number int) string
}

type crowdPort struct {
	class  string
	offset int
}

// metricsOffset stands for the port of the metrics, which is the same on all machines.
const metricsOffset = -1

func newSoakCrowds() *soakCrowdState {
	callers, ready, own := crowdPort{"front", portCallers}, crowdPort{"front", portReady}, []crowdPort{{"front", 0}, {"core", 0}, {"store", 0}}
	operators, metrics := crowdPort{"core", portControl}, []crowdPort{{"front", metricsOffset}, {"core", metricsOffset}, {"store", metricsOffset}}
	everywhere := append(append([]crowdPort{callers, callers, ready, operators}, own...), metrics...)
	chunks, bytes := chunked(hostedMaxBodyBytes-missingBytes, chunkBytes), chunked(hostedMaxBodyBytes/8, 1)
	items := `{"items":[` + strings.Repeat("{},", hostedMaxBodyBytes/3-10) + `{}]}`
	request := func(path, fields, body string) func(int) string {
		return func(number int) string {
			return requestHead(hostedHost, path, fmt.Sprintf("crowd-%d", number), fields) + "\r\n" + body
		}
	}
	var fields strings.Builder
	for number := 0; fields.Len() < 60<<10; number++ {
		fmt.Fprintf(&fields, "a%x:\r\n", number)
	}
	head := requestHead(hostedHost, "/stream/a", "crowd", fields.String())
	told := fmt.Sprintf("Content-Length: %d\r\n", hostedMaxBodyBytes)
	return &soakCrowdState{forms: []crowdForm{
		{"silent", everywhere, func(int) string { return "" }},
		{"heads", everywhere, func(int) string { return head }},
		{"large chunks", []crowdPort{callers, operators}, request("/stream/a", "Transfer-Encoding: chunked\r\n", chunks)},
		{"small chunks", []crowdPort{callers}, request("/once/a", "Transfer-Encoding: chunked\r\n", bytes)},
		{"lengths", []crowdPort{callers, callers, operators}, request("/once/a", told, strings.Repeat("x", hostedMaxBodyBytes-missingBytes))},
		{"told lengths", everywhere, request("/stream/a", told, "x")},
		{"jobs", []crowdPort{callers}, request("/batch/crowd", fmt.Sprintf("Content-Length: %d\r\n", len(items)), items)},
		{"no route", everywhere, request("/none/a", "Transfer-Encoding: chunked\r\n", chunked(1000, 1000))},
		{"documents", []crowdPort{operators}, func(int) string {
			return "PUT /-/config HTTP/1.1\r\nHost: any\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
		}},
	}}
}

// TestSoakCrowds runs the soak test beside crowds of clients that don't behave, at all addresses. No
// process may end or exceed the limits of its machine, all promises hold, and every edge serves
// afterwards. What ordinary clients get beside a crowd is counted only.
func TestSoakCrowds(t *testing.T) {
	seed := envInt(t, "SEDGEMAST_SOAK_SEED", soakSeed)
	s := newSoakWith(t, seed, crowdLimits)
	// Processes of an earlier build have no bounds.
	s.released = ""
	s.crowds = newSoakCrowds()
	watchPeaks(t, crowdLimits.memoryMB, crowdLimits.maxFDs, func() map[string]int64 {
		pids := map[string]int64{}
		for name, machine := range s.machines {
			pids[name] = machine.pid.Load()
		}
		return pids
	})
	s.run(time.Duration(envInt(t, "SEDGEMAST_SOAK_SECONDS", soakCrowdsSeconds)) * time.Second)
	for _, name := range s.edges() {
		s.waitServing(t, s.address(s.machines[name], portCallers))
	}
	s.checkEnd()
	t.Logf("seed %d, %d faults; %d crowds, %d series of signals, %d requests without an answer beside crowds; %s", seed, len(s.faults), s.counts["crowds"], s.counts["signals"], s.counts["closed beside crowds"], s.summary())
	for _, violation := range s.violations {
		t.Error(violation)
	}
	if len(s.violations) > 0 || t.Failed() {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	s.requireChecks("complete answers", "at most once", "completed jobs", "stable positions", "planned stops", "all killed", "third frozen", "crowds", "signals")
}

// runCrowds lets one crowd after the other come to random addresses.
func (s *soak) runCrowds(random *rand.Rand, stop <-chan struct{}) {
	for {
		form := &s.crowds.forms[random.Intn(len(s.crowds.forms))]
		port := form.ports[random.Intn(len(form.ports))]
		var names []string
		for _, name := range s.names() {
			if strings.HasPrefix(name, port.class) {
				names = append(names, name)
			}
		}
		machine := s.machines[names[random.Intn(len(names))]]
		address := s.address(machine, port.offset)
		if port.offset == metricsOffset {
			address = net.JoinHostPort(machine.ip, "9464")
		}
		clients, stay := 1+random.Intn(crowdSize), time.Duration(random.Int63n(int64(maxCrowdStay)))
		s.logFault("crowd of %d at %s of %s: %s", clients, address, machine.name, form.name)
		s.count("crowds")
		s.runCrowd(address, clients, stay, form.text)
		select {
		case <-stop:
			return
		default:
		}
	}
}

// runCrowd lets clients use their connections to an address until these are gone or the crowd leaves.
func (s *soak) runCrowd(address string, clients int, stay time.Duration, text func(number int) string) {
	leave := time.Now().Add(stay)
	var crowd sync.WaitGroup
	for number := range clients {
		crowd.Go(func() {
			connection, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			defer connection.Close()
			_ = connection.SetDeadline(leave)
			if _, err := connection.Write([]byte(text(number))); err != nil {
				return
			}
			// An end, or the time to leave, ends the wait. What is sent stays in the buffers.
			one := make([]byte, 1)
			for time.Now().Before(leave) {
				if _, err := connection.Read(one); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	crowd.Wait()
}

// signalSeries sends a machine several signals to read its settings anew, between which others may stop
// it.
func (s *soak) signalSeries(machine *hostedMachine, count int, pause time.Duration) func() {
	return func() {
		s.logFault("%d signals to %s", count, machine.name)
		for range count {
			// Before it has started, the signal would end it.
			if machine.hasStarted() {
				_ = machine.command.Process.Signal(syscall.SIGHUP)
			}
			time.Sleep(pause)
		}
		s.count("signals")
	}
}

// signalAll sends series of signals to all machines at the same time, while one of them is stopped as
// planned and started again.
func (s *soak) signalAll() {
	restarted := s.edges()[0]
	defer s.recordDisturbed(restarted)
	var signals sync.WaitGroup
	signals.Go(func() { s.restart(s.machines[restarted], false) })
	for _, name := range s.names() {
		if name != restarted {
			signals.Go(s.signalSeries(s.machines[name], maxSignals, 100*time.Millisecond))
		}
	}
	signals.Wait()
}
