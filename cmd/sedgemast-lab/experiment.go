package main

import (
	"os"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/simulation"
)

// experimentCommand compares policies for sharing the fleet, in virtual time.
type experimentCommand struct {
	Profile string            `arg:"--profile" default:"stundir" help:"stundir or kotare"`
	Seeds   string            `arg:"--seeds" default:"1..3" placeholder:"A..B" help:"seeds to run each variant with"`
	Length  settings.Duration `arg:"--length" default:"15s" help:"virtual time that each run is measured for"`
}

func runExperiment(flags *experimentCommand) error {
	profile := simulation.Profiles()[flags.Profile]
	if profile.Name == "" {
		return failure.New(failure.BadRequest, "use stundir or kotare", "%q is not a profile", flags.Profile).WithField("--profile")
	}
	first, last, err := parseSeeds(flags.Seeds)
	if err != nil {
		return err
	}
	experiment := simulation.Experiment{Profile: profile, Variants: simulation.Variants(), Duration: flags.Length.Std(), FirstSeed: first, LastSeed: last}
	simulation.PrintExperiment(os.Stdout, experiment.Run())
	return nil
}
