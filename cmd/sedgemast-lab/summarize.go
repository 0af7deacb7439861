package main

import (
	"os"
	"strings"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/record"
	"github.com/sedgemast/sedgemast/internal/runlog"
)

// summarizeCommand shows what happened in a real run.
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
	return runlog.Read(events, zoneByName).Print(os.Stdout)
}

// zoneByName returns the zone in a process's name where that has the form
// CLASS-ZONE-NUMBER, and nothing otherwise.
func zoneByName(process string) string {
	_, rest, found := strings.Cut(process, "-")
	at := strings.LastIndex(rest, "-")
	if !found || at < 0 {
		return ""
	}
	return rest[:at]
}
