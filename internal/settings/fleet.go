package settings

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/ratelimit"
)

// Coordinator holds the settings of a coordinator, which keeps the configuration of routes and the
// view of the fleet.
type Coordinator struct {
	Process
	Replication
	// Seeds are the addresses of a few coordinators. At the first start all coordinators must have
	// the same seeds, and the coordinators at these addresses form the group.
	Seeds []string `json:"seeds"`
	// Bootstrap must be set at the first start of the whole system, and only then.
	Bootstrap bool `json:"bootstrap"`
	// Operators is the IP:port on which the operators' API is served, empty for none.
	Operators string `json:"operators"`
	// Platform is the address of the platform's list of workers, empty for none.
	Platform string `json:"platform"`
	// PollInterval is the time between two readings of the list.
	PollInterval Duration `json:"poll_interval"`
	// PlatformRate is the number of calls per second that the platform accepts from all readers of
	// the list together, zero if unknown. A coordinator uses only a part of it.
	PlatformRate float64 `json:"platform_rate"`
	// Zones names the zones in which workers may be, if known. A long list is then read by zone.
	Zones []string `json:"zones"`
}

// Replication holds the settings of coordinators and stores for their replicated data on disk.
type Replication struct {
	// DataFolder is the folder of the log and the state.
	DataFolder string `json:"data_folder"`
	// Tolerate is the number of disks that may be lost at the same time.
	Tolerate int `json:"tolerate"`
	// ElectionTimeout is the shortest time without a leader after which a new one is elected.
	ElectionTimeout Duration `json:"election_timeout"`
	// ReplaceAfter is how long a voter may be unresponsive before a spare replaces it.
	ReplaceAfter Duration `json:"replace_after"`
	// LogBytes bounds the size of the log that is retained for slow replicas.
	LogBytes int `json:"log_bytes"`
	// DiskMB is the size of the disk in MiB, zero if unknown.
	DiskMB int `json:"disk_mb"`
}

const (
	bytesPerMB = 1 << 20
	// logDiskDivisor bounds the retained log to 1/32 of the disk. The log may grow to twice the
	// retained size before its oldest part is removed.
	logDiskDivisor = 32
)

// RetainedLogBytes returns the size of the log that is retained: LogBytes, or less on a small disk.
func (r *Replication) RetainedLogBytes() int {
	if r.DiskMB == 0 {
		return r.LogBytes
	}
	return min(r.LogBytes, r.DiskMB*bytesPerMB/logDiskDivisor)
}

func defaultReplication() Replication {
	return Replication{
		DataFolder:      "data",
		Tolerate:        1,
		ElectionTimeout: Duration(400 * time.Millisecond),
		ReplaceAfter:    Duration(1500 * time.Millisecond),
		LogBytes:        4 << 20,
	}
}

func (r *Replication) check(checker *Checker) {
	if r.DataFolder == "" {
		checker.AddError("data_folder", r.DataFolder, "name a folder")
	}
	checker.Range("tolerate", r.Tolerate, 0, 3)
	checker.Between("election_timeout", r.ElectionTimeout, 50*time.Millisecond, 10*time.Second)
	checker.Between("replace_after", r.ReplaceAfter, 100*time.Millisecond, time.Hour)
	checker.Range("log_bytes", r.LogBytes, 64<<10, 1<<30)
	checker.Range("disk_mb", r.DiskMB, 0, 1<<30)
}

// DefaultCoordinator returns the default settings of a coordinator.
func DefaultCoordinator() *Coordinator {
	return &Coordinator{
		Process:      defaultProcess("coordinator-1", "127.0.0.1:7600"),
		Replication:  defaultReplication(),
		Seeds:        []string{"127.0.0.1:7600"},
		PollInterval: Duration(500 * time.Millisecond),
	}
}

// Check implements Checked.
func (c *Coordinator) Check(checker *Checker) {
	c.Process.check(checker)
	c.Replication.check(checker)
	checker.Addresses("seeds", c.Seeds)
	if c.Operators != "" {
		checker.Listen("operators", c.Operators)
	}
	if c.Platform != "" {
		checker.Address("platform", c.Platform)
	}
	checker.Between("poll_interval", c.PollInterval, 10*time.Millisecond, time.Minute)
	if c.PlatformRate < 0 {
		checker.AddError("platform_rate", fmt.Sprint(c.PlatformRate), "use 0 or more calls a second")
	}
}

// Store holds the settings of a store, which keeps batch jobs and runs their items.
type Store struct {
	Process
	Replication
	// Seeds are the addresses of a few coordinators.
	Seeds []string `json:"seeds"`
	// ForgetAfter is the time after its end at which a job is deleted.
	ForgetAfter Duration `json:"forget_after"`
	// BatchShare is the percentage of a worker's slots that batch items may use.
	BatchShare int `json:"batch_share"`
	// DrainTime is how long after it is listed as leaving a worker may still get items.
	DrainTime Duration `json:"drain_time"`
	// RateTolerance is the amount by which tenants' request limits may be exceeded.
	RateTolerance RateTolerance `json:"rate_tolerance"`
}

