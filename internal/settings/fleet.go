package settings

import (
	"fmt"
	"time"

	"github.com/sedgemast/sedgemast/internal/ratelimit"
)

// Coordinator holds the settings of a coordinator, which keeps the
// configuration of routes and the view of the fleet.
type Coordinator struct {
	Process
	Replication
	// Seeds are the addresses of a few coordinators. At the first start they
	// are the same everywhere, and those at them form the group.
	Seeds []string `json:"seeds"`
	// Bootstrap is set at the first start of the whole system only.
	Bootstrap bool `json:"bootstrap"`
	// Operators is the IP:port at which operators are served, empty for none.
	Operators string `json:"operators"`
	// Platform is the address of the platform's list of workers.
	Platform string `json:"platform"`
	// PollInterval is the time between readings of that list.
	PollInterval Duration `json:"poll_interval"`
	// PlatformRate is how many calls a second the platform takes from all who read the
	// list, zero for unknown. Readings keep to a part of it.
	PlatformRate float64 `json:"platform_rate"`
	// Zones names the zones that workers may be in, where that is known: a long list is
	// read by zones.
	Zones []string `json:"zones"`
}

// Replication holds what the processes with disks have in common.
type Replication struct {
	// DataFolder holds the log and the state.
	DataFolder string `json:"data_folder"`
	// Tolerate is how many disks may be lost at once.
	Tolerate int `json:"tolerate"`
	// ElectionTimeout is the shortest time without a leader after which
	// another is elected.
	ElectionTimeout Duration `json:"election_timeout"`
	// ReplaceAfter is how long a voter may be silent before a spare takes its
	// place.
	ReplaceAfter Duration `json:"replace_after"`
	// LogBytes is how much of the log is kept for slow replicas, at most.
	LogBytes int `json:"log_bytes"`
	// DiskMB is the size of the disk, zero where it is not known.
	DiskMB int `json:"disk_mb"`
}

const (
	bytesPerMB = 1 << 20
	// logParts is the part of a disk that the log may take: one in so many. It
	// grows to twice that before its oldest part goes.
	logParts = 32
)

// RetainedLogBytes returns how much of the log is kept on this disk.
func (r *Replication) RetainedLogBytes() int {
	if r.DiskMB == 0 {
		return r.LogBytes
	}
	return min(r.LogBytes, r.DiskMB*bytesPerMB/logParts)
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

// DefaultCoordinator returns a coordinator's defaults.
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

// Store holds the settings of a store, which keeps batch jobs and runs their
// items.
type Store struct {
	Process
	Replication
	// Seeds are the addresses of a few coordinators.
	Seeds []string `json:"seeds"`
	// ForgetAfter is how long an ended job is kept.
	ForgetAfter Duration `json:"forget_after"`
	// BatchShare is the part of a worker's slots that batch items may take, in
	// hundredths.
	BatchShare int `json:"batch_share"`
	// RateTolerance is by how much tenants' limits of requests may be exceeded.
	RateTolerance RateTolerance `json:"rate_tolerance"`
}

// DefaultStore returns a store's defaults.
func DefaultStore() *Store {
	return &Store{
		Process:     defaultProcess("store-1", "127.0.0.1:7700"),
		Replication: defaultReplication(),
		Seeds:       []string{"127.0.0.1:7600"},
		ForgetAfter: Duration(time.Hour),
		BatchShare:  60,

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
	s.RateTolerance.check(checker)
}

// RateTolerance is by how much the sum of a tenant's requests over the whole fleet may
// exceed its limit in each span of time. It is the same at all edges and stores.
type RateTolerance struct {
	Window Duration `json:"window"`
	// ExcessPercent is in hundredths of what the limit allows in a window, Slack in
	// requests.
	ExcessPercent int `json:"excess_percent"`
	Slack         int `json:"slack"`
}

func defaultRateTolerance() RateTolerance {
	return RateTolerance{Window: Duration(5 * time.Second), ExcessPercent: 10, Slack: 20}
}

// Limits returns the tolerance as the limiter takes it.
func (r *RateTolerance) Limits() ratelimit.Tolerance {
	const hundredths = 100
	return ratelimit.Tolerance{Window: r.Window.Std(), Excess: float64(r.ExcessPercent) / hundredths, Slack: float64(r.Slack)}
}

func (r *RateTolerance) check(checker *Checker) {
	checker.Between("rate_tolerance.window", r.Window, 100*time.Millisecond, time.Hour)
	checker.Range("rate_tolerance.excess_percent", r.ExcessPercent, 0, 100)
	checker.Range("rate_tolerance.slack", r.Slack, 0, 1_000_000)
}

// Edge holds the settings of an edge, which takes requests from callers
// straight to the workers.
type Edge struct {
	Process
	// Seeds are the addresses of a few coordinators.
	Seeds []string `json:"seeds"`
	// Callers is the IP:port at which callers are served, empty for none.
	Callers string `json:"callers"`
	// FreezeTime is how long an edge goes on with the configuration that it has
	// while it reaches no coordinator; zero means without end.
	FreezeTime Duration `json:"freeze_time"`
	// UnreadyTime is how long an edge that is told to stop goes on taking
	// requests, so that callers can be led elsewhere.
	UnreadyTime Duration `json:"unready_time"`
	// RateTolerance is by how much tenants' limits of requests may be exceeded.
	RateTolerance RateTolerance `json:"rate_tolerance"`
}

// DefaultEdge returns an edge's defaults.
func DefaultEdge() *Edge {
	return &Edge{
		Process:     defaultProcess("edge-1", "127.0.0.1:7800"),
		Seeds:       []string{"127.0.0.1:7600"},
		UnreadyTime: Duration(2500 * time.Millisecond),

		RateTolerance: defaultRateTolerance(),
	}
}

// Check implements Checked.
func (e *Edge) Check(checker *Checker) {
	e.Process.check(checker)
	checker.Addresses("seeds", e.Seeds)
	if e.Callers != "" {
		checker.Listen("callers", e.Callers)
	}
	checker.Between("freeze_time", e.FreezeTime, 0, 24*time.Hour)
	checker.Between("unready_time", e.UnreadyTime, 0, time.Minute)
	e.RateTolerance.check(checker)
}
