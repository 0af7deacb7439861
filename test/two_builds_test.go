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

// releasedBuild is the revision of the build that runs in production.
const releasedBuild = "8cf60d7ed49a1c2ad939bdab0303c4fc0b95d89f"

// buildReleased builds the released program from the repository's history and returns its path. It
// skips the test if the history does not hold the revision. The build takes about 15 s of one core
// if the modules are in the module cache.
func buildReleased(t *testing.T) string {
	t.Helper()
	released := tryBuildReleased(t)
	if released == "" {
		t.Skipf("the history does not hold %s: fetch it to run this test; TestReleases checks without it that its messages are decoded", releasedBuild)
	}
	return released
}

// tryBuildReleased is buildReleased, but returns "" if the history does not hold the revision.
func tryBuildReleased(t *testing.T) string {
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

// replace stops a machine as planned and restarts it on its data with the given build.
func (f *hostedFleet) replace(machine *hostedMachine, binary string) {
	_ = machine.command.Process.Signal(syscall.SIGTERM)
	<-machine.exited
	machine.binary = binary
	f.start(machine, false)
}

// TestTwoBuilds upgrades machines one after the other and downgrades half of them. After each step
// every edge must serve a route added in that step, and a new job must complete. It guards against
// processes that get no updates from a leader of the other build: edges that were upgraded first
// then answer 503 or 404 until a coordinator of their build leads, and leading stores run no
// items.
func TestTwoBuilds(t *testing.T) {
	released := buildReleased(t)
	for _, order := range []struct{ name, machines string }{
		{"edges first", "front-21 front-22 store-11 store-12 store-13 core-1 core-2 core-3"},
		{"coordinators first", "core-1 core-2 core-3 front-21 store-11 front-22 store-12 store-13"},
		{"mixed", "store-11 core-1 front-21 store-12 core-2 front-22 store-13 core-3"},
	} {
		t.Run(order.name, func(t *testing.T) {
			f := newHostedFleetWith(t, released, hostedWorkers)
			newest := buildHosted(t)
			edges, version := f.configure(t), 20
			machines := strings.Fields(order.machines)
			for _, name := range machines {
				f.replace(f.machines[name], newest)
				version++
				f.checkStep(t, edges, version, name+" on the newer build")
			}
			for _, name := range machines[:len(machines)/2] {
				f.replace(f.machines[name], released)
				version++
				f.checkStep(t, edges, version, name+" back on the older build")
			}
			f.checkAllDecoded(t)
		})
	}
}

// checkStep adds a route and submits a job, and checks that all edges serve the route and that the
// job completes.
func (f *hostedFleet) checkStep(t *testing.T, edges []string, version int, step string) {
	t.Helper()
	added := fmt.Sprintf(`,{"name":"added","host":%q,"pathPrefix":"/added-%d/","routeKind":"safe","timeoutMs":20000,"service":%q,"maxAttempts":3}`, hostedHost, version, hostedService)
	eventually(t, step+": the change", func() bool {
		for _, core := range []string{"core-1", "core-2", "core-3"} {
			if f.putConfiguration(core, f.configuration(version, added)) == http.StatusOK {
				return true
			}
		}
		return false
	})
	for i, edge := range edges {
		eventually(t, fmt.Sprintf("%s: the added route at edge %d", step, i), func() bool {
			status, _, _, err := f.call(http.MethodPost, edge, fmt.Sprintf("/added-%d/a", version), map[string]string{"Request-Id": fmt.Sprintf("c-%d", version), "Token-Count": "1,1"}, "p")
			return err == nil && status == http.StatusOK
		})
	}
	const items = 4
	job := fmt.Sprintf("j-%d", version)
	eventually(t, step+": a job accepted", func() bool {
		status, _, _, err := f.call(http.MethodPost, edges[version%len(edges)], "/batch/a", map[string]string{"Request-Id": job}, jobDocument(job, items, 10))
		return err == nil && status == http.StatusAccepted
	})
	eventually(t, step+": the job's results", func() bool {
		page, _ := f.readResults(edges[0], job, 0)
		return page != nil && len(page.Results) == items
	})
}

// checkAllDecoded checks that no process logged a message that it could not decode. Processes of
// the released build are not checked by this, because that build does not log such messages.
func (f *hostedFleet) checkAllDecoded(t *testing.T) {
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
