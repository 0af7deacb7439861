// Sedgemastctl is the operators' command line tool. It changes and shows the configuration, shows
// the state of the fleet and its jobs, drains daemons and workers, generates keys, and checks
// settings and documents offline.
//
// Exit codes: 0 success, 1 failed, 2 invalid flags, settings or documents.
package main

import (
	"github.com/sedgemast/sedgemast/internal/command"
	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/operator"
)

// connection holds the flags of all commands that call a gateway.
type connection struct {
	Gateway string `arg:"--gateway,env:SEDGEMAST_GATEWAY" placeholder:"IP:PORT" default:"127.0.0.1:7400" help:"address of a gateway"`
	Key     string `arg:"--key,env:SEDGEMAST_OPERATOR_KEY" help:"operator's key; better given in the environment than on the command line"`
	JSON    bool   `arg:"--json" help:"print JSON instead of tables"`
}

func (c *connection) client() (*operator.Client, error) {
	if c.Key == "" {
		return nil, failure.New(failure.BadRequest, "set SEDGEMAST_OPERATOR_KEY", "there is no operator's key")
	}
	return operator.NewClient(c.Gateway, c.Key), nil
}

type applyCommand struct {
	connection
	File           string  `arg:"-f,--file,required" placeholder:"FILE" help:"YAML file of documents"`
	ChangeID       string  `arg:"--change-id" help:"name of the change; the same id sends the same change again [default: made from the time]"`
	ExpectRevision *uint64 `arg:"--expect-revision" help:"revision the change is based on [default: the current one]"`
	Wait           bool    `arg:"--wait" help:"wait until the change is in force at every daemon"`
}

type getCommand struct {
	connection
	Kind string `arg:"positional" help:"template, tenant, operator or drain [default: all]"`
	Name string `arg:"positional" help:"name of a document [default: all]"`
}

type historyCommand struct {
	connection
	Limit int `arg:"--limit" default:"20" help:"number of changes, newest first"`
}

type statusCommand struct{ connection }

type jobsCommand struct {
	connection
	Tenant string `arg:"--tenant" help:"show one tenant's jobs [default: all]"`
	Limit  int    `arg:"--limit" default:"20" help:"number of jobs, newest first"`
}

type drainCommand struct {
	connection
	Name   string `arg:"positional,required" help:"name of a daemon or worker"`
	Cancel bool   `arg:"--cancel" help:"let it take new work again"`
	Reason string `arg:"--reason" help:"why, for other operators"`
}

type newKeyCommand struct {
	Kind  string `arg:"positional,required" help:"tenant or operator"`
	Owner string `arg:"positional,required" help:"name of the tenant or operator"`
}

type checkSettingsCommand struct {
	Role string `arg:"positional,required" help:"gateway, dispatcher, control, engine, edge, coordinator or store"`
	File string `arg:"positional,required" help:"settings file (YAML)"`
}

type checkDocumentsCommand struct {
	File string `arg:"positional,required" help:"YAML file of documents"`
}

// arguments is the command line.
type arguments struct {
	Apply          *applyCommand          `arg:"subcommand:apply" help:"change the configuration"`
	Get            *getCommand            `arg:"subcommand:get" help:"show configuration documents"`
	History        *historyCommand        `arg:"subcommand:history" help:"show the latest changes"`
	Status         *statusCommand         `arg:"subcommand:status" help:"show daemons, workers and where the configuration is in force"`
	Jobs           *jobsCommand           `arg:"subcommand:jobs" help:"show batch jobs"`
	Drain          *drainCommand          `arg:"subcommand:drain" help:"let a daemon or worker take no new work"`
	NewKey         *newKeyCommand         `arg:"subcommand:new-key" help:"make a key and its digest"`
	CheckSettings  *checkSettingsCommand  `arg:"subcommand:check-settings" help:"check a settings file without starting anything"`
	CheckDocuments *checkDocumentsCommand `arg:"subcommand:check-documents" help:"check documents without sending them"`
}

// Description implements arg.Described.
func (arguments) Description() string { return "Operate a sedgemast fleet." }

// Version implements arg.Versioned.
func (arguments) Version() string { return "sedgemastctl " + daemon.Version }

func main() {
	var args arguments
	parser := command.Parse("sedgemastctl", &args)
	ctx, cancel := command.Context()
	defer cancel()
	switch {
	case args.Apply != nil:
		command.Exit(runApply(ctx, args.Apply))
	case args.Get != nil:
		command.Exit(runGet(ctx, args.Get))
	case args.History != nil:
		command.Exit(runHistory(ctx, args.History))
	case args.Status != nil:
		command.Exit(runStatus(ctx, args.Status))
	case args.Jobs != nil:
		command.Exit(runJobs(ctx, args.Jobs))
	case args.Drain != nil:
		command.Exit(runDrain(ctx, args.Drain))
	case args.NewKey != nil:
		command.Exit(runNewKey(args.NewKey))
	case args.CheckSettings != nil:
		command.Exit(runCheckSettings(args.CheckSettings))
	case args.CheckDocuments != nil:
		command.Exit(runCheckDocuments(args.CheckDocuments))
	}
	parser.Fail("name a subcommand")
}
