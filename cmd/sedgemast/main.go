// Sedgemast runs one of the daemons: gateway, dispatcher or control; edge, coordinator or store.
// Its dev command runs a whole fleet with emulated engines in one process, as a demonstration.
//
// Exit codes: 0 finished or shut down as planned, 1 failed, 2 invalid flags or settings.
package main

import (
	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/control"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/dispatcher"
	"github.com/sedgemast/sedgemast/internal/gateway"
	"github.com/sedgemast/sedgemast/internal/settings"
)

// gatewayCommand runs a gateway.
type gatewayCommand struct {
	command.ProcessFlags
	Control           []string `arg:"--control" placeholder:"IP:PORT" help:"addresses of the control processes [default: 127.0.0.1:7300]"`
	OperatorKeySHA256 string   `arg:"--operator-key-sha256" placeholder:"DIGEST" help:"digest of a key that may operate the system before any operator document exists"`
}

// dispatcherCommand runs a dispatcher.
type dispatcherCommand struct {
	command.ProcessFlags
	Control []string `arg:"--control" placeholder:"IP:PORT" help:"addresses of the control processes [default: 127.0.0.1:7300]"`
}

// controlCommand runs a control process.
type controlCommand struct {
	command.ProcessFlags
	DataFolder string   `arg:"--data-folder" placeholder:"FOLDER" help:"folder of the log and the state [default: data/control-1]"`
	Peers      []string `arg:"--peers" placeholder:"IP:PORT" help:"addresses of all control processes in the same order everywhere [default: this one alone]"`
	Platform   string   `arg:"--platform" placeholder:"IP:PORT" help:"address of the platform's list of workers"`
}

// arguments is the command line.
type arguments struct {
	Gateway     *gatewayCommand     `arg:"subcommand:gateway" help:"serve callers and operators"`
	Dispatcher  *dispatcherCommand  `arg:"subcommand:dispatcher" help:"own workers and run requests on them"`
	Control     *controlCommand     `arg:"subcommand:control" help:"keep configuration, jobs and leases"`
	Edge        *edgeCommand        `arg:"subcommand:edge" help:"take opaque requests straight to workers, and jobs to the stores"`
	Coordinator *coordinatorCommand `arg:"subcommand:coordinator" help:"keep the configuration of routes and the view of the fleet"`
	Store       *storeCommand       `arg:"subcommand:store" help:"keep jobs of opaque items and run them"`
	Dev         *devCommand         `arg:"subcommand:dev" help:"run a whole fleet with emulated engines in this process"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Sedgemast serves online and batch inference on one fleet of language-model workers."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "sedgemast " + daemon.Version }

func main() {
	var args arguments
	parser := command.Parse("sedgemast", &args)
	switch {
	case args.Gateway != nil:
		command.Exit(runGateway(args.Gateway))
	case args.Dispatcher != nil:
		command.Exit(runDispatcher(args.Dispatcher))
	case args.Control != nil:
		command.Exit(runControl(args.Control))
	case args.Edge != nil:
		command.Exit(runEdge(args.Edge))
	case args.Coordinator != nil:
		command.Exit(runCoordinator(args.Coordinator))
	case args.Store != nil:
		command.Exit(runStore(args.Store))
	case args.Dev != nil:
		command.Exit(runDev(args.Dev))
	}
	parser.Fail("name a subcommand")
}

func runGateway(flags *gatewayCommand) error {
	config := settings.DefaultGateway()
	err := settings.Load(flags.Settings, config, func() {
		flags.Override(&config.Process)
		if len(flags.Control) > 0 {
			config.Control = flags.Control
		}
		command.OverrideString(&config.OperatorKeySHA256, flags.OperatorKeySHA256)
	})
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("gateway", &config.Process)
	if err != nil {
		return err
	}
	gateway.New(d, config)
	return d.Run()
}

func runDispatcher(flags *dispatcherCommand) error {
	config := settings.DefaultDispatcher()
	err := settings.Load(flags.Settings, config, func() {
		flags.Override(&config.Process)
		if len(flags.Control) > 0 {
			config.Control = flags.Control
		}
	})
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("dispatcher", &config.Process)
	if err != nil {
		return err
	}
	dispatcher.New(d, config)
	return d.Run()
}

func runControl(flags *controlCommand) error {
	config := settings.DefaultControl()
	err := settings.Load(flags.Settings, config, func() {
		flags.Override(&config.Process)
		command.OverrideString(&config.DataFolder, flags.DataFolder)
		command.OverrideString(&config.Platform, flags.Platform)
		if len(flags.Peers) > 0 {
			config.Peers = flags.Peers
		}
	})
	if err != nil {
		return err
	}
	d, err := command.NewDaemon("control", &config.Process)
	if err != nil {
		return err
	}
	process, err := control.New(d, config)
	if err != nil {
		return err
	}
	if err := d.Run(); err != nil {
		return err
	}
	return process.Close()
}
