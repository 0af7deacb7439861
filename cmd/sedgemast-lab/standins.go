package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// engineCommand runs an emulated engine.
type engineCommand struct {
	command.ProcessFlags
	Models   []string          `arg:"--models" help:"models loaded at start [default: heron-8b]"`
	Slots    int               `arg:"--slots" help:"sequences that run together [default: 32]"`
	StepBase settings.Duration `arg:"--step-base" help:"time of a step without sequences [default: 12ms]"`
	Seed     int               `arg:"--seed" help:"seed of the faults [default: 1]"`
	Late     float64           `arg:"--late" help:"share of events that come late, 0 to 1"`
	Crossed  float64           `arg:"--crossed" help:"share of events preceded by another attempt's"`
	Twice    float64           `arg:"--twice" help:"share of events sent twice"`
	Cut      float64           `arg:"--cut" help:"share of events at which the connection breaks"`
}

// resumeGrace is how long an attempt continues without a reader, and how long a finished attempt
// can still be read.
const resumeGrace = 5 * time.Second

func runEngine(flags *engineCommand) error {
	config := settings.DefaultEngine()
	err := settings.Load(flags.Settings, config, func() {
		flags.Override(&config.Process)
		if len(flags.Models) > 0 {
			config.Models = flags.Models
		}
		if flags.Slots > 0 {
			config.Slots = flags.Slots
		}
		if flags.StepBase > 0 {
			config.StepBase = flags.StepBase
		}
		if flags.Seed > 0 {
			config.Seed = flags.Seed
		}
	})
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("engine", &config.Process)
	if err != nil {
		return err
	}
	engine := emulator.NewEngine(engineOptions(config, flags, d.Logger))
	engine.Register(d.Server)
	d.Go(engine.Run)
	d.SetReady(true)
	return d.Run()
}

func engineOptions(config *settings.Engine, flags *engineCommand, logger logging.Logger) emulator.EngineOptions {
	capacity := emulator.DefaultCapacity()
	capacity.Slots = config.Slots
	capacity.KVTokens = config.KVTokens
	capacity.CacheBlocks = config.CacheBlocks
	capacity.StepBase = config.StepBase.Std()
	capacity.StepPerSequence = config.StepPerSequence.Std()
	return emulator.EngineOptions{
		Worker:      config.Name,
		Incarnation: uint64(config.Incarnation),
		Models:      config.Models,
		Adapters:    config.Adapters,
		Capacity:    capacity,
		Seed:        uint64(config.Seed),
		Faults:      emulator.Faults{Delayed: flags.Late, Misrouted: flags.Crossed, Duplicated: flags.Twice, Disconnected: flags.Cut},
		LoadLag:     config.LoadLag.Std(),
		EventLag:    config.EventLag.Std(),
		ResumeGrace: resumeGrace,
		WeightStore: config.WeightStore,
		Logger:      logger,
	}
}

// platformCommand runs the emulated platform.
type platformCommand struct {
	command.ProcessFlags
	Workers    []string          `arg:"--worker,separate" placeholder:"NAME=IP:PORT=ZONE" help:"a worker of the list; give it once for each"`
	Lag        settings.Duration `arg:"--lag" default:"1s" help:"age of the list"`
	WeightRate int               `arg:"--weight-rate" default:"268435456" help:"rate of the weight store over all readers, in bytes a second"`
	WeightSize int               `arg:"--weight-size" default:"67108864" help:"size of one set of weights, in bytes"`
}

const workerFields = 3

func runPlatform(flags *platformCommand) error {
	config := settings.DefaultEngine()
	config.Name, config.Listen = "platform", "127.0.0.1:7200"
	if err := settings.Load(flags.Settings, config, func() { flags.Override(&config.Process) }); err != nil {
		return err
	}
	var workers []workerlist.Worker
	for _, text := range flags.Workers {
		fields := strings.Split(text, "=")
		if len(fields) != workerFields {
			return failure.New(failure.BadRequest, "write NAME=IP:PORT=ZONE", "%q is not a worker", text).WithField("--worker")
		}
		workers = append(workers, workerlist.Worker{ID: fields[0], Address: fields[1], Zone: fields[2], Incarnation: 1})
	}
	d, err := command.NewDaemon("platform", &config.Process)
	if err != nil {
		return err
	}
	platform := emulator.NewPlatform(flags.Lag.Std(), flags.WeightRate, flags.WeightSize)
	platform.SetWorkers(workers)
	platform.Register(d.Server)
	d.SetReady(true)
	fmt.Printf("platform: %d workers listed at http://%s%s\n", len(workers), d.Address(), workerlist.PathWorkers)
	return d.Run()
}
