package main

import (
	"context"
	"fmt"

	"github.com/sedgemast/sedgemast/internal/batchstore"
	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/coordinator"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/edge"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/httpheader"
	"github.com/sedgemast/sedgemast/internal/incarnation"
	"github.com/sedgemast/sedgemast/internal/listreader"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
	"github.com/sedgemast/sedgemast/internal/workerlist"
)

// fleetFlags are the flags that edge, coordinator and store have in common.
type fleetFlags struct {
	command.ProcessFlags
	Seeds []string `arg:"--seeds" placeholder:"IP:PORT" help:"addresses of a few coordinators [default: 127.0.0.1:7600]"`
}

func (f *fleetFlags) override(process *settings.Process, seeds *[]string) {
	f.Override(process)
	if len(f.Seeds) > 0 {
		*seeds = f.Seeds
	}
}

// edgeCommand runs an edge.
type edgeCommand struct {
	fleetFlags
	Callers string `arg:"--callers" placeholder:"IP:PORT" help:"address at which callers are served"`
}

// coordinatorCommand runs a coordinator.
type coordinatorCommand struct {
	fleetFlags
	Operators  string `arg:"--operators" placeholder:"IP:PORT" help:"address at which operators are served"`
	Platform   string `arg:"--platform" placeholder:"IP:PORT" help:"address of the platform's list of workers"`
	DataFolder string `arg:"--data-folder" placeholder:"FOLDER" help:"folder of the log and the state [default: data]"`
	Bootstrap  bool   `arg:"--bootstrap" help:"this is the first start of the whole system"`
}

// storeCommand runs a store.
type storeCommand struct {
	fleetFlags
	DataFolder string `arg:"--data-folder" placeholder:"FOLDER" help:"folder of the log and the state [default: data]"`
}

func runEdge(flags *edgeCommand) error {
	config := settings.DefaultEdge()
	err := settings.Load(flags.Settings, config, func() {
		flags.override(&config.Process, &config.Seeds)
		command.OverrideString(&config.Callers, flags.Callers)
	})
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("edge", &config.Process)
	if err != nil {
		return err
	}
	process := edge.New(d, config, httpheader.Default())
	if config.Callers != "" {
		if err := d.AddServer(config.Callers, &edge.API{Edge: process}, daemon.ServerOptions{Name: "callers", Connections: process.Connections, ConnectionsSetting: "max_connections"}); err != nil {
			return err
		}
	}
	return d.Run()
}

func runCoordinator(flags *coordinatorCommand) error {
	config := settings.DefaultCoordinator()
	err := settings.Load(flags.Settings, config, func() {
		flags.override(&config.Process, &config.Seeds)
		command.OverrideString(&config.Operators, flags.Operators)
		command.OverrideString(&config.Platform, flags.Platform)
		command.OverrideString(&config.DataFolder, flags.DataFolder)
		config.Bootstrap = config.Bootstrap || flags.Bootstrap
	})
	if err != nil {
		return err
	}
	if config.Platform == "" {
		return failure.New(failure.BadRequest, "give it in the settings or with --platform", "there is no address of the platform's list").WithField("platform")
	}
	d, err := command.NewDaemon("coordinator", &config.Process)
	if err != nil {
		return err
	}
	process, err := coordinator.New(d, config, poolList{workerlist.NewClient(config.Platform)})
	if err != nil {
		return err
	}
	if config.Operators != "" {
		if err := d.AddServer(config.Operators, &coordinator.API{Coordinator: process, Logger: d.Logger}, daemon.ServerOptions{Name: "operators"}); err != nil {
			return err
		}
	}
	if err := d.Run(); err != nil {
		return err
	}
	return process.Close()
}

func runStore(flags *storeCommand) error {
	config := settings.DefaultStore()
	err := settings.Load(flags.Settings, config, func() {
		flags.override(&config.Process, &config.Seeds)
		command.OverrideString(&config.DataFolder, flags.DataFolder)
	})
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("store", &config.Process)
	if err != nil {
		return err
	}
	process, err := batchstore.New(d, config, httpheader.Default())
	if err != nil {
		return err
	}
	if err := d.Run(); err != nil {
		return err
	}
	return process.Close()
}

// poolList reads the workers of pools from the platform's list.
type poolList struct{ client *workerlist.Client }

// Page implements listreader.Pager. The whole list is one page. A machine that was replaced under
// its id is a different worker, so the worker's id includes the incarnation.
func (l poolList) Page(ctx context.Context, _, _ string) (listreader.Page, error) {
	page := listreader.Page{}
	workers, err := l.client.Workers(ctx)
	if err != nil {
		return page, err
	}
	for _, row := range workers {
		if row.Pool == "" {
			continue
		}
		id := row.ID
		if row.Incarnation > 0 {
			id = fmt.Sprintf("%s.%d", row.ID, row.Incarnation)
		}
		version := incarnation.Version(row.Version)
		if !version.Valid() {
			version = ""
		}
		page.Rows = append(page.Rows, wire.PoolWorker{ID: incarnation.Name(id, 0, version), Pool: row.Pool, Address: row.Address, Zone: row.Zone, Slots: row.Slots, Leaving: row.Leaving})
	}
	return page, nil
}
