package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetsim"
	"github.com/sedgemast/sedgemast/internal/simulation"
)

// simulateCommand simulates the fleet in virtual time, with the faults that follow from each seed.
type simulateCommand struct {
	Seeds    string `arg:"--seeds" default:"1..100" placeholder:"A..B" help:"seeds to run"`
	Profile  string `arg:"--profile" default:"all" help:"stundir, kotare, both (all), or target: 330 daemons and 600 workers"`
	Faults   string `arg:"--faults" default:"all" help:"kinds of faults, separated by commas; all or none"`
	Count    int    `arg:"--count" help:"faults in each run [default: the profile's]"`
	Mutation string `arg:"--mutation" help:"take a mechanism away, to see a check turn red; by its name in docs/PROMISES.md"`
	Parallel int    `arg:"--parallel" help:"seeds that run at a time [default: one per processor]"`
	Shrink   bool   `arg:"--shrink" help:"shrink the schedule of the first failing seed"`
}

func runSimulate(flags *simulateCommand) error {
	sweep, err := flags.sweep()
	if err != nil {
		return err
	}
	started := time.Now()
	summary := sweep.Run()
	summary.Print(os.Stdout)
	fmt.Printf("wall time: %s\n", time.Since(started).Round(time.Millisecond))
	for _, failed := range summary.Failed {
		fmt.Printf("\nseed %d of %s failed; replay: sedgemast-lab simulate --seeds %d..%d --profile %s --faults %s\n", failed.Seed, failed.Profile, failed.Seed, failed.Seed, failed.Profile, flags.Faults)
		failed.Print(os.Stdout)
	}
	if len(summary.Failed) == 0 {
		return nil
	}
	if flags.Shrink {
		flags.shrink(sweep, summary.Failed[0])
	}
	return failure.New(failure.Internal, "replay the seeds named above", "%d of %d seeds broke a promise", len(summary.Failed), summary.Seeds)
}

func (f *simulateCommand) shrink(sweep simulation.Sweep, failed *simulation.Result) {
	smallest := simulation.Shrink(simulation.Options{
		Profile:    simulation.Profiles()[failed.Profile],
		Seed:       failed.Seed,
		FaultKinds: sweep.FaultKinds,
		Mutation:   sweep.Mutation,
	}, failed)
	fmt.Printf("\nseed %d of %s, shrunk to %d faults:\n", failed.Seed, failed.Profile, len(smallest.Schedule))
	smallest.Print(os.Stdout)
}

func (f *simulateCommand) sweep() (simulation.Sweep, error) {
	sweep := simulation.Sweep{Mutation: simulation.Mutation(f.Mutation), Parallel: f.Parallel}
	var err error
	if sweep.FirstSeed, sweep.LastSeed, err = parseSeeds(f.Seeds); err != nil {
		return sweep, err
	}
	profiles := simulation.Profiles()
	switch {
	case f.Profile == "all":
		sweep.Profiles = []simulation.Profile{profiles["stundir"], profiles["kotare"]}
	case profiles[f.Profile].Name != "":
		sweep.Profiles = []simulation.Profile{profiles[f.Profile]}
	default:
		return sweep, failure.New(failure.BadRequest, "use stundir, kotare, target or all", "%q is not a profile", f.Profile).WithField("--profile")
	}
	for i := range sweep.Profiles {
		if f.Count > 0 {
			sweep.Profiles[i].FaultCount = f.Count
		}
	}
	sweep.FaultKinds, err = parseKinds(f.Faults)
	return sweep, err
}

func parseSeeds(text string) (first, last uint64, err error) {
	from, to, found := strings.Cut(text, "..")
	if !found {
		to = from
	}
	first, firstErr := strconv.ParseUint(from, 10, 64)
	last, lastErr := strconv.ParseUint(to, 10, 64)
	if firstErr != nil || lastErr != nil || last < first {
		return 0, 0, failure.New(failure.BadRequest, "write two numbers, the lower first, as 1..100", "%q is not a range of seeds", text).WithField("--seeds")
	}
	return first, last, nil
}

func parseKinds(text string) ([]string, error) {
	known := simulation.AllFaultKinds()
	switch text {
	case "all":
		return simulation.DefaultFaultKinds(), nil
	case "none":
		return nil, nil
	}
	kinds := strings.Split(text, ",")
	for _, kind := range kinds {
		if !slices.Contains(known, kind) {
			return nil, failure.New(failure.BadRequest, "use some of "+strings.Join(known, ", "), "%q is not a kind of fault", kind).WithField("--faults")
		}
	}
	return kinds, nil
}

// proveCommand checks each promise under the faults that belong to it. It also checks that the
// check of the promise fails under the mutation that disables the mechanism behind the promise. It
// prints the results as a table.
type proveCommand struct {
	Seeds string `arg:"--seeds" default:"1..10" placeholder:"A..B" help:"seeds to run for each promise and mutation"`
}

func runProve(flags *proveCommand) error {
	first, last, err := parseSeeds(flags.Seeds)
	if err != nil {
		return err
	}
	passed := simulation.VerifyMutations(os.Stdout, first, last)
	if !fleetsim.VerifyMutations(os.Stdout, first, last) || !passed {
		return failure.New(failure.Internal, "look at the rows in capital letters", "a promise was red or a mutation was not")
	}
	return nil
}
