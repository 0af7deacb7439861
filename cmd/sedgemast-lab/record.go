package main

import (
	"os"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/record"
)

// checkRecordCommand checks the promises against the logs of a real run.
type checkRecordCommand struct {
	Folder string `arg:"positional,required" help:"folder with the processes' logs, in files whose names end in .log"`
}

func runCheckRecord(flags *checkRecordCommand) error {
	events, err := record.ReadFolder(flags.Folder)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "name a folder with logs of key=value lines", "the record can't be read")
	}
	report := record.Check(events)
	report.Print(os.Stdout)
	if len(report.Violations) > 0 {
		return failure.New(failure.Internal, "look at the events named above", "%d violations in %d events", len(report.Violations), len(events))
	}
	return nil
}
