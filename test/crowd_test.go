package test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/loadgen"
	"github.com/sedgemast/sedgemast/internal/rpc"
	"github.com/sedgemast/sedgemast/internal/storeclient"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// crowdMemoryMB and crowdMaxFDs are the limits of a machine that meets a crowd. No process may
	// exceed them.
	crowdMemoryMB = 96
	crowdMaxFDs   = 400
	// crowdClients is the number of connections of a crowd at the callers' address, where an edge
	// accepts half as many as the machine has descriptors.
	crowdClients = 160
	// crowdTime bounds the time in which a crowd sends. What is not sent by then is never sent.
	crowdTime = 10 * time.Second
	// missingBytes is how many bytes a crowd's bodies lack.
	missingBytes = 16
	// crowdStay is how long a crowd that has sent stays before an ordinary request comes.
	crowdStay  = 2 * time.Second
	chunkBytes = 32 << 10
)

// crowd is a number of clients whose connections stay open.
type crowd struct {
	mutex       sync.Mutex
	connections []net.Conn
	sending     sync.WaitGroup
}

// startCrowd opens connections and sends text over each of them. The clients read nothing.
func startCrowd(t *testing.T, address string, clients int, text func(number int) []byte) *crowd {
	t.Helper()
	c := &crowd{}
	t.Cleanup(c.close)
	// A small receive buffer keeps answers in the process under test.
	dialer := &net.Dialer{Timeout: crowdTime, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	for number := range clients {
		c.sending.Go(func() {
			connection, err := dialer.Dial("tcp", address)
			if err != nil {
				return
			}
			c.mutex.Lock()
			c.connections = append(c.connections, connection)
			c.mutex.Unlock()
			_ = connection.SetDeadline(time.Now().Add(crowdTime))
			// The process under test may close the connection at any time.
			_, _ = connection.Write(text(number))
		})
	}
	return c
}

func (c *crowd) close() {
	c.sending.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

// closedByPeer returns how many connections the process under test closes until timeout. What it sends
// before is read, and answers counts the connections over which it sends anything.
func (c *crowd) closedByPeer(timeout time.Duration) (closed, answers int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, connection := range c.connections {
		_ = connection.SetDeadline(time.Now().Add(timeout))
	}
	var mutex sync.Mutex
	var reading sync.WaitGroup
	for _, connection := range c.connections {
		reading.Go(func() {
			buffer, total := make([]byte, 4096), 0
			for {
				count, err := connection.Read(buffer)
				total += count
				if err == nil {
					continue
				}
				mutex.Lock()
				defer mutex.Unlock()
				if !os.IsTimeout(err) {
					closed++
				}
				if total > 0 {
					answers++
				}
				return
			}
		})
	}
	reading.Wait()
	return closed, answers
}

// peaks holds the most anonymous memory in bytes and the most descriptors of processes.
type peaks struct {
	mutex            sync.Mutex
	memory, maxFDs   map[string]int
	memoryLimit      int
	descriptorsLimit int
}

// watchPeaks samples processes until the test ends, and then fails the test for each that has ended or
// exceeded its limits.
func watchPeaks(t *testing.T, memoryMB, descriptors int, pids func() map[string]int64) *peaks {
	t.Helper()
	p := &peaks{memory: map[string]int{}, maxFDs: map[string]int{}, memoryLimit: memoryMB << 20, descriptorsLimit: descriptors}
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			for name, pid := range pids() {
				p.record(name, anonymousBytes(pid), openDescriptors(pid))
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		watching.Wait()
		for name, pid := range pids() {
			if anonymousBytes(pid) == 0 {
				t.Errorf("%s has ended", name)
			}
			if p.memory[name] > p.memoryLimit {
				t.Errorf("%s had %d MB of %d", name, p.memory[name]>>20, p.memoryLimit>>20)
			}
			if p.maxFDs[name] > p.descriptorsLimit {
				t.Errorf("%s had %d descriptors of %d", name, p.maxFDs[name], p.descriptorsLimit)
			}
			t.Logf("%s: at most %d MB and %d descriptors", name, p.memory[name]>>20, p.maxFDs[name])
		}
	})
	return p
}

func (p *peaks) record(name string, memory, descriptors int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.memory[name] = max(p.memory[name], memory)
	p.maxFDs[name] = max(p.maxFDs[name], descriptors)
}

// openDescriptors returns the number of a process's open descriptors, 0 if it has ended.
func openDescriptors(pid int64) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.FormatInt(pid, 10), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// crowdFleet is a fleet on machines with low limits.
type crowdFleet struct {
	*hostedFleet
	edge string
	sent int
}

func newCrowdFleet(t *testing.T) *crowdFleet {
	t.Helper()
	return newCrowdFleetWith(t, hostedLimits{memoryMB: crowdMemoryMB, maxFDs: crowdMaxFDs, maxBodyBytes: hostedMaxBodyBytes})
}

func newCrowdFleetWith(t *testing.T, limits hostedLimits) *crowdFleet {
	t.Helper()
	f := &crowdFleet{hostedFleet: newLimitedFleet(t, buildHosted(t), hostedWorkers, limits)}
	f.edge = f.configure(t)[0]
	f.waitServing(t, f.edge)
	watchPeaks(t, limits.memoryMB, limits.maxFDs, func() map[string]int64 {
		pids := map[string]int64{}
		for name, machine := range f.machines {
			pids[name] = machine.pid.Load()
		}
		return pids
	})
	return f
}

// checkServes sends an ordinary request until it is answered, and after that one with a body of the
// configured limit. Each attempt has a connection and an id of its own, as those of callers have.
func (f *crowdFleet) checkServes(t *testing.T) {
	t.Helper()
	for _, bytes := range []int{200, f.limits.maxBodyBytes} {
		eventually(t, fmt.Sprintf("an answer to a request of %d bytes", bytes), func() bool {
			f.sent++
			id := fmt.Sprintf("ordinary-%d", f.sent)
			headers := map[string]string{"Request-Id": id, "Token-Count": "10,3", "Deadline-Ms": "5000"}
			status, _, body, err := f.callWithin(5*time.Second, http.MethodPost, f.edge, "/stream/a", headers, strings.Repeat("p", bytes))
			return err == nil && status == http.StatusOK && body == events(id, 1, 3)
		})
	}
}

// checkServesBeside checks that an ordinary request is answered while a crowd is there, and both
// kinds of checkServes after it.
func (f *crowdFleet) checkServesBeside(t *testing.T, c *crowd) {
	t.Helper()
	c.sending.Wait()
	time.Sleep(crowdStay)
	f.checkAnswered(t, f.edge, "beside")
	c.close()
	f.checkServes(t)
}

// checkAnswered sends an ordinary request until it is answered.
func (f *crowdFleet) checkAnswered(t *testing.T, edge, name string) {
	t.Helper()
	attempts := 0
	eventually(t, "an answer "+name, func() bool {
		attempts++
		id := fmt.Sprintf("%s-%d", name, attempts)
		headers := map[string]string{"Request-Id": id, "Token-Count": "10,3", "Deadline-Ms": "5000"}
		status, _, body, err := f.callWithin(5*time.Second, http.MethodPost, edge, "/stream/a", headers, "p")
		return err == nil && status == http.StatusOK && body == events(id, 1, 3)
	})
	t.Logf("an ordinary request was answered %s after %d attempts", name, attempts)
}

// requestHead returns the head of a request without its empty last line.
func requestHead(host, path, id, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nToken-Count: 10,3\r\n" + fields
}

// chunked returns a body of the given size in chunks, without its last chunk.
func chunked(bytes, size int) string {
	var text strings.Builder
	for left := bytes; left > 0; left -= size {
		count := min(size, left)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", count, strings.Repeat("x", count))
	}
	return text.String()
}

// testUnfinishedBodies lets a crowd send bodies that lack their last bytes.
func testUnfinishedBodies(t *testing.T, fields, body string) {
	f := newCrowdFleet(t)
	c := startCrowd(t, f.edge, crowdClients, func(number int) []byte {
		return []byte(requestHead(hostedHost, "/stream/a", fmt.Sprintf("crowd-%d", number), fields) + "\r\n" + body)
	})
	f.checkServesBeside(t, c)
	for number := range crowdClients {
		if id := fmt.Sprintf("crowd-%d", number); f.runCount(id) > 0 {
			t.Errorf("%s ran without its whole body", id)
		}
	}
}

// TestCrowdOfLargeChunks guards against bodies that together exceed the memory of an edge though each is
// within its limit.
func TestCrowdOfLargeChunks(t *testing.T) {
	testUnfinishedBodies(t, "Transfer-Encoding: chunked\r\n", chunked(hostedMaxBodyBytes-missingBytes, chunkBytes))
}

// TestCrowdOfSmallChunks does so with chunks of one byte, which cost much processor time.
func TestCrowdOfSmallChunks(t *testing.T) {
	testUnfinishedBodies(t, "Transfer-Encoding: chunked\r\n", chunked(hostedMaxBodyBytes-missingBytes, 1))
}

// TestCrowdOfUnfinishedLengths does so with bodies whose length is told.
func TestCrowdOfUnfinishedLengths(t *testing.T) {
	testUnfinishedBodies(t, fmt.Sprintf("Content-Length: %d\r\n", hostedMaxBodyBytes), strings.Repeat("x", hostedMaxBodyBytes-missingBytes))
}

// TestCrowdOfJobs guards against documents that are far larger once they are decoded.
func TestCrowdOfJobs(t *testing.T) {
	const jobs = 16
	f := newCrowdFleet(t)
	for number, document := range []string{
		`{"items":[` + strings.Repeat("{},", hostedMaxBodyBytes/3-10) + `{}]}`,
		`{"items":[{"id":"i","path":"/batch/i","headers":{` + manyHeaders(hostedMaxBodyBytes-200) + `}}]}`,
		`{"items":[{}],"other":` + strings.Repeat("[", 400_000) + strings.Repeat("]", 400_000) + `}`,
	} {
		name := fmt.Sprintf("crowd-%d", number)
		c := startCrowd(t, f.edge, jobs, func(number int) []byte {
			return []byte(requestHead(hostedHost, "/batch/crowd", fmt.Sprintf("%s-%d", name, number), fmt.Sprintf("Content-Length: %d\r\n", len(document))) + "\r\n" + document)
		})
		f.checkServesBeside(t, c)
	}
	f.submitJob(t, f.edge, "/batch/", "ordinary", jobDocument("ordinary", 4, 3))
}

// manyHeaders returns the headers of an item, as short as they can be, of the given size in JSON.
func manyHeaders(size int) string {
	var text strings.Builder
	text.WriteString(`"a":""`)
	for number := 0; text.Len() < size-16; number++ {
		fmt.Fprintf(&text, `,"%x":""`, number)
	}
	return text.String()
}

// TestCrowdOfHeads guards against heads that together exceed the memory of an edge.
func TestCrowdOfHeads(t *testing.T) {
	const headBytes = 60 << 10
	f := newCrowdFleet(t)
	var fields strings.Builder
	for number := 0; fields.Len() < headBytes; number++ {
		fmt.Fprintf(&fields, "a%x:\r\n", number)
	}
	c := startCrowd(t, f.edge, crowdClients, func(number int) []byte {
		return []byte(requestHead(hostedHost, "/stream/a", fmt.Sprintf("crowd-%d", number), fields.String()))
	})
	f.checkServesBeside(t, c)
}

// TestCrowdOfSilentConnections guards against an edge that has no place for callers because clients that
// ask nothing hold all of them.
func TestCrowdOfSilentConnections(t *testing.T) {
	f := newCrowdFleet(t)
	c := startCrowd(t, f.edge, crowdMaxFDs, func(int) []byte { return nil })
	c.sending.Wait()
	// Within the time of an idle connection, which frees the places by itself.
	served := 0
	for number := range 5 {
		id := fmt.Sprintf("beside-%d", number)
		status, _, _, err := f.callWithin(5*time.Second, http.MethodPost, f.edge, "/stream/a", map[string]string{"Request-Id": id, "Token-Count": "10,3"}, "p")
		if err == nil && status == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no ordinary request is answered beside silent connections")
	}
	c.close()
	f.checkServes(t)
}

// TestCrowdAtOtherAddresses guards against the addresses that serve no callers taking the descriptors of
// a process: those of readiness, metrics, operators and other processes.
func TestCrowdAtOtherAddresses(t *testing.T) {
	f := newCrowdFleet(t)
	edge, core := f.machines["front-21"], f.machines["core-1"]
	for _, test := range []struct{ name, address string }{
		{"ready", f.address(edge, portReady)},
		{"metrics", net.JoinHostPort(edge.ip, "9464")},
		{"edge", f.address(edge, 0)},
		{"store", f.address(f.machines["store-11"], 0)},
		{"operators", f.address(core, portControl)},
		{"core", f.address(core, 0)},
	} {
		t.Log(test.name)
		c := startCrowd(t, test.address, crowdMaxFDs+50, func(number int) []byte {
			if number%2 == 0 {
				return nil
			}
			return []byte(requestHead("any", "/-/ready", "crowd", "Transfer-Encoding: chunked\r\n") + "\r\n" + chunked(1000, 1000))
		})
		f.checkServesBeside(t, c)
	}
	eventually(t, "readiness is answered", func() bool {
		status, _, _, err := f.call(http.MethodGet, f.address(edge, portReady), "/-/ready", nil, "")
		return err == nil && status == http.StatusOK
	})
	version := 50
	eventually(t, "a configuration is accepted", func() bool {
		version++
		return f.putConfiguration("core-1", f.configuration(version, "")) == http.StatusOK
	})
}

// TestRefusedBodiesAreEnded guards against requests that are refused, but neither answered nor closed
// because their bodies stay open.
func TestRefusedBodiesAreEnded(t *testing.T) {
	f := newCrowdFleet(t)
	body := chunked(1000, 1000)
	edge, core := f.machines["front-21"], f.machines["core-1"]
	for _, test := range []struct{ name, address, host, path string }{
		{"no route", f.edge, "none.example", "/stream/a"},
		{"results", f.edge, hostedHost, "/-/lots/none"},
		{"ready", f.address(edge, portReady), hostedHost, "/-/ready"},
		{"metrics", net.JoinHostPort(edge.ip, "9464"), hostedHost, "/metrics"},
		{"operators", f.address(core, portControl), hostedHost, "/none"},
		{"own", f.address(core, 0), hostedHost, "/none"},
	} {
		c := startCrowd(t, test.address, 8, func(number int) []byte {
			return []byte(requestHead(test.host, test.path, fmt.Sprintf("refused-%d", number), "Transfer-Encoding: chunked\r\n") + "\r\n" + body)
		})
		c.sending.Wait()
		closed, answers := c.closedByPeer(hostedTimeout / 3)
		if closed != 8 || answers != 8 {
			t.Errorf("%s: %d of 8 connections are closed, %d have an answer", test.name, closed, answers)
		}
	}
	f.checkServes(t)
}

// TestCrowdOfUnreadAnswers guards against answers that nobody takes staying in an edge's memory.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	const maxBody, itemBytes = 16 << 20, 9 << 20
	// Stores of less memory can't keep such an item even without a crowd.
	f := newCrowdFleetWith(t, hostedLimits{memoryMB: hostedMemoryMB, maxFDs: crowdMaxFDs, maxBodyBytes: maxBody})
	f.injectFaults(func(*emulator.HostedRequest) emulator.HostedFault { return emulator.HostedFault{NotRun: true} })
	body := strings.Repeat("QUJD", itemBytes/3)
	f.submitJob(t, f.edge, "/batch/", "unread", fmt.Sprintf(`{"items":[{"id":"i","path":"/batch/i","headers":{"Token-Count":"10,3"},"body":%q,"tokens":3}]}`, body))
	c := startCrowd(t, f.edge, crowdClients, func(int) []byte {
		return []byte("GET /-/items/unread?id=i HTTP/1.1\r\nHost: " + hostedHost + "\r\n\r\n")
	})
	c.sending.Wait()
	f.injectFaults(nil)
	f.checkServesBeside(t, c)
}

