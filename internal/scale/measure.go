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

// Process is a real process from which metrics are read.
type Process struct {
	Role    string
	Name    string
	Address string
}

// usage is the processor time that a process has used since its start, and its memory.
type usage struct {
	cpuSeconds    float64
	residentBytes float64
}

// readUsage reads the usage from a process's metrics page.
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

// ownUsage returns the usage of this process, with its live heap and stacks as the memory.
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

// Point holds the measurements at one fleet size.
type Point struct {
	Daemons int
	Workers int
	Tenants int
	// ItemRate is the number of batch items completed per second.
	ItemRate float64
	// Serving is the number of daemons with valid leases and configurations at the end.
	Serving int
	// BeatsPerSecond is the number of heartbeats answered per second, over all hollow daemons.
	BeatsPerSecond float64
	// MissedShare is the fraction of due heartbeats that were not answered.
	MissedShare float64
	// InForceMillis holds, for each change, the time in milliseconds until it was in force at every
	// hollow daemon.
	InForceMillis []float64
	// DaemonCPU is the processor time of a hollow daemon as a fraction of a core. DaemonBytes is its
	// traffic with control in bytes per second. DaemonMemory is its memory in bytes.
	DaemonCPU    float64
	DaemonBytes  float64
	DaemonMemory float64
	// CPU and Memory are means over the real processes of each role: a fraction of a core, and
	// bytes.
	CPU    map[string]float64
	Memory map[string]float64
	// LeaderCPU is the CPU of the busiest control process, as a fraction of a core.
	LeaderCPU float64
}

// reading holds all counters at one time. A Point is computed from two readings.
type reading struct {
	takenAt   time.Time
	daemons   counts
	own       usage
	processes map[string]usage
}

func (r *Run) takeReading(ctx context.Context) (*reading, error) {
	current := &reading{processes: map[string]usage{}}
	for _, process := range r.Processes {
		read, err := readUsage(ctx, process)
		if err != nil {
			return nil, err
		}
		current.processes[process.Name] = read
	}
	var err error
	if current.own, err = ownUsage(); err != nil {
		return nil, err
	}
	current.daemons = r.daemons.counts()
	current.takenAt = time.Now()
	return current, nil
}

// point computes the measurements between two readings.
func (r *Run) point(first, second *reading) *Point {
	seconds := second.takenAt.Sub(first.takenAt).Seconds()
	count := float64(len(r.daemons.all))
	traffic := second.daemons.traffic.SentBytes + second.daemons.traffic.ReceivedBytes - first.daemons.traffic.SentBytes - first.daemons.traffic.ReceivedBytes
	heartbeats := float64(second.daemons.heartbeats-first.daemons.heartbeats) / seconds
	due := count / heartbeatInterval.Seconds()
	p := &Point{
		Daemons:        len(r.daemons.all),
		ItemRate:       float64(second.daemons.completed-first.daemons.completed) / seconds,
		Serving:        r.daemons.serving(clock.Now()),
		BeatsPerSecond: heartbeats,
		MissedShare:    max(0, 1-heartbeats/due),
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
