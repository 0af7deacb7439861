package settings

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Process holds the settings that all roles have in common.
type Process struct {
	// Name is the name of the process in logs, tables and leases. It must be unique.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Listen is the IP:port that the process listens on.
	Listen string `json:"listen"`
	// Advertise is the IP:port at which others reach the process, if it differs from Listen.
	Advertise string `json:"advertise"`
	LogLevel  string `json:"log_level"`
	// StopTimeout bounds the time that a planned stop takes.
	StopTimeout Duration `json:"stop_timeout"`
	// MemoryMB is the memory of the process in MiB, zero for that of GOMEMLIMIT or of the machine.
	MemoryMB int `json:"memory_mb"`
	// RequestMemoryMB bounds the memory in MiB that the requests of clients hold together, zero for a
	// share of the process's memory.
	RequestMemoryMB int `json:"request_memory_mb"`
	// MaxDescriptors is how many files and connections the process may have open, zero for as many as
	// the system allows.
	MaxDescriptors int `json:"max_descriptors"`
	// ListenConnections bounds the open connections at the listen address, zero for a share of the
	// descriptors.
	ListenConnections int `json:"listen_connections"`
}

const (
	defaultStopTimeout = 60 * time.Second
	maxStopTimeout     = time.Hour
	digestBytes        = 32
	// minMemoryMB is the least memory with which a process works, minDescriptors the least descriptors.
	minMemoryMB     = 32
	minRequestMB    = 8
	maxMemoryMB     = 1 << 24
	minDescriptors  = 128
	maxDescriptors  = 1 << 30
	minListenPlaces = 16
)

func defaultProcess(name, listen string) Process {
	return Process{
		Name:        name,
		Zone:        "zone-a",
		Listen:      listen,
		LogLevel:    "info",
		StopTimeout: Duration(defaultStopTimeout),
	}
}

// AdvertisedAddress returns the address at which others reach the process.
func (p *Process) AdvertisedAddress() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

func (p *Process) check(checker *Checker) {
	checker.Name("name", p.Name)
	checker.Name("zone", p.Zone)
	checker.Listen("listen", p.Listen)
	if p.Advertise != "" {
		checker.Address("advertise", p.Advertise)
	}
	checker.OneOf("log_level", p.LogLevel, "debug", "info", "warn", "error")
	checker.Between("stop_timeout", p.StopTimeout, time.Second, maxStopTimeout)
	checker.RangeOrZero("memory_mb", p.MemoryMB, minMemoryMB, maxMemoryMB)
	checker.RangeOrZero("request_memory_mb", p.RequestMemoryMB, minRequestMB, maxMemoryMB)
	if p.MemoryMB > 0 && p.RequestMemoryMB > p.MemoryMB {
		checker.AddError("request_memory_mb", p.RequestMemoryMB, "choose at most memory_mb")
	}
	checker.RangeOrZero("max_descriptors", p.MaxDescriptors, minDescriptors, maxDescriptors)
	checker.RangeOrZero("listen_connections", p.ListenConnections, minListenPlaces, maxDescriptors)
}

// Heartbeat holds the settings of the heartbeats by which a daemon renews its lease with control.
type Heartbeat struct {
	// Interval is the time between heartbeats.
	Interval Duration `json:"interval"`
	// Timeout bounds one heartbeat.
	Timeout Duration `json:"timeout"`
}

func defaultHeartbeat() Heartbeat {
	return Heartbeat{Interval: Duration(500 * time.Millisecond), Timeout: Duration(time.Second)}
}

