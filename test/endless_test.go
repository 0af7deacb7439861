package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
)

const (
	// endlessRequests is the number of requests, half of them repeatable, that meet each form of bytes
	// without end. They come at once.
	endlessRequests = 16
	// endlessItems is the number of items of a job that do.
	endlessItems = 8
	// maxTakenBytes bounds what is taken of one answer, the buffers of a loopback connection included.
	maxTakenBytes = 24 << 20
	// maxFailover bounds how long a repeatable request takes if its first worker sends without end: the
	// route's timeout for a gap, and the time of a sound run.
	maxFailover = 6 * time.Second
	// maxSends is how often a caller sends a request that is refused.
	maxSends = 3
	// maxProcessBytes is the memory that a machine of the fleet has.
	maxProcessBytes = 300 << 20
)

// memoryWatch holds the most anonymous memory that each process had.
type memoryWatch struct {
	mutex sync.Mutex
	peaks map[string]int
}

// watchMemory samples the memory of the machines' processes until the test ends.
func (f *hostedFleet) watchMemory(t *testing.T) *memoryWatch {
	t.Helper()
	w := &memoryWatch{peaks: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			for name, machine := range f.machines {
				w.record(name, anonymousBytes(machine.pid.Load()))
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	t.Cleanup(func() { cancel(); watching.Wait() })
	return w
}

func (w *memoryWatch) record(name string, bytes int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.peaks[name] = max(w.peaks[name], bytes)
}

// check fails the test for each process that had more memory than its machine has.
func (w *memoryWatch) check(t *testing.T) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	most := 0
	for name, peak := range w.peaks {
		most = max(most, peak)
		if peak > maxProcessBytes {
			t.Errorf("%s had %d MB", name, peak>>20)
		}
	}
	t.Logf("most memory of a process: %d MB", most>>20)
}

// anonymousBytes returns the anonymous memory of a process, 0 if it has ended.
func anonymousBytes(pid int64) int {
	file, err := os.Open(filepath.Join("/proc", strconv.FormatInt(pid, 10), "status"))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kilobytes << 10
		}
	}
	return 0
}

// failFirstRuns makes the first run of each request end with the fault.
func (f *hostedFleet) failFirstRuns(fault emulator.HostedFault) {
	var mutex sync.Mutex
	seen := map[string]bool{}
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		mutex.Lock()
		defer mutex.Unlock()
		if seen[request.ID] {
			return emulator.HostedFault{}
		}
		seen[request.ID] = true
		return fault
	})
}

// takenBytes returns the most bytes that were taken of one answer without end.
func (f *hostedFleet) takenBytes() (answers, bytes int) {
	for _, worker := range f.workers {
		count, most := worker.Endless()
		answers, bytes = answers+count, max(bytes, most)
	}
	return answers, bytes
}

// TestBytesWithoutEnd guards against workers that send bytes without end filling the memory of edges and
// stores, holding requests that another worker can take over, or passing for a whole answer.
func TestBytesWithoutEnd(t *testing.T) {
	f := newHostedFleet(t, hostedWorkers)
	f.configure(t)
	edge := f.address(f.machines["front-21"], portCallers)
	f.waitServing(t, edge)
	for i, form := range emulator.EndlessForms {
		t.Run(string(form), func(t *testing.T) {
			memory := f.watchMemory(t)
			f.failFirstRuns(emulator.HostedFault{Endless: form})
			f.sendMeetingEndless(t, edge, fmt.Sprintf("e-%d", i), form)
			f.submitMeetingEndless(t, edge, fmt.Sprintf("j-%d", i))
			f.injectFaults(nil)
			answers, taken := f.takenBytes()
			t.Logf("%d answers without end, at most %d kB taken", answers, taken>>10)
			if answers == 0 || taken > maxTakenBytes {
				t.Errorf("%d answers without end, %d bytes taken of one", answers, taken)
			}
			memory.check(t)
		})
	}
	t.Run("slowly", func(t *testing.T) { f.testTrickle(t, edge) })
	t.Run("callers", func(t *testing.T) { f.testEndlessCallers(t, edge) })
}

// sendMeetingEndless sends requests that all meet the fault at their first worker.
func (f *hostedFleet) sendMeetingEndless(t *testing.T, edge, prefix string, form emulator.Endless) {
	t.Helper()
	var sending sync.WaitGroup
	for number := range endlessRequests {
		path := []string{"/stream/a", "/once/a"}[number%2]
		sending.Go(func() {
			id := fmt.Sprintf("%s-%d", prefix, number)
			sentAt := time.Now()
			status, _, body, err := f.callAgain(edge, path, &id, "p")
			took := time.Since(sentAt)
			whole := err == nil && status == http.StatusOK && strings.ReplaceAll(body, ": note\n\n", "") == events(id, 1, 6)
			repeatable := path == "/stream/a" && form != emulator.EndlessEvents
			switch {
			case err == nil && status == http.StatusOK && !whole:
				t.Errorf("%s: an answer of %d bytes passes for whole: %.200q", path, len(body), body)
			case repeatable && (!whole || took > maxFailover):
				t.Errorf("%s: status %d, %v after %s, %.200q", path, status, err, took, body)
			case err == nil && failure.PromisesNotRun(status) && f.runCount(id) > 0:
				t.Errorf("%s: status %d after a run", path, status)
			}
		})
	}
	sending.Wait()
}