// DefaultStore returns the default settings of a store.
func DefaultStore() *Store {
	return &Store{
		Process:     defaultProcess("store-1", "127.0.0.1:7700"),
		Replication: defaultReplication(),
		Seeds:       []string{"127.0.0.1:7600"},
		ForgetAfter: Duration(time.Hour),
		BatchShare:  60,
		DrainTime:   defaultDrainTime,

		RateTolerance: defaultRateTolerance(),
	}
}

// Check implements Checked.
func (s *Store) Check(checker *Checker) {
	s.Process.check(checker)
	s.Replication.check(checker)
	checker.Addresses("seeds", s.Seeds)
	checker.Between("forget_after", s.ForgetAfter, time.Second, 30*24*time.Hour)
	checker.Range("batch_share", s.BatchShare, 1, 100)
	checkDrainTime(checker, s.DrainTime)
	s.RateTolerance.check(checker)
}

const (
	defaultDrainTime = Duration(3 * time.Second)
	// minDrainTime is the shortest drain time: a request needs a part of it to reach its worker.
	minDrainTime = time.Second
	maxDrainTime = time.Hour
)

func checkDrainTime(checker *Checker, drainTime Duration) {
	checker.Between("drain_time", drainTime, minDrainTime, maxDrainTime)
}

// RateTolerance is the amount by which a tenant's requests in the whole fleet may exceed its limit in
// any window. All edges and stores have the same tolerance.
type RateTolerance struct {
	Window Duration `json:"window"`
	// ExcessPercent is a percentage of the requests that the limit allows in a window; Slack is a
	// number of requests.
	ExcessPercent int `json:"excess_percent"`
	Slack         int `json:"slack"`
}

func defaultRateTolerance() RateTolerance {
	return RateTolerance{Window: Duration(5 * time.Second), ExcessPercent: 10, Slack: 20}
}

// Limits returns the tolerance in the form that the rate limiter uses.
func (r *RateTolerance) Limits() ratelimit.Tolerance {
	const hundredths = 100
	return ratelimit.Tolerance{Window: r.Window.Std(), Excess: float64(r.ExcessPercent) / hundredths, Slack: float64(r.Slack)}
}

func (r *RateTolerance) check(checker *Checker) {
	checker.Between("rate_tolerance.window", r.Window, 100*time.Millisecond, time.Hour)
	checker.Range("rate_tolerance.excess_percent", r.ExcessPercent, 0, 100)
	checker.Range("rate_tolerance.slack", r.Slack, 0, 1_000_000)
}

// Edge holds the settings of an edge, which forwards the requests of callers directly to workers.
type Edge struct {
	Process
	// Seeds are the addresses of a few coordinators.
	Seeds []string `json:"seeds"`
	// Callers is the IP:port on which callers are served, empty for none.
	Callers string `json:"callers"`
	// MaxConnections bounds the open connections of callers, zero for half of the descriptors. Further
	// ones take the places of those that ask nothing, or are closed before a request is read.
	MaxConnections int `json:"max_connections"`
	// FreezeTime is how long an edge serves requests with its last configuration while it reaches
	// no coordinator; zero means without limit.
	FreezeTime Duration `json:"freeze_time"`
	// UnreadyTime is how long a stopping edge still accepts requests after it has become unready, so
	// that callers can be directed to other edges.
	UnreadyTime Duration `json:"unready_time"`
	// DrainTime is how long after it is listed as leaving a worker may still get requests.
	DrainTime Duration `json:"drain_time"`
	// RateTolerance is the amount by which tenants' request limits may be exceeded.
	RateTolerance RateTolerance `json:"rate_tolerance"`
}

// DefaultEdge returns the default settings of an edge.
func DefaultEdge() *Edge {
	process := defaultProcess("edge-1", "127.0.0.1:7800")
	process.ListenConnections = edgeListenConnections
	return &Edge{
		Process:     process,
		Seeds:       []string{"127.0.0.1:7600"},
		UnreadyTime: Duration(2500 * time.Millisecond),
		DrainTime:   defaultDrainTime,

		RateTolerance: defaultRateTolerance(),
	}
}

// edgeListenConnections bounds the connections at the listen address of an edge, which few processes call.
const edgeListenConnections = 512

// maxConnectionsLimit is the largest MaxConnections.
const maxConnectionsLimit = 1_000_000

// Check implements Checked.
func (e *Edge) Check(checker *Checker) {
	e.Process.check(checker)
	checker.Addresses("seeds", e.Seeds)
	if e.Callers != "" {
		checker.Listen("callers", e.Callers)
	}
	checker.Range("max_connections", e.MaxConnections, 0, maxConnectionsLimit)
	checker.Between("freeze_time", e.FreezeTime, 0, 24*time.Hour)
	checker.Between("unready_time", e.UnreadyTime, 0, time.Minute)
	checkDrainTime(checker, e.DrainTime)
	e.RateTolerance.check(checker)
}
