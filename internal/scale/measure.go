package scale

import (
	"bufio"
	"context"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/clock"
)

// Process is a real process whose metrics are read.
type Process struct {
	Role    string
	Name    string
	Address string
}

// usage is what a process has spent so far.
type usage struct {
	cpuSeconds    float64
	residentBytes float64
}

// readUsage reads a process's metrics page.
func readUsage(ctx context.Context, process Process) (usage, error) {
	var read usage
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.Address+"/metrics", nil)
	if err != nil {
		return read, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return read, errors.Wrapf(err, "%s does not answer", process.Name)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		switch name {
		case "process_cpu_seconds_total":
			read.cpuSeconds, err = strconv.ParseFloat(value, 64)
		case "process_resident_memory_bytes":
			read.residentBytes, err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return read, err
		}
	}
	return read, scanner.Err()
}

// ownUsage returns what this process has spent, with its live heap.
func ownUsage() (usage, error) {
	var spent syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &spent); err != nil {
		return usage{}, err
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := func(value syscall.Timeval) float64 { return float64(value.Sec) + float64(value.Usec)/1e6 }
	return usage{cpuSeconds: seconds(spent.Utime) + seconds(spent.Stime), residentBytes: float64(memory.HeapAlloc + memory.StackInuse)}, nil
}

// Point is what was measured at one size.
type Point struct {
	Daemons int
	Workers int
	Tenants int
	// ItemRate is the batch items completed a second.
	ItemRate float64
	// Serving is how many daemons held their leases at the end.
	Serving int
	// BeatsPerSecond is the heartbeats answered a second over all hollow daemons.
	BeatsPerSecond float64
	// MissedShare is the share of heartbeats that were due and not answered.
	MissedShare float64
	// InForceMillis holds the time of each change until it was in force at
	// every hollow daemon.
	InForceMillis []float64
	// DaemonCPU is a hollow daemon's processor time as a share of a core,
	// DaemonBytes its exchange with control in bytes a second, DaemonMemory its
	// memory in bytes.
	DaemonCPU    float64
	DaemonBytes  float64
	DaemonMemory float64
	// CPU and Memory are the mean of the real processes of each role: a share
	// of a core, and bytes.
	CPU    map[string]float64
	Memory map[string]float64
	// LeaderCPU is that of the busiest control process.
	LeaderCPU float64
}

// window measures over a stretch of time.
type window struct {
	started   time.Time
	daemons   counts
	own       usage
	processes map[string]usage
}

func (r *Run) open(ctx context.Context) (*window, error) {
	w := &window{processes: map[string]usage{}}
	for _, process := range r.Processes {
		read, err := readUsage(ctx, process)
		if err != nil {
			return nil, err
		}
		w.processes[process.Name] = read
	}
	var err error
	if w.own, err = ownUsage(); err != nil {
		return nil, err
	}
	w.daemons = r.daemons.counts()
	w.started = time.Now()
	return w, nil
}

// point compares two windows' openings.
func (r *Run) point(first, second *window) *Point {
	seconds := second.started.Sub(first.started).Seconds()
	count := float64(len(r.daemons.all))
	traffic := second.daemons.traffic.SentBytes + second.daemons.traffic.ReceivedBytes - first.daemons.traffic.SentBytes - first.daemons.traffic.ReceivedBytes
	beats := float64(second.daemons.beats-first.daemons.beats) / seconds
	due := count / heartbeatInterval.Seconds()
	p := &Point{
		Daemons:        len(r.daemons.all),
		ItemRate:       float64(second.daemons.completed-first.daemons.completed) / seconds,
		Serving:        r.daemons.serving(clock.Now()),
		BeatsPerSecond: beats,
		MissedShare:    max(0, 1-beats/due),
		DaemonCPU:      (second.own.cpuSeconds - first.own.cpuSeconds) / seconds / count,
		DaemonBytes:    float64(traffic) / seconds / count,
		DaemonMemory:   (second.own.residentBytes - r.baseMemory) / count,
		CPU:            map[string]float64{},
		Memory:         map[string]float64{},
	}
	members := map[string]float64{}
	for _, process := range r.Processes {
		cpu := (second.processes[process.Name].cpuSeconds - first.processes[process.Name].cpuSeconds) / seconds
		p.CPU[process.Role] += cpu
		p.Memory[process.Role] += second.processes[process.Name].residentBytes
		members[process.Role]++
		if process.Role == "control" {
			p.LeaderCPU = max(p.LeaderCPU, cpu)
		}
	}
	for role, number := range members {
		p.CPU[role] /= number
		p.Memory[role] /= number
	}
	return p
}
