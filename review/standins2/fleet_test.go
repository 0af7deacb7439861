// Package standins2 has the stand-ins of the second review: a platform, an operator, workers and clients,
// which speak what the users' pages say, and the processes of a small deployment, started by the deploy
// file's commands. It consists of test files only and is built as a test program (review/build-2.sh),
// because it is no part of the product.
package standins2

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	program     = "target/sedgemast-hosted"
	metricsPort = 9464
	// restartDelay is how long the platform waits until it starts an ended process again.
	restartDelay = 300 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// record is the file that a case writes.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", r.at(time.Now()), fmt.Sprintf(format, arguments...))
}

// machine is a machine of the deployment with its one process.
type machine struct {
	name, class, role, zone, ip, folder string
	counts                              bool

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	keep    bool
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	network  string
	port     int
	list     *workerList
	machines []*machine
	first    bool
}

// newFleet makes a deployment without processes.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, first: true}
	for try := 0; try < 50; try++ {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		f.port = 12000 + 32*rand.Intn(500)
		if f.portsAreFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) portsAreFree() bool {
	for _, port := range []int{metricsPort, f.port, f.port + 20, f.port + 21, f.port + 22, 8080} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.network, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (f *fleet) ip(number int) string { return fmt.Sprintf("%s.%d", f.network, number) }

// add adds the machines of a class.
func (f *fleet) add(class, role string, count, firstNumber int, counts bool) {
	for i := range count {
		m := &machine{class: class, role: role, zone: zones[i%len(zones)], ip: f.ip(firstNumber + i), counts: counts}
		m.name = fmt.Sprintf("%s-%s-%d", class, m.zone, 1+i/len(zones))
		m.folder = filepath.Join(f.folder, m.name)
		f.machines = append(f.machines, m)
	}
}

// addSmallDeployment adds five core machines, three stores and three fronts.
func (f *fleet) addSmallDeployment() {
	f.add("core", "coordinator", 5, 1, true)
	f.add("store", "store", 3, 21, true)
	f.add("front", "edge", 3, 41, false)
}

func (f *fleet) of(class string) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if m.class == class {
			found = append(found, m)
		}
	}
	return found
}

func (f *fleet) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, f.port+20) }
func (f *fleet) front(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, f.port+21) }
func (f *fleet) ready(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, f.port+22) }

// settings returns the settings file of a machine.
func (f *fleet) settings(m *machine) string {
	var seeds []string
	for _, core := range f.of("core")[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", f.control(core)))
	}
	limits := map[string]string{
		"core":  "cpuShare = 0.24\ncores = 1\nmemoryMb = 280\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128",
		"store": "cpuShare = 0.8\ncores = 1\nmemoryMb = 314\nmaxFds = 8200\nlinkMbps = 600.0\ndiskMb = 460",
		"front": "cpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0",
	}
	listen := map[string]string{
		"core":  fmt.Sprintf("control = %q", f.control(m)),
		"front": fmt.Sprintf("front = %q\nready = %q", f.front(m), f.ready(m)),
	}
	serves := map[string]string{"core": "control", "store": "store", "front": "front"}
	data := ""
	if m.counts {
		data = fmt.Sprintf("dataDir = %q\n", filepath.Join(m.folder, "data"))
	}
	zoneLines := ""
	for _, zone := range zones {
		zoneLines += zone + " = \"region-1\"\n"
	}
	return fmt.Sprintf(`node = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "region-1"
portRange = [%d,%d]
seeds = [%s]
bootstrap = %t
countsAsLoss = %t
%sdiscovery = "cloud"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine"]
configMode = "highest"
[zones]
%s[listen]
%s
[limits]
%s
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.7
drainMs = 3000
graceS = 8
lossSlackMs = 200
configMs = 2000
revertSlackMs = 250
stretchMaxMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaExcess = 0.1
[cloud]
address = %q
ratePerS = 40.0
duties = []
lagMs = 800
`, m.name, m.role, m.class, serves[m.class], m.ip, m.zone, f.port, f.port+15, strings.Join(seeds, ","), f.first, m.counts, data, zoneLines, listen[m.class], limits[m.class], f.list.address)
}

// start starts the process of a machine. The platform starts it again when it ends.
func (f *fleet) start(m *machine) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.keep = true
	return f.startLocked(m)
}

func (f *fleet) startLocked(m *machine) error {
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "settings.toml")
	if err := os.WriteFile(settings, []byte(f.settings(m)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(program, m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEDGEMAST_BOOT=" + settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.command, m.exited = command, exited
	go func() {
		err := command.Wait()
		_ = log.Close()
		close(exited)
		m.mutex.Lock()
		keep := m.keep && m.command == command
		m.mutex.Unlock()
		if !keep {
			return
		}
		f.record.printf("platform: %s ended by itself (%v)", m.name, err)
		time.Sleep(restartDelay)
		m.mutex.Lock()
		defer m.mutex.Unlock()
		if m.keep && m.command == command {
			_ = f.startLocked(m)
		}
	}()
	return nil
}

// kill ends the process of a machine for good; start starts it again.
func (f *fleet) kill(m *machine) {
	m.mutex.Lock()
	m.keep = false
	command, exited := m.command, m.exited
	m.mutex.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

// startAll starts all machines.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		f.kill(m)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// caller sends calls, each over a connection of its own.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a call and returns the status, zero if there was no whole answer.
func call(method, address, path, host string, header map[string]string, body string, timeout time.Duration) (int, http.Header, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, ""
	}
	if host != "" {
		request.Host = host
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := *caller
	client.Timeout = timeout
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, response.Header, string(text)
}

// configure sends a configuration to the core machines in turn until one acknowledges it.
func (f *fleet) configure(document string, timeout time.Duration) bool {
	cores := f.of("core")
	for i, until := 0, time.Now().Add(timeout); time.Now().Before(until); i++ {
		core := cores[i%len(cores)]
		status, _, _ := call(http.MethodPut, f.control(core), "/-/config", "", map[string]string{"Content-Type": "application/json"}, document, time.Second)
		if status == http.StatusOK {
			f.record.printf("operator: configuration acknowledged by %s", core.name)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all fronts are ready.
func (f *fleet) awaitReady(timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for _, m := range f.of("front") {
		for {
			if status, _, _ := call(http.MethodGet, f.ready(m), "/-/ready", "", nil, "", time.Second); status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.printf("platform: all fronts are ready")
	return true
}
