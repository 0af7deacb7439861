package standins

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine of a fleet, as in the settings of a small deployment.
const (
	portInternal = 7720
	portFront    = 8161
	portControl  = 8166
	portReady    = 8167
	portWorker   = 8080
	portList     = 8169
)

// listLag is how far the platform's list is behind.
const listLag = 800 * time.Millisecond

// machine is a machine with one process of the project.
type machine struct {
	name, class, ip string
	command         *exec.Cmd
	waited          chan struct{}
	started         bool
}

// workerProcess is a worker stand-in in a process of its own.
type workerProcess struct {
	id, address string
	command     *exec.Cmd
	waited      chan struct{}
}

// listChange is the platform's list from a moment on.
type listChange struct {
	at   time.Time
	rows []byte
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, folder string
	network      string
	record       *record
	machines     map[string]*machine
	unframed     int
	interval     time.Duration
	// spread is how much later than the first core machine the others start, 0.3 s at most.
	spread time.Duration
	// firstControl is the number of the control machine that the operator calls first.
	firstControl int

	mutex     sync.Mutex
	workers   map[string]*workerProcess
	workerIDs int
	list      []listChange
	ran       []workerEvent
}

// record is the log of what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) write(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// newFleet picks a network of loopback addresses on which nothing listens yet.
func newFleet(root string, record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: record, machines: map[string]*machine{}, workers: map[string]*workerProcess{}, interval: 50 * time.Millisecond}
	for attempt := range 50 {
		seed := os.Getpid() + attempt*7
		f.network = fmt.Sprintf("127.%d.%d", 16+seed/200%200, 1+seed%200)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.network, portInternal))
		if err == nil {
			_ = listener.Close()
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (f *fleet) ip(number int) string { return fmt.Sprintf("%s.%d", f.network, number) }

// commandOf returns the words of the command that the deploy file has for the class.
func (f *fleet) commandOf(class string) ([]string, error) {
	content, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	run := ""
	for _, line := range strings.Split(string(content), "\n") {
		name, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(name) {
		case "run":
			run = value
		case "on":
			if value == class {
				return strings.Fields(run), nil
			}
		}
	}
	return nil, fmt.Errorf("the deploy file has no role on %q", class)
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

// start starts the fleet: five core machines, three stores and eight fronts.
func (f *fleet) start() error {
	f.serveList()
	number := 0
	for class, count := range map[string]int{"core": 5, "store": 3, "front": 8} {
		for i := 1; i <= count; i++ {
			number = map[string]int{"core": 0, "store": 10, "front": 20}[class] + i
			m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zones[(i-1)%3], i), class: class, ip: f.ip(number)}
			f.machines[fmt.Sprintf("%s%d", class, i)] = m
		}
	}
	first := f.machines["core1"]
	if err := f.startMachine(first); err != nil {
		return err
	}
	time.Sleep(f.spread)
	for _, m := range f.machines {
		if m == first {
			continue
		}
		if err := f.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) settings(m *machine) string {
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\nrole = \"my-%s\"\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"reykjanes\"\n", m.name, m.class, m.class, m.ip, "hall-"+strings.Split(m.name, "-")[2])
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseeds = [\"%s:%d\",\"%s:%d\",\"%s:%d\"]\nbootstrap = %t\n", portInternal, portInternal+15, f.ip(1), portControl, f.ip(2), portControl, f.ip(3), portControl, !m.started)
	serves, disk := "front", 0
	switch m.class {
	case "core":
		serves, disk = "control", 128
	case "store":
		serves, disk = "store", 480
	}
	fmt.Fprintf(&text, "serves = [%q]\ncountsAsLoss = %t\n", serves, disk > 0)
	if disk > 0 {
		fmt.Fprintf(&text, "dataDir = %q\n", filepath.Join(f.folder, m.name, "data"))
	}
	text.WriteString("discovery = \"cloud\"\nentry = \"vip\"\nheartbeatMs = 1200\nconfigMode = \"highest\"\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\"]\n")
	text.WriteString("[zones]\nhall-a = \"reykjanes\"\nhall-b = \"reykjanes\"\nhall-c = \"reykjanes\"\n[listen]\n")
	switch m.class {
	case "core":
		fmt.Fprintf(&text, "control = \"%s:%d\"\n", m.ip, portControl)
	case "front":
		fmt.Fprintf(&text, "front = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, portFront, m.ip, portReady)
	}
	fmt.Fprintf(&text, "[limits]\ncpuShare = 0.8\ncores = 1\nmemoryMb = 314\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = %d\n", disk)
	text.WriteString("[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.8\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\nrevertSlackMs = 250\nstretchMaxMs = 5000\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 18\nstatusS = 120\ncancelMs = 3000\nsettleMs = 1000\nquotaExcess = 0.1\n")
	fmt.Fprintf(&text, "[cloud]\naddress = \"%s:%d\"\nratePerS = 44.0\nduties = []\nlagMs = 800\n", f.ip(250), portList)
	return text.String()
}

func (f *fleet) startMachine(m *machine) error {
	folder := filepath.Join(f.folder, m.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, "settings.toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o644); err != nil {
		return err
	}
	words, err := f.commandOf(m.class)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.command = exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	m.command.Dir = f.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "SEDGEMAST_BOOT=" + path}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.started = true
	waited := make(chan struct{})
	m.waited = waited
	f.record.write("platform starts %s (%s)", m.name, strings.Join(words, " "))
	go func(command *exec.Cmd) {
		_ = command.Wait()
		_ = log.Close()
		close(waited)
	}(m.command)
	return nil
}

