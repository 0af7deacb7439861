// Sedgemast-lab is the command line tool of developers and capacity planners. It emulates engines
// and the platform, generates load, and runs simulations and experiments.
//
// Exit codes: 0 success, 1 failed, 2 invalid flags or settings.
package main

import (
	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/daemon"
)

// arguments is the command line.
type arguments struct {
	Engine        *engineCommand        `arg:"subcommand:engine" help:"run an emulated engine"`
	Platform      *platformCommand      `arg:"subcommand:platform" help:"run the emulated platform: list of workers and weight store"`
	Load          *loadCommand          `arg:"subcommand:load" help:"send online requests and a batch job, and check every answer"`
	JobFile       *jobFileCommand       `arg:"subcommand:job-file" help:"write a job's file"`
	SimulateFleet *simulateFleetCommand `arg:"subcommand:simulate-fleet" help:"run coordinators and stores with faults in virtual time, by seed, and check the promises"`
	Simulate      *simulateCommand      `arg:"subcommand:simulate" help:"run the fleet with faults in virtual time, by seed, and check the promises"`
	Workers       *hollowWorkersCommand `arg:"subcommand:hollow-workers" help:"serve hollow workers and the platform's list of them"`
	Scale         *scaleCommand         `arg:"subcommand:scale" help:"measure a fleet of hollow daemons beside real processes"`
	Experiment    *experimentCommand    `arg:"subcommand:experiment" help:"measure ways of sharing the fleet side by side, in virtual time"`
	CheckRecord   *checkRecordCommand   `arg:"subcommand:check-record" help:"check the promises over the logs of a real run"`
	Summarize     *summarizeCommand     `arg:"subcommand:summarize" help:"show by second what happened in a real run, and its bytes by kind of message"`
	Prove         *proveCommand         `arg:"subcommand:prove" help:"show that every promise holds under its faults, and that its check turns red without its mechanism"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Stand-ins, load and experiments for sedgemast."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "sedgemast-lab " + daemon.Version }

func main() {
	var args arguments
	parser := command.Parse("sedgemast-lab", &args)
	switch {
	case args.Engine != nil:
		command.Exit(runEngine(args.Engine))
	case args.Platform != nil:
		command.Exit(runPlatform(args.Platform))
	case args.Load != nil:
		command.Exit(runLoad(args.Load))
	case args.JobFile != nil:
		command.Exit(runJobFile(args.JobFile))
	case args.SimulateFleet != nil:
		command.Exit(runSimulateFleet(args.SimulateFleet))
	case args.Simulate != nil:
		command.Exit(runSimulate(args.Simulate))
	case args.Workers != nil:
		command.Exit(runHollowWorkers(args.Workers))
	case args.Scale != nil:
		command.Exit(runScale(args.Scale))
	case args.Experiment != nil:
		command.Exit(runExperiment(args.Experiment))
	case args.CheckRecord != nil:
		command.Exit(runCheckRecord(args.CheckRecord))
	case args.Summarize != nil:
		command.Exit(runSummarize(args.Summarize))
	case args.Prove != nil:
		command.Exit(runProve(args.Prove))
	}
	parser.Fail("name a subcommand")
}
