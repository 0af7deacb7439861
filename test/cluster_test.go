// Package test holds the end-to-end tests. They run real processes on loopback addresses, and
// kill, freeze and partition them. Only tests start processes.
package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/fleet"
	"github.com/sedgemast/sedgemast/internal/keys"
	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/operator"
	"github.com/sedgemast/sedgemast/internal/record"
)

const (
	testModel    = "heron-8b"
	testTenant   = "test-school"
	startTimeout = 20 * time.Second
	testTimeout  = 4 * time.Minute
)

var (
	buildOnce   sync.Once
	buildFolder string
	buildErr    error
)

// binary returns the path of a program. All programs are built once per test run.
func binary(t *testing.T, name string) string {
	t.Helper()
	buildOnce.Do(func() {
		if buildFolder, buildErr = os.MkdirTemp("", "sedgemast-test-"); buildErr != nil {
			return
		}
		output, err := exec.Command("go", "build", "-o", buildFolder+"/", "../cmd/...").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w\n%s", err, output)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return filepath.Join(buildFolder, name)
}

func TestMain(m *testing.M) {
	code := m.Run()
	if buildFolder != "" {
		_ = os.RemoveAll(buildFolder)
	}
	os.Exit(code)
}

// process is one running program.
type process struct {
	name      string
	path      string
	arguments []string
	address   string
	command   *exec.Cmd
	exited    chan struct{}
	state     *os.ProcessState
	logPath   string
}

var startedPattern = regexp.MustCompile(`event=started address=([0-9.:]+)`)

// startProcess runs a program and waits until it has logged its address.
func startProcess(t *testing.T, folder, program, name string, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, path: binary(t, program), arguments: arguments, address: "127.0.0.1:0"}
	p.logPath = filepath.Join(folder, name+".log")
	p.launch(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last lines of the log of %s:\n%s", name, logTail(p.logPath))
		}
	})
	t.Cleanup(func() { p.kill() })
	return p
}

// launch starts or restarts the program. A restarted program listens at the same address as before.
func (p *process) launch(t *testing.T) {
	t.Helper()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	arguments := append(append([]string{}, p.arguments...), "--name", p.name, "--listen", p.address)
	p.command = exec.Command(p.path, arguments...)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stderr = writer
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	address := make(chan string, 1)
	go copyLog(reader, logFile, address)
	exited := make(chan struct{})
	p.exited = exited
	go func() {
		// The error of Wait is ignored, because ProcessState holds the exit status.
		_ = p.command.Wait()
		p.state = p.command.ProcessState
		close(exited)
	}()
	select {
	case p.address = <-address:
	case <-exited:
		t.Fatalf("%s exited during the start:\n%s", p.name, logTail(p.logPath))
	case <-time.After(startTimeout):
		t.Fatalf("%s did not start in time:\n%s", p.name, logTail(p.logPath))
	}
}

func copyLog(reader io.ReadCloser, logFile io.WriteCloser, address chan<- string) {
	defer reader.Close()
	defer logFile.Close()
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if found := startedPattern.FindSubmatch(scanner.Bytes()); found != nil {
			select {
			case address <- string(found[1]):
			default:
			}
		}
		fmt.Fprintln(logFile, scanner.Text())
	}
}

func logTail(path string) string {
	const limit = 4000
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	if len(data) > limit {
		data = data[len(data)-limit:]
	}
	return string(data)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop stops the process with SIGTERM and returns its exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.exited
	return p.state.ExitCode()
}

