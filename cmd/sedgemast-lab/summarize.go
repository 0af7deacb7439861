package main

import (
	"os"
	"strings"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/record"
	"github.com/sedgemast/sedgemast/internal/runlog"
)

// summarizeCommand summarizes the logs of a real run.
type summarizeCommand struct {
	File string `arg:"positional,required" help:"file with the lines of all processes"`
}

func runSummarize(flags *summarizeCommand) error {
	file, err := os.Open(flags.File)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "name a file with logs of key=value lines", "the log can't be read")
	}
	defer file.Close()
	events, err := record.Read(file)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "name a file with logs of key=value lines", "the log can't be read")
	}
	return runlog.Read(events, zoneFromName).Print(os.Stdout)
}

// zoneFromName returns the zone in a process name of the form CLASS-ZONE-NUMBER, or an empty
// string for other names.
func zoneFromName(process string) string {
	_, rest, found := strings.Cut(process, "-")
	dash := strings.LastIndex(rest, "-")
	if !found || dash < 0 {
		return ""
	}
	return rest[:dash]
}
