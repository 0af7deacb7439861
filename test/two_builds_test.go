package test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// releasedBuild is the build that runs in production, by its revision.
const releasedBuild = "8cf60d7ed49a1c2ad939bdab0303c4fc0b95d89f"

// buildReleased builds the released programs from the repository's history, or skips the
// test where the history is not there. It takes some 15 s of one core where the modules are
// in the module cache.
func buildReleased(t *testing.T) string {
	t.Helper()
	released := findReleased(t)
	if released == "" {
		t.Skipf("the history does not hold %s: TestReleases reads its messages without it", releasedBuild)
	}
	return released
}

// findReleased is buildReleased, and returns nothing where the history is not there.
func findReleased(t *testing.T) string {
	t.Helper()
	if exec.Command("git", "cat-file", "-e", releasedBuild+"^{commit}").Run() != nil {
		return ""
	}
	tree := t.TempDir()
	archive := exec.Command("git", "archive", "--output", filepath.Join(tree, "tree.tar"), releasedBuild)
	archive.Dir = ".."
	steps := []*exec.Cmd{
		archive,
		exec.Command("tar", "-x", "-f", "tree.tar"),
		exec.Command("go", "build", "-o", "hosted", "./platform/sedgemast-hosted"),
	}
	for _, step := range steps {
		if step.Dir == "" {
			step.Dir = tree
		}
		if output, err := step.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", step.Args, err, output)
		}
	}
	return filepath.Join(tree, "hosted")
}

// replace stops a machine as planned and starts it on its data, on the given build.
func (f *hostedFleet) replace(machine *hostedMachine, binary string) {
	_ = machine.command.Process.Signal(syscall.SIGTERM)
	<-machine.exited
	machine.binary = binary
	f.start(machine, false)
}

// TestTwoBuilds replaces machines one after the other, there and back. After each step each
// edge serves a route that came with the step, and a job handed in then is done. Before, a
// process started on one build learnt nothing of a leader of the other one: edges that were
// replaced first answered 503 or 404 until a coordinator of their build led, and stores
// that led ran no items.
func TestTwoBuilds(t *testing.T) {
	released := buildReleased(t)
	for _, order := range []struct{ name, machines string }{
		{"edges first", "front-21 front-22 store-11 store-12 store-13 core-1 core-2 core-3"},
		{"coordinators first", "core-1 core-2 core-3 front-21 store-11 front-22 store-12 store-13"},
		{"mixed", "store-11 core-1 front-21 store-12 core-2 front-22 store-13 core-3"},
	} {
		t.Run(order.name, func(t *testing.T) {
			f := newHostedFleetOf(t, released, hostedWorkers)
			newest := buildHosted(t)
			fronts, version := f.ready(t), 20
			machines := strings.Fields(order.machines)
			for _, name := range machines {
				f.replace(f.machines[name], newest)
				version++
				f.testStep(t, fronts, version, name+" on the newer build")
			}
			for _, name := range machines[:len(machines)/2] {
				f.replace(f.machines[name], released)
				version++
				f.testStep(t, fronts, version, name+" back on the older build")
			}
			f.testNothingUnread(t)
		})
	}
}

// testStep adds a route and hands in a job.
func (f *hostedFleet) testStep(t *testing.T, fronts []string, version int, step string) {
	t.Helper()
	added := fmt.Sprintf(`,{"name":"added","host":%q,"pathPrefix":"/added-%d/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":3}`, hostedHost, version, hostedService)
	eventually(t, step+": the change", func() bool {
		for _, core := range []string{"core-1", "core-2", "core-3"} {
			if f.put(core, f.configuration(version, added)) == http.StatusOK {
				return true
			}
		}
		return false
	})
	for i, front := range fronts {
		eventually(t, fmt.Sprintf("%s: the added route at edge %d", step, i), func() bool {
			status, _, _, err := f.call(http.MethodPost, front, fmt.Sprintf("/added-%d/a", version), map[string]string{"Request-Id": fmt.Sprintf("c-%d", version), "Token-Count": "1,1"}, "p")
			return err == nil && status == http.StatusOK
		})
	}
	const items = 4
	job := fmt.Sprintf("j-%d", version)
	eventually(t, step+": a job accepted", func() bool {
		status, _, _, err := f.call(http.MethodPost, fronts[version%len(fronts)], "/batch/a", map[string]string{"Request-Id": job}, jobDocument(job, items, 10))
		return err == nil && status == http.StatusAccepted
	})
	eventually(t, step+": the job's results", func() bool {
		page, _ := f.read(fronts[0], job, 0)
		return page != nil && len(page.Results) == items
	})
}

// testNothingUnread looks for lines on messages that could not be read; the released build
// writes none.
func (f *hostedFleet) testNothingUnread(t *testing.T) {
	t.Helper()
	for name, machine := range f.machines {
		text, err := os.ReadFile(filepath.Join(machine.folder, "log"))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "event=message_unread") || strings.Contains(line, "does not decode") {
				t.Errorf("%s: %s", name, line)
			}
		}
	}
}