// peakMemory returns the peak resident set size of the process in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(data)
	var kilobytes int64
	if _, err := fmt.Sscan(string(found[1]), &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// cluster is a fleet of separate processes.
type cluster struct {
	folder      string
	control     *process
	controls    []*process
	relays      []*relay
	platform    *process
	engines     []*process
	dispatchers []*process
	gateways    []*process
	operatorKey string
	tenantKey   string
}

// clusterSize is the number of processes of each role.
type clusterSize struct {
	engines     int
	dispatchers int
	gateways    int
	engineFlags []string
	// gatewaySettings is the text of the gateways' settings file, empty for none.
	gatewaySettings string
	// controls is the number of control processes, 0 for one. Each is reached through a relay
	// that can partition it.
	controls int
}

func newCluster(t *testing.T, ctx context.Context, size clusterSize) *cluster {
	t.Helper()
	c := &cluster{folder: t.TempDir()}
	c.operatorKey = newKey(t, "operator", "test")
	c.tenantKey = newKey(t, "tenant", testTenant)
	platformFlags := []string{"platform", "--lag", "200ms"}
	for number := 1; number <= size.engines; number++ {
		name := fmt.Sprintf("engine-%d", number)
		flags := append([]string{"engine", "--step-base", "4ms", "--seed", fmt.Sprint(number)}, size.engineFlags...)
		engine := startProcess(t, c.folder, "sedgemast-lab", name, flags...)
		c.engines = append(c.engines, engine)
		platformFlags = append(platformFlags, "--worker", fmt.Sprintf("%s=%s=zone-a", name, engine.address))
	}
	c.platform = startProcess(t, c.folder, "sedgemast-lab", "platform", platformFlags...)
	c.startControls(t, max(1, size.controls))
	for number := 1; number <= size.dispatchers; number++ {
		c.dispatchers = append(c.dispatchers, startProcess(t, c.folder, "sedgemast", fmt.Sprintf("dispatcher-%d", number), append([]string{"dispatcher", "--control"}, c.controlAddresses()...)...))
	}
	gatewayFlags := []string{"gateway", "--operator-key-sha256", configuration.Digest(c.operatorKey)}
	if size.gatewaySettings != "" {
		settingsFile := filepath.Join(c.folder, "gateway.yaml")
		writeFile(t, settingsFile, size.gatewaySettings)
		gatewayFlags = append(gatewayFlags, "--settings", settingsFile)
	}
	gatewayFlags = append(append(gatewayFlags, "--control"), c.controlAddresses()...)
	for number := 1; number <= size.gateways; number++ {
		c.gateways = append(c.gateways, startProcess(t, c.folder, "sedgemast", fmt.Sprintf("gateway-%d", number), gatewayFlags...))
	}
	c.configure(t, ctx)
	return c
}

// checkRecord checks the logs of all processes for violations of the promises.
func (c *cluster) checkRecord(t *testing.T) {
	t.Helper()
	events, err := record.ReadFolder(c.folder)
	if err != nil {
		t.Fatal(err)
	}
	report := record.Check(events)
	var text strings.Builder
	report.Print(&text)
	t.Logf("record of %d events:\n%s", len(events), text.String())
	if len(report.Violations) > 0 {
		t.Errorf("the record shows %d violations", len(report.Violations))
	}
}

// startControls starts the control processes, each behind a relay.
func (c *cluster) startControls(t *testing.T, count int) {
	t.Helper()
	for number := 0; number < count; number++ {
		c.relays = append(c.relays, newRelay(t))
	}
	peers := c.controlAddresses()
	for number := 1; number <= count; number++ {
		name := fmt.Sprintf("control-%d", number)
		relay := c.relays[number-1]
		settingsFile := filepath.Join(c.folder, name+".yaml")
		writeFile(t, settingsFile, "replace_after: 3s\n")
		arguments := []string{"control", "--settings", settingsFile, "--data-folder", c.dataFolder(number), "--platform", c.platform.address, "--advertise", relay.address(), "--peers"}
		started := startProcess(t, c.folder, "sedgemast", name, append(arguments, peers...)...)
		relay.forwardTo(started.address)
		c.controls = append(c.controls, started)
	}
	c.control = c.controls[0]
}

func (c *cluster) dataFolder(number int) string {
	return filepath.Join(c.folder, fmt.Sprintf("control-%d", number))
}

func (c *cluster) controlAddresses() []string {
	var addresses []string
	for _, relay := range c.relays {
		addresses = append(addresses, relay.address())
	}
	return addresses
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newKey(t *testing.T, kind, owner string) string {
	t.Helper()
	key, err := keys.New(kind, owner)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (c *cluster) operator() *operator.Client {
	return operator.NewClient(c.gateways[0].address, c.operatorKey)
}

func (c *cluster) client(gateway int) *loadgen.Client {
	return loadgen.NewClient(c.gateways[gateway].address, c.tenantKey)
}

func (c *cluster) clients() []*loadgen.Client {
	var clients []*loadgen.Client
	for number := range c.gateways {
		clients = append(clients, c.client(number))
	}
	return clients
}

// configure applies the first configuration and waits until every gateway serves its tenant.
func (c *cluster) configure(t *testing.T, ctx context.Context) {
	t.Helper()
	revision := uint64(0)
	applied, err := operator.ApplyWithRetry(ctx, c.operator(), &operator.Change{
		ChangeID:         "first",
		ExpectedRevision: &revision,
		Documents:        fleet.DemoDocuments(testTenant, []string{testModel}, c.tenantKey),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := operator.WaitInForce(ctx, c.operator(), applied.Revision); err != nil {
		t.Fatal(err)
	}
	for _, client := range c.clients() {
		if err := loadgen.WaitServing(ctx, client, testModel); err != nil {
			t.Fatal(err)
		}
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