// TestCrowdOfOperators guards against documents that together exceed the memory of a coordinator.
func TestCrowdOfOperators(t *testing.T) {
	const clients, bodyBytes = 40, 8 << 20
	f := newCrowdFleet(t)
	address := f.address(f.machines["core-1"], portControl)
	for _, form := range [][2]string{
		{fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), strings.Repeat("x", bodyBytes-missingBytes)},
		{"Transfer-Encoding: chunked\r\n", chunked(bodyBytes, chunkBytes)},
	} {
		c := startCrowd(t, address, clients, func(int) []byte {
			return []byte("PUT /-/config HTTP/1.1\r\nHost: any\r\n" + form[0] + "\r\n" + form[1])
		})
		f.checkServesBeside(t, c)
	}
	version := 50
	eventually(t, "a configuration is accepted", func() bool {
		version++
		return f.putConfiguration("core-1", f.configuration(version, "")) == http.StatusOK
	})
}

// TestCrowdAtOwnPorts guards against calls between processes that together exceed the memory of a
// process, as they are or unpacked.
func TestCrowdAtOwnPorts(t *testing.T) {
	const clients, bodyBytes = 40, 16 << 20
	f := newCrowdFleet(t)
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	packed := encoder.EncodeAll(make([]byte, bodyBytes), nil)
	submit, watch := rpc.PathPrefix+storeclient.MethodSubmit, rpc.PathPrefix+wire.MethodWatch
	for _, call := range []struct{ name, machine, path, fields, body string }{
		{"unfinished", "store-11", submit, "Transfer-Encoding: chunked\r\n", chunked(bodyBytes, chunkBytes)},
		{"packed", "store-11", submit, fmt.Sprintf("Content-Encoding: zstd\r\nContent-Length: %d\r\n", len(packed)), string(packed)},
		{"told list", "store-11", submit, "Content-Length: 12\r\n", "\x81\xa5items\xdd\x00\x00\xff\xff"},
		{"unfinished at the core", "core-1", watch, "Transfer-Encoding: chunked\r\n", chunked(bodyBytes, chunkBytes)},
	} {
		t.Log(call.name)
		c := startCrowd(t, f.address(f.machines[call.machine], 0), clients, func(int) []byte {
			return []byte(requestHead("any", call.path, "crowd", call.fields) + "\r\n" + call.body)
		})
		f.checkServesBeside(t, c)
	}
	f.submitJob(t, f.edge, "/batch/", "ordinary", jobDocument("ordinary", 4, 3))
}

