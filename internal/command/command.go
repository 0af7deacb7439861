// Package command holds what the programs' command lines have in common.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	kratoslog "github.com/go-kratos/kratos/v2/log"

	"github.com/sedgemast/sedgemast/internal/daemon"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/logging"
	"github.com/sedgemast/sedgemast/internal/settings"
)

// Exit codes of all programs.
const (
	// ExitSuccess means that the program did what it was asked.
	ExitSuccess = 0
	// ExitFailure means that it tried and failed.
	ExitFailure = 1
	// ExitUsage means that flags, settings or documents were not valid.
	ExitUsage = 2
)

// Parse reads the command line into target; help and version end the program.
func Parse(name string, target any) *arg.Parser {
	// The framework says how it loads settings in lines of its own form; a
	// process logs from its start on.
	kratoslog.SetLogger(logging.Kratos(logging.Discard()))
	parser, err := arg.NewParser(arg.Config{Program: name}, target)
	if err != nil {
		// The argument structures are fixed; an error is a mistake in them.
		panic(err)
	}
	err = parser.Parse(os.Args[1:])
	switch {
	case err == nil:
		return parser
	case errors.Is(err, arg.ErrHelp):
		// Parse knows which subcommand the help is for.
		_ = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
		os.Exit(ExitSuccess)
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(name, daemon.Version)
		os.Exit(ExitSuccess)
	}
	_ = parser.WriteUsageForSubcommand(os.Stderr, parser.SubcommandNames()...)
	fmt.Fprintln(os.Stderr, "error:", err)
	os.Exit(ExitUsage)
	return nil
}

// Exit ends the program with the code for err.
func Exit(err error) {
	if err == nil {
		os.Exit(ExitSuccess)
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	if failure.Is(err, failure.BadRequest) {
		os.Exit(ExitUsage)
	}
	os.Exit(ExitFailure)
}

// Context returns a context that ends on SIGINT or SIGTERM.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// ProcessFlags are the flags that all daemons have. They go over the file.
type ProcessFlags struct {
	Settings  string `arg:"--settings" placeholder:"FILE" help:"settings file (YAML); without it the defaults hold"`
	Name      string `arg:"--name" help:"unique name of the process"`
	Zone      string `arg:"--zone" help:"zone of the machine"`
	Listen    string `arg:"--listen" placeholder:"IP:PORT" help:"address at which others reach the process"`
	Advertise string `arg:"--advertise" placeholder:"IP:PORT" help:"address that others are told [default: the one listened on]"`
	LogLevel  string `arg:"--log-level" help:"debug, info, warn or error"`
}

// Override applies the flags that were given.
func (f *ProcessFlags) Override(process *settings.Process) {
	OverrideString(&process.Name, f.Name)
	OverrideString(&process.Zone, f.Zone)
	OverrideString(&process.Listen, f.Listen)
	OverrideString(&process.Advertise, f.Advertise)
	OverrideString(&process.LogLevel, f.LogLevel)
}

// OverrideString replaces a setting by a flag that was given.
func OverrideString(target *string, flag string) {
	if flag != "" {
		*target = flag
	}
}

// NewDaemon returns the frame of a process with its settings.
func NewDaemon(role string, process *settings.Process) (*daemon.Daemon, error) {
	logger := logging.WithProcess(logging.New(os.Stderr, process.LogLevel), role, process.Name)
	return daemon.New(daemon.Options{
		Role:        role,
		Name:        process.Name,
		Listen:      process.Listen,
		Advertise:   process.Advertise,
		Logger:      logger,
		StopTimeout: process.StopTimeout.Std(),
	})
}