// signal sends a signal to the processes of machines.
func (f *fleet) signal(signal syscall.Signal, machines ...*machine) {
	for _, m := range machines {
		_ = m.command.Process.Signal(signal)
		f.record.write("platform sends %v to %s", signal, m.name)
	}
}

func (f *fleet) class(name string) []*machine {
	var found []*machine
	for i := 1; f.machines[fmt.Sprintf("%s%d", name, i)] != nil; i++ {
		found = append(found, f.machines[fmt.Sprintf("%s%d", name, i)])
	}
	return found
}

// addWorker starts a worker stand-in at the given number's address, under a new id.
func (f *fleet) addWorker(number int) error {
	f.mutex.Lock()
	f.workerIDs++
	w := &workerProcess{id: fmt.Sprintf("i-%04x", 0x7f30+f.workerIDs), address: fmt.Sprintf("%s:%d", f.ip(100+number), portWorker)}
	f.mutex.Unlock()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	w.command = exec.Command(executable, "worker", w.id, w.address, f.interval.String(), fmt.Sprint(f.unframed))
	w.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := w.command.StdoutPipe()
	if err != nil {
		return err
	}
	w.command.Stderr = os.Stderr
	if err := w.command.Start(); err != nil {
		return err
	}
	w.waited = make(chan struct{})
	go func() {
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			var event workerEvent
			if json.Unmarshal(scanner.Bytes(), &event) == nil {
				f.mutex.Lock()
				f.ran = append(f.ran, event)
				f.mutex.Unlock()
				f.record.write("worker %s", scanner.Text())
			}
		}
		_ = w.command.Wait()
		close(w.waited)
	}()
	f.mutex.Lock()
	f.workers[w.id] = w
	f.mutex.Unlock()
	f.updateList()
	return nil
}

// killWorker kills a worker. The platform's list keeps it for a while.
func (f *fleet) killWorker(w *workerProcess) {
	f.record.write("platform kills worker %s at %s", w.id, w.address)
	_ = w.command.Process.Kill()
	<-w.waited
	f.mutex.Lock()
	delete(f.workers, w.id)
	f.mutex.Unlock()
	f.updateList()
}

func (f *fleet) workerList() []*workerProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*workerProcess
	for _, w := range f.workers {
		list = append(list, w)
	}
	return list
}

// workerSlots is how many requests a worker runs at once.
const workerSlots = 17

// updateList makes the present workers the platform's list.
func (f *fleet) updateList() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entries := []map[string]any{}
	number := 0
	for _, w := range f.workers {
		entries = append(entries, map[string]any{"id": w.id, "service": serviceName, "address": w.address, "zone": zones[number%3], "version": "v1", "slots": workerSlots, "state": "ready", "coldLeftMs": 0, "stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
		number++
	}
	rows, _ := json.Marshal(map[string]any{"instances": entries, "nextToken": nil})
	f.list = append(f.list, listChange{time.Now(), rows})
}

// serveList serves the platform's list, which is behind by listLag.
func (f *fleet) serveList() {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip(250), portList))
	if err != nil {
		fail("no list of workers: %v", err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			f.mutex.Lock()
			rows := []byte(`{"instances":[],"nextToken":null}`)
			for _, change := range f.list {
				if time.Since(change.at) >= listLag {
					rows = change.rows
				}
			}
			f.mutex.Unlock()
			writer.Header().Set("Content-Type", "application/json")
			_, _ = writer.Write(filterZone(rows, request.URL.Query().Get("zone")))
		}))
	}()
}

func filterZone(rows []byte, zone string) []byte {
	if zone == "" {
		return rows
	}
	var page struct {
		Instances []map[string]any `json:"instances"`
		NextToken *string          `json:"nextToken"`
	}
	if json.Unmarshal(rows, &page) != nil {
		return rows
	}
	kept := []map[string]any{}
	for _, entry := range page.Instances {
		if entry["zone"] == zone {
			kept = append(kept, entry)
		}
	}
	page.Instances = kept
	filtered, _ := json.Marshal(page)
	return filtered
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.command != nil {
			_ = m.command.Process.Kill()
		}
	}
	for _, w := range f.workerList() {
		_ = w.command.Process.Kill()
	}
	for _, m := range f.machines {
		if m.waited != nil {
			<-m.waited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// call sends a request on a fresh connection.
func call(method, address, host, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		request.Host = host
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// workerAt returns the worker at the given number's address.
func (f *fleet) workerAt(number int) *workerProcess {
	for _, w := range f.workerList() {
		if w.address == fmt.Sprintf("%s:%d", f.ip(100+number), portWorker) {
			return w
		}
	}
	fail("there is no worker %d", number)
	return nil
}