// TestCrowdAtGateway guards against requests that together exceed the memory of a gateway.
func TestCrowdAtGateway(t *testing.T) {
	const clients, bodyBytes = 80, 4 << 20
	ctx := testContext(t)
	c := newCluster(t, ctx, clusterSize{engines: 1, dispatchers: 1, gateways: 1, gatewaySettings: fmt.Sprintf("memory_mb: %d\nmax_descriptors: %d\n", crowdMemoryMB, crowdMaxFDs)})
	gateway := c.gateways[0]
	watchPeaks(t, crowdMemoryMB, crowdMaxFDs, func() map[string]int64 {
		return map[string]int64{gateway.name: int64(gateway.command.Process.Pid)}
	})
	authorization := "Authorization: Bearer " + c.tenantKey + "\r\nContent-Type: application/json\r\n"
	prompt := `{"model":"` + testModel + `","messages":[{"role":"user","content":"` + strings.Repeat("x", bodyBytes)
	list := `{"model":"` + testModel + `","messages":[` + strings.Repeat("{},", bodyBytes/3)
	for _, body := range []string{prompt, list} {
		crowd := startCrowd(t, gateway.address, clients, func(int) []byte {
			head := "POST /v1/chat/completions HTTP/1.1\r\nHost: any\r\n" + authorization
			return bytes.Join([][]byte{[]byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+missingBytes)), []byte(body)}, nil)
		})
		crowd.sending.Wait()
		c.checkChat(t, ctx)
		crowd.close()
		c.checkChat(t, ctx)
	}
	silent := startCrowd(t, gateway.address, 2*crowdMaxFDs, func(int) []byte { return []byte("POST /v1") })
	silent.sending.Wait()
	c.checkChat(t, ctx)
	silent.close()
	c.checkChat(t, ctx)
}

// checkChat sends ordinary requests until one is answered.
func (c *cluster) checkChat(t *testing.T, ctx context.Context) {
	t.Helper()
	eventually(t, "an answer", func() bool {
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		request := &loadgen.Request{Model: testModel, Text: "p", MaxTokens: 4}
		reply, err := c.client(0).Chat(ctx, request)
		return err == nil && reply.Text == request.Expected()
	})
}
