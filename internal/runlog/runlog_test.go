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

var update = flag.Bool("update", false, "write the golden files anew")

// TestRunIsSummedUp compares the tables of a small recorded run with testdata/run.txt.
// The record has lines that are cut off and a prefix before each line, as a run that
// prints many processes into one file has.
func TestRunIsSummedUp(t *testing.T) {
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

// TestNothingIsNoRun checks that a log without events gives an empty summary.
func TestNothingIsNoRun(t *testing.T) {
	if run := Read(nil, func(string) string { return "" }); len(run.Seconds) != 0 || len(run.Flows) != 0 {
		t.Errorf("%+v", run)
	}
}
