package daemon

import (
	"bufio"
	"math"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sedgemast/sedgemast/internal/connlimit"
)

// Limits bounds what clients make a process hold. Zero fields have defaults.
type Limits struct {
	// MemoryBytes is the memory of the process: by default that of GOMEMLIMIT, or else of the machine.
	MemoryBytes int64
	// RequestBytes bounds the memory that requests hold together. The default is a share of
	// MemoryBytes.
	RequestBytes int64
	// Descriptors is how many files and connections the process may have open, by default as many as
	// the system allows.
	Descriptors int
	// ListenConnections bounds the open connections at the listen address. The default is a share of
	// Descriptors.
	ListenConnections int
}

const (
	// runtimeMemoryPercent is the memory limit of the Go runtime, in percent of the process's memory.
	runtimeMemoryPercent = 75
	// requestMemoryPercent is the memory for requests, in percent of the process's memory. The rest is
	// for the process's own state, for its connections and for garbage.
	requestMemoryPercent = 40
	// listenDivisor divides the descriptors: one part is for connections at the listen address, or at
	// the callers' address where that is another.
	listenDivisor = 2
	// outgoingDivisor does so for the connections that calls of clients need to other processes.
	outgoingDivisor = 8
	// auxiliaryConnections bounds the connections at an address for operators or monitoring.
	auxiliaryConnections = 16

	// Limits of connections. Calls between processes keep idle connections for 90 seconds.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
)

// withDefaults returns the limits with their defaults, and tells the runtime how much memory there is.
func (l Limits) withDefaults(embedded bool) Limits {
	if embedded {
		return Limits{}
	}
	switch runtimeLimit := debug.SetMemoryLimit(-1); {
	case l.MemoryBytes > 0:
		debug.SetMemoryLimit(l.MemoryBytes * runtimeMemoryPercent / 100)
	case runtimeLimit != math.MaxInt64:
		l.MemoryBytes = runtimeLimit * 100 / runtimeMemoryPercent
	default:
		l.MemoryBytes = machineMemory()
	}
	if l.RequestBytes == 0 {
		l.RequestBytes = l.MemoryBytes * requestMemoryPercent / 100
	}
	if l.Descriptors == 0 {
		l.Descriptors = maxDescriptors()
	}
	if l.ListenConnections == 0 {
		l.ListenConnections = l.Descriptors / listenDivisor
	}
	return l
}

// OutgoingConnections returns how many connections the process may have to other processes on behalf of
// its clients, zero for no limit.
func (d *Daemon) OutgoingConnections() int { return d.limits.Descriptors / outgoingDivisor }

// CallerConnections returns how many connections of callers a process accepts at an address of their own,
// zero for no limit.
func (d *Daemon) CallerConnections() int { return d.limits.Descriptors / listenDivisor }

// auxiliaryConnections returns a limiter for an address of operators or monitoring.
func (d *Daemon) auxiliaryConnections() *connlimit.Limiter {
	if d.options.Embedded {
		return connlimit.New(0)
	}
	return connlimit.New(auxiliaryConnections)
}

// ReserveMemory takes memory outside Go's heap, in bytes, into account.
func (d *Daemon) ReserveMemory(bytes int64) {
	if left := d.limits.MemoryBytes - bytes; d.limits.MemoryBytes > 0 && left > 0 {
		debug.SetMemoryLimit(left * runtimeMemoryPercent / 100)
	}
}

// machineMemory returns the memory of the machine in bytes, zero if unknown.
func machineMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "MemTotal:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// maxDescriptors returns how many descriptors the system allows the process, zero if unknown.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// setConnectionTimes bounds how long a connection may take for a head, and may be idle.
func setConnectionTimes(server *http.Server) {
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
}
