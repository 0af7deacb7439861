package runlog

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgemast/sedgemast/internal/record"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestRunSummary compares the tables of a small recorded run with testdata/run.txt. Like a log into
// which a run writes the output of many processes, the record has a prefix before each line and
// truncated lines.
func TestRunSummary(t *testing.T) {
	lines, err := os.ReadFile(filepath.Join("testdata", "run.log"))
	if err != nil {
		t.Fatal(err)
	}
	events, err := record.Read(bytes.NewReader(lines))
	if err != nil {
		t.Fatal(err)
	}
	run := Read(events, func(process string) string {
		return strings.TrimPrefix(process[:strings.LastIndex(process, "-")], "edge-")
	})
	var text bytes.Buffer
	if err := run.Print(&text); err != nil {
		t.Fatal(err)
	}
	golden := filepath.Join("testdata", "run.txt")
	if *update {
		if err := os.WriteFile(golden, text.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if text.String() != string(want) {
		t.Errorf("the tables differ from %s:\n%s", golden, text.String())
	}
}

// TestEmptyLog checks that a log without events gives an empty summary.
func TestEmptyLog(t *testing.T) {
	if run := Read(nil, func(string) string { return "" }); len(run.Seconds) != 0 || len(run.Flows) != 0 {
		t.Errorf("%+v", run)
	}
}