func (h *Heartbeat) check(checker *Checker) {
	checker.Between("heartbeat.interval", h.Interval, 10*time.Millisecond, 10*time.Second)
	checker.Between("heartbeat.timeout", h.Timeout, 10*time.Millisecond, 10*time.Second)
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Process
	// Control lists the addresses of the control processes.
	Control   []string  `json:"control"`
	Heartbeat Heartbeat `json:"heartbeat"`
	// OperatorKeySHA256 is the digest of a key that may change the configuration as long as there is
	// no operator document.
	OperatorKeySHA256 string `json:"operator_key_sha256"`
	// MaxRequests bounds the online requests in flight.
	MaxRequests int `json:"max_requests"`
	// MaxBodyBytes bounds the body of an online request.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxLineBytes bounds the length of a line of a job's input file.
	MaxLineBytes int `json:"max_line_bytes"`
	// MaxFileLines bounds the number of lines of a job's input file.
	MaxFileLines int `json:"max_file_lines"`
	// MaxUploads bounds the uploads in progress; each buffers one chunk of lines.
	MaxUploads int `json:"max_uploads"`
	// RetryPercent is the number of retries that the gateway may make per 100 requests.
	RetryPercent int `json:"retry_percent"`
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() *Gateway {
	return &Gateway{
		Process:      defaultProcess("gateway-1", "127.0.0.1:7400"),
		Control:      []string{"127.0.0.1:7300"},
		Heartbeat:    defaultHeartbeat(),
		MaxRequests:  10_000,
		MaxBodyBytes: 8 << 20,
		MaxLineBytes: 1 << 20,
		MaxFileLines: 500_000,
		MaxUploads:   16,
		RetryPercent: 20,
	}
}

// Check implements Checked.
func (g *Gateway) Check(checker *Checker) {
	g.Process.check(checker)
	g.Heartbeat.check(checker)
	checker.Addresses("control", g.Control)
	checker.Range("max_requests", g.MaxRequests, 1, 1_000_000)
	checker.Range("max_body_bytes", g.MaxBodyBytes, 1024, 64<<20)
	checker.Range("max_line_bytes", g.MaxLineBytes, 1024, 16<<20)
	checker.Range("max_file_lines", g.MaxFileLines, 1, 10_000_000)
	checker.Range("max_uploads", g.MaxUploads, 1, 1000)
	checker.Range("retry_percent", g.RetryPercent, 0, 100)
	if g.OperatorKeySHA256 != "" {
		digest, err := hex.DecodeString(g.OperatorKeySHA256)
		if err != nil || len(digest) != digestBytes {
			checker.AddError("operator_key_sha256", g.OperatorKeySHA256, "use the digest that `sedgemastctl new-key` prints")
		}
	}
}

// Dispatcher holds the settings of a dispatcher.
type Dispatcher struct {
	Process
	Control   []string  `json:"control"`
	Heartbeat Heartbeat `json:"heartbeat"`
	// MaxQueue bounds the queue of online requests that wait for a worker.
	MaxQueue int `json:"max_queue"`
	// LoadInterval is the time between two polls of a worker's load report.
	LoadInterval Duration `json:"load_interval"`
	// WorkerTimeout is the time without a load report after which a worker's attempts are moved to
	// other workers.
	WorkerTimeout Duration `json:"worker_timeout"`
	// ItemInterval is the time between two requests for batch items.
	ItemInterval Duration `json:"item_interval"`
	// ReportInterval is how long a finished item waits to be reported together with others.
	ReportInterval Duration `json:"report_interval"`
	// ItemBacklog is the number of items that are held in reserve in addition to those for the free
	// slots.
	ItemBacklog int `json:"item_backlog"`
	// MaxItemAttempts bounds the number of failed attempts at a batch item.
	MaxItemAttempts int `json:"max_item_attempts"`
}

// DefaultDispatcher returns the default settings of a dispatcher.
func DefaultDispatcher() *Dispatcher {
	return &Dispatcher{
		Process:         defaultProcess("dispatcher-1", "127.0.0.1:7500"),
		Control:         []string{"127.0.0.1:7300"},
		Heartbeat:       defaultHeartbeat(),
		MaxQueue:        256,
		LoadInterval:    Duration(250 * time.Millisecond),
		WorkerTimeout:   Duration(1500 * time.Millisecond),
		ItemInterval:    Duration(50 * time.Millisecond),
		ReportInterval:  Duration(10 * time.Millisecond),
		ItemBacklog:     32,
		MaxItemAttempts: 20,
	}
}

// Check implements Checked.
func (d *Dispatcher) Check(checker *Checker) {
	d.Process.check(checker)
	d.Heartbeat.check(checker)
	checker.Addresses("control", d.Control)
	checker.Range("max_queue", d.MaxQueue, 1, 100_000)
	checker.Between("load_interval", d.LoadInterval, 10*time.Millisecond, 10*time.Second)
	checker.Between("worker_timeout", d.WorkerTimeout, 50*time.Millisecond, time.Minute)
	checker.Between("item_interval", d.ItemInterval, time.Millisecond, 10*time.Second)
	checker.Between("report_interval", d.ReportInterval, time.Millisecond, time.Second)
	checker.Range("item_backlog", d.ItemBacklog, 0, 10_000)
	checker.Range("max_item_attempts", d.MaxItemAttempts, 1, 1000)
}

// Control holds the settings of a control process.
type Control struct {
	Process
	// DataFolder is the folder of the log and the state.
	DataFolder string `json:"data_folder"`
	// Platform is the address of the platform's list of workers, empty for none.
	Platform         string   `json:"platform"`
	PlatformInterval Duration `json:"platform_interval"`
	// JobGroups is the number of job groups. It can't be changed once it has been set.
	JobGroups int `json:"job_groups"`
	// Peers are the addresses of all control processes, including this one. They must be in
	// the same order in the settings of every control process. Empty means that this process is the
	// only one. The first Voters of the addresses form the cluster, the others are spares.
	Peers  []string `json:"peers"`
	Voters int      `json:"voters"`
	// ElectionTimeout is the shortest time without a leader after which a new one is elected.
	ElectionTimeout Duration `json:"election_timeout"`
	// ReplaceAfter is how long a voter may be unresponsive before a spare replaces it.
	ReplaceAfter Duration `json:"replace_after"`
	// LogBytes is the size of each group's log that is retained for slow replicas.
	LogBytes int `json:"log_bytes"`
	// DaemonLease is the duration of the leases of daemons.
	DaemonLease Duration `json:"daemon_lease"`
	// ConfigLease is how long a daemon may use its configuration without confirmation by control.
	ConfigLease Duration `json:"config_lease"`
	// ItemLease is the duration of the leases of batch items.
	ItemLease Duration `json:"item_lease"`
	// ForgetWorkers is the time after which a worker that is missing from the platform's list is
	// removed.
	ForgetWorkers Duration `json:"forget_workers"`
}

// DefaultControl returns the default settings of a control process.
func DefaultControl() *Control {
	return &Control{
		Process:          defaultProcess("control-1", "127.0.0.1:7300"),
		DataFolder:       "data/control-1",
		PlatformInterval: Duration(500 * time.Millisecond),
		JobGroups:        4,
		Peers:            []string{},
		Voters:           5,
		ElectionTimeout:  Duration(500 * time.Millisecond),
		ReplaceAfter:     Duration(30 * time.Second),
		LogBytes:         4 << 20,
		DaemonLease:      Duration(2500 * time.Millisecond),
		ConfigLease:      Duration(4 * time.Second),
		ItemLease:        Duration(5 * time.Second),
		ForgetWorkers:    Duration(30 * time.Second),
	}
}

// Check implements Checked.
func (c *Control) Check(checker *Checker) {
	c.Process.check(checker)
	if c.DataFolder == "" {
		checker.AddError("data_folder", c.DataFolder, "name the folder for the log and the state")
	}
	if c.Platform != "" {
		checker.Address("platform", c.Platform)
	}
	checker.Between("platform_interval", c.PlatformInterval, 10*time.Millisecond, time.Minute)
	checker.Range("job_groups", c.JobGroups, 1, 256)
	if len(c.Peers) > 0 {
		checker.Addresses("peers", c.Peers)
		if !slices.Contains(c.Peers, c.AdvertisedAddress()) {
			checker.AddError("peers", strings.Join(c.Peers, ", "), "name this process's own address among the peers")
		}
	}
	checker.Range("voters", c.Voters, 1, 9)
	checker.Between("election_timeout", c.ElectionTimeout, 50*time.Millisecond, 10*time.Second)
	checker.Between("replace_after", c.ReplaceAfter, time.Second, 24*time.Hour)
	checker.Range("log_bytes", c.LogBytes, 64<<10, 1<<30)
	checker.Between("daemon_lease", c.DaemonLease, 100*time.Millisecond, time.Minute)
	checker.Between("config_lease", c.ConfigLease, 100*time.Millisecond, time.Minute)
	checker.Between("item_lease", c.ItemLease, 100*time.Millisecond, 10*time.Minute)
	checker.Between("forget_workers", c.ForgetWorkers, time.Second, time.Hour)
}

// Engine holds the settings of an emulated engine.
type Engine struct {
	Process
	Models      []string `json:"models"`
	Adapters    []string `json:"adapters"`
	Incarnation int      `json:"incarnation"`
	Slots       int      `json:"slots"`
	KVTokens    int      `json:"kv_tokens"`
	CacheBlocks int      `json:"cache_blocks"`
	// StepBase, plus StepPerSequence for each running sequence, is the time between two tokens.
	StepBase        Duration `json:"step_base"`
	StepPerSequence Duration `json:"step_per_sequence"`
	LoadLag         Duration `json:"load_lag"`
	EventLag        Duration `json:"event_lag"`
	Seed            int      `json:"seed"`
	WeightStore     string   `json:"weight_store"`
}

// DefaultEngine returns the default settings of an emulated engine.
func DefaultEngine() *Engine {
	return &Engine{
		Process:         defaultProcess("engine-1", "127.0.0.1:7600"),
		Models:          []string{"heron-8b"},
		Adapters:        []string{},
		Incarnation:     1,
		Slots:           32,
		KVTokens:        131_072,
		CacheBlocks:     4096,
		StepBase:        Duration(12 * time.Millisecond),
		StepPerSequence: Duration(250 * time.Microsecond),
		LoadLag:         Duration(500 * time.Millisecond),
		EventLag:        Duration(200 * time.Millisecond),
		Seed:            1,
	}
}

// Check implements Checked.
func (e *Engine) Check(checker *Checker) {
	e.Process.check(checker)
	if len(e.Models) == 0 {
		checker.AddError("models", "[]", "name at least one model")
	}
	for index, model := range e.Models {
		checker.Name(fmt.Sprintf("models.%d", index), model)
	}
	checker.Range("incarnation", e.Incarnation, 1, 1<<30)
	checker.Range("slots", e.Slots, 1, 4096)
	checker.Range("kv_tokens", e.KVTokens, 1024, 1<<30)
	checker.Range("cache_blocks", e.CacheBlocks, 0, 1<<24)
	checker.Between("step_base", e.StepBase, 10*time.Microsecond, time.Second)
	checker.Between("step_per_sequence", e.StepPerSequence, 0, time.Second)
	checker.Between("load_lag", e.LoadLag, 0, time.Minute)
	checker.Between("event_lag", e.EventLag, 0, time.Minute)
	if e.WeightStore != "" {
		checker.Address("weight_store", e.WeightStore)
	}
}
