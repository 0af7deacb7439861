// Package command holds the flags, exit codes and startup code that all programs share.
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
	// ExitSuccess means that the program did what was asked.
	ExitSuccess = 0
	// ExitFailure means that the input was valid but the operation failed.
	ExitFailure = 1
	// ExitUsage means that flags, settings or documents were not valid.
	ExitUsage = 2
)

// Parse parses the command line into target. It exits the program after printing help or the
// version, and with ExitUsage if the command line is not valid.
func Parse(name string, target any) *arg.Parser {
	// kratos logs the loading of the settings in its own format; discard these lines until the
	// process sets its own logger.
	kratoslog.SetLogger(logging.Kratos(logging.Discard()))
	parser, err := arg.NewParser(arg.Config{Program: name}, target)
	if err != nil {
		// The argument structs are fixed, so an error here is a bug in one of them.
		panic(err)
	}
	err = parser.Parse(os.Args[1:])
	switch {
	case err == nil:
		return parser
	case errors.Is(err, arg.ErrHelp):
		// After Parse, SubcommandNames returns the subcommand that help was asked for.
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

// Exit prints err, if there is one, and exits the program with the code for it.
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

// ProcessFlags are the flags that all daemons have. They override the settings file.
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

// OverrideString replaces a setting with the value of a flag that is not empty.
func OverrideString(target *string, flag string) {
	if flag != "" {
		*target = flag
	}
}

// NewDaemon returns a daemon in the given role with the options from its settings.
func NewDaemon(role string, process *settings.Process) (*daemon.Daemon, error) {
	logger := logging.WithProcess(logging.New(os.Stderr, process.LogLevel), role, process.Name)
	return daemon.New(daemon.Options{
		Role:        role,
		Name:        process.Name,
		Listen:      process.Listen,
		Advertise:   process.Advertise,
		Logger:      logger,
		StopTimeout: process.StopTimeout.Std(),
		Limits:      Limits(process),
	})
}

// Limits returns the limits of a process from its settings.
func Limits(process *settings.Process) daemon.Limits {
	const bytesPerMB = 1 << 20
	return daemon.Limits{
		MemoryBytes:       int64(process.MemoryMB) * bytesPerMB,
		RequestBytes:      int64(process.RequestMemoryMB) * bytesPerMB,
		Descriptors:       process.MaxDescriptors,
		ListenConnections: process.ListenConnections,
	}
}
