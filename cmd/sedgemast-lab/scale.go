package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/emulator"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/scale"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// hollowWorkersCommand serves hollow workers, which report no slots and run nothing, and the
// platform's list of them.
type hollowWorkersCommand struct {
	command.ProcessFlags
	Count int    `arg:"--count" default:"600" help:"hollow workers"`
	Model string `arg:"--model" default:"heron-8b"`
}

func runHollowWorkers(flags *hollowWorkersCommand) error {
	ctx, cancel := command.Context()
	defer cancel()
	config := settings.DefaultEngine()
	config.Name, config.Listen = "platform", "127.0.0.1:7200"
	if err := settings.Load(flags.Settings, config, func() { flags.Override(&config.Process) }); err != nil {
		return err
	}
	rows, err := scale.ServeWorkers(ctx, flags.Count, flags.Model)
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("platform", &config.Process)
	if err != nil {
		return err
	}
	platform := emulator.NewPlatform(time.Second, 1, 1)
	platform.SetWorkers(rows)
	platform.Register(d.Server)
	d.SetReady(true)
	fmt.Printf("platform: %d hollow workers listed at http://%s%s\n", len(rows), d.Address(), workerlist.PathWorkers)
	return d.Run()
}

// scaleCommand measures real processes in fleets with different numbers of hollow daemons, which
// speak the control protocol and serve no requests.
type scaleCommand struct {
	Control   []string          `arg:"--control,required" placeholder:"IP:PORT" help:"addresses of the control processes"`
	Gateway   string            `arg:"--gateway,required" placeholder:"IP:PORT" help:"address of a real gateway"`
	Key       string            `arg:"--key,env:SEDGEMAST_OPERATOR_KEY" help:"operator's key"`
	Processes []string          `arg:"--process,separate" placeholder:"ROLE=NAME=IP:PORT" help:"a real process to measure; give it once for each"`
	Daemons   string            `arg:"--daemons" default:"60,180,330" help:"numbers of hollow daemons"`
	Tenants   int               `arg:"--tenants" default:"510" help:"tenants at the largest size; smaller sizes have their share"`
	ItemRate  int               `arg:"--item-rate" default:"5440" help:"batch items a second at 330 daemons; smaller sizes have their share"`
	Window    settings.Duration `arg:"--window" default:"10s" help:"time over which each size is measured"`
	Folder    string            `arg:"--out" default:"out/scale" help:"folder for the data and the plots"`
}

func runScale(flags *scaleCommand) error {
	ctx, cancel := command.Context()
	defer cancel()
	run := &scale.Run{Control: flags.Control, Gateway: flags.Gateway, OperatorKey: flags.Key, Model: "heron-8b", Window: flags.Window.Std(), Out: os.Stdout}
	var err error
	if run.Processes, err = parseProcesses(flags.Processes); err != nil {
		return err
	}
	if run.Steps, err = flags.steps(); err != nil {
		return err
	}
	points, err := run.Measure(ctx)
	if err != nil {
		return err
	}
	slopes := scale.Fit(points)
	scale.PrintSlopes(os.Stdout, slopes)
	return scale.Save(flags.Folder, points, slopes)
}

func (f *scaleCommand) steps() ([]scale.Step, error) {
	var steps []scale.Step
	for _, text := range strings.Split(f.Daemons, ",") {
		daemons, err := strconv.Atoi(text)
		if err != nil || daemons < 1 {
			return nil, failure.New(failure.BadRequest, "write numbers separated by commas", "%q is not a number of daemons", text).WithField("--daemons")
		}
		steps = append(steps, scale.Step{
			Daemons:  daemons,
			Tenants:  max(1, f.Tenants*daemons/scale.Target),
			ItemRate: f.ItemRate * daemons / scale.Target,
		})
	}
	return steps, nil
}

func parseProcesses(texts []string) ([]scale.Process, error) {
	var processes []scale.Process
	for _, text := range texts {
		fields := strings.Split(text, "=")
		if len(fields) != 3 {
			return nil, failure.New(failure.BadRequest, "write ROLE=NAME=IP:PORT", "%q is not a process", text).WithField("--process")
		}
		processes = append(processes, scale.Process{Role: fields[0], Name: fields[1], Address: fields[2]})
	}
	return processes, nil
}