// callAgain sends a request, and as callers do, sends it again under another id if it was refused before
// any worker ran it.
func (f *hostedFleet) callAgain(edge, path string, id *string, upload string) (status int, header http.Header, body string, err error) {
	first := *id
	for sends := 1; ; sends++ {
		status, header, body, err = f.call(http.MethodPost, edge, path, map[string]string{"Request-Id": *id, "Token-Count": "10,6"}, upload)
		wait, waitErr := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if err != nil || !failure.PromisesNotRun(status) || f.runCount(*id) > 0 || waitErr != nil || sends == maxSends {
			return status, header, body, err
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
		*id = fmt.Sprintf("%s.%d", first, sends)
	}
}

// submitMeetingEndless submits a job whose items all meet the fault at their first worker, and checks
// that each gets its own whole text.
func (f *hostedFleet) submitMeetingEndless(t *testing.T, edge, job string) {
	t.Helper()
	f.submitJob(t, edge, "/batch/", job, jobDocument(job, endlessItems, 6))
	f.expectItemTexts(t, edge, job, endlessItems)
}

// expectItemTexts waits for the results of a job of that many items, and checks that each item has its own
// whole text of six events.
func (f *hostedFleet) expectItemTexts(t *testing.T, edge, job string, items int) {
	t.Helper()
	var page *hostedPage
	eventually(t, "all results of "+job, func() bool {
		page, _ = f.readResults(edge, job, 0)
		return page != nil && len(page.Results) == items
	})
	for _, row := range page.Results {
		if row.State != "completed" || !isItemText(row.ID, row.Message, 6) {
			t.Errorf("item %s is %s with %d bytes of text, %.200q", row.ID, row.State, len(row.Message), row.Message)
		}
	}
}

// testTrickle lets the bytes without end come slowly, so that only bounds of time help.
func (f *hostedFleet) testTrickle(t *testing.T, edge string) {
	var testing sync.WaitGroup
	forms := []emulator.Endless{emulator.EndlessHead, emulator.EndlessEvent, emulator.EndlessComments, emulator.EndlessFailure, emulator.EndlessRejection}
	byID := map[string]emulator.Endless{}
	for i, form := range forms {
		byID[fmt.Sprintf("t-%d", i)] = form
	}
	var mutex sync.Mutex
	f.injectFaults(func(request *emulator.HostedRequest) emulator.HostedFault {
		mutex.Lock()
		defer mutex.Unlock()
		form := byID[request.ID]
		delete(byID, request.ID)
		return emulator.HostedFault{Endless: form, Trickle: true}
	})
	defer f.injectFaults(nil)
	for i, form := range forms {
		testing.Go(func() {
			id := fmt.Sprintf("t-%d", i)
			sentAt := time.Now()
			status, _, body, err := f.call(http.MethodPost, edge, "/stream/a", map[string]string{"Request-Id": id, "Token-Count": "10,6"}, "p")
			if whole := strings.ReplaceAll(body, ": note\n\n", "") == events(id, 1, 6); err != nil || status != http.StatusOK || !whole || time.Since(sentAt) > 2*maxFailover {
				t.Errorf("%s: status %d, %v after %s, %.200q", form, status, err, time.Since(sentAt), body)
			}
		})
	}
	testing.Wait()
}

// testEndlessCallers lets callers send without end, in a head, in a body and in chunks, and one send its
// body too slowly for its deadline.
func (f *hostedFleet) testEndlessCallers(t *testing.T, edge string) {
	memory := f.watchMemory(t)
	fill := strings.Repeat("x", 64<<10)
	head := "POST /stream/a HTTP/1.1\r\nHost: " + hostedHost + "\r\nRequest-Id: c-1\r\nToken-Count: 10,3\r\n"
	for name, parts := range map[string][2]string{
		"line":       {"POST /", fill},
		"header":     {head + "X: ", fill},
		"body":       {head + "Content-Length: 1099511627776\r\n\r\n", fill},
		"chunks":     {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + fill + "\r\n"},
		"chunk line": {head + "Transfer-Encoding: chunked\r\n\r\n5;", fill},
	} {
		connection, err := net.Dial("tcp", edge)
		if err != nil {
			t.Fatal(err)
		}
		_ = connection.SetDeadline(time.Now().Add(hostedTimeout))
		sent, err := io.WriteString(connection, parts[0])
		for err == nil && sent < 4*maxTakenBytes {
			var count int
			count, err = io.WriteString(connection, parts[1])
			sent += count
		}
		_ = connection.Close()
		if sent > maxTakenBytes {
			t.Errorf("%s: %d bytes were taken", name, sent)
		}
	}
	connection, err := net.Dial("tcp", edge)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(hostedTimeout))
	sentAt := time.Now()
	_, _ = io.WriteString(connection, head+"Deadline-Ms: 500\r\nContent-Length: 100\r\n\r\nslow")
	answer := make([]byte, 64)
	count, err := connection.Read(answer)
	if took := time.Since(sentAt); err != nil || !strings.Contains(string(answer[:count]), " 504 ") || took > 2*time.Second {
		t.Errorf("a body that stops: %q, %v after %s", answer[:count], err, took)
	}
	if f.runCount("c-1") > 0 {
		t.Error("a request without its whole body ran")
	}
	memory.check(t)
}
