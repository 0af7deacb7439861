package main

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/fleetsim"
)

// simulateFleetCommand simulates coordinators and stores in virtual time, with the faults that
// follow from each seed.
type simulateFleetCommand struct {
	Seeds    string `arg:"--seeds" default:"1..100" placeholder:"A..B" help:"seeds to run"`
	Mutation string `arg:"--mutation" help:"take a mechanism away, to see a check turn red; by its name in docs/PROMISES.md"`
	Parallel int    `arg:"--parallel" help:"seeds that run at a time [default: one per processor]"`
}

func runSimulateFleet(flags *simulateFleetCommand) error {
	first, last, err := parseSeeds(flags.Seeds)
	if err != nil {
		return err
	}
	mutation := fleetsim.Mutation(flags.Mutation)
	if mutation != fleetsim.MutationNone && !slices.Contains(fleetsim.Mutations, mutation) {
		return failure.New(failure.BadRequest, fmt.Sprintf("use one of %v", fleetsim.Mutations), "there is no mutation %q", mutation).WithField("--mutation")
	}
	parallel := flags.Parallel
	if parallel <= 0 {
		parallel = runtime.NumCPU()
	}
	started := time.Now()
	failed := runFleetSeeds(first, last, mutation, parallel)
	fmt.Printf("%d seeds, %d with a violation, wall time %s\n", last-first+1, failed, time.Since(started).Round(time.Second))
	if failed > 0 {
		return failure.New(failure.Internal, "replay the seeds named above", "%d seeds broke a promise", failed)
	}
	return nil
}

// runFleetSeeds runs a simulation for each seed, prints the log and the violations of those that
// broke a promise, and returns their number.
func runFleetSeeds(first, last uint64, mutation fleetsim.Mutation, parallel int) int {
	var mutex sync.Mutex
	var group sync.WaitGroup
	failed := 0
	seeds := make(chan uint64)
	for worker := 0; worker < parallel; worker++ {
		group.Add(1)
		go func() {
			defer group.Done()
			for seed := range seeds {
				world, violations := fleetsim.Run(seed, mutation)
				if len(violations) == 0 {
					continue
				}
				mutex.Lock()
				failed++
				fmt.Printf("seed %d; replay: sedgemast-lab simulate-fleet --seeds %d\n", seed, seed)
				for _, line := range append(world.Log, violations...) {
					fmt.Println("  " + line)
				}
				mutex.Unlock()
			}
		}()
	}
	for seed := first; seed <= last; seed++ {
		seeds <- seed
	}
	close(seeds)
	group.Wait()
	return failed
}
