// Package logging writes one line of key=value pairs per event, by go-kit/log,
// and adapts that logger to the interface kratos expects.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// Logger is the logger every package takes.
type Logger = log.Logger

// New returns a logfmt logger. Levels are debug, info, warn
// and error; an unknown level means info. Writes are serialized.
func New(output io.Writer, minimum string) Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(output))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// NewAsync returns a logger like New's whose lines are written by a goroutine of
// their own, so that no caller ever waits for the output. Lines that the output
// can't take in time are left out, and counted in a line of their own. The
// function returned writes what waits, for the end of the process.
func NewAsync(output io.Writer, minimum string) (logger Logger, flush func()) {
	writer := newAsyncWriter(output)
	return New(writer, minimum), writer.Flush
}

// Discard returns a logger that writes nothing.
func Discard() Logger { return log.NewNopLogger() }

// Debug logs one event at debug level.
func Debug(logger Logger, event string, pairs ...any) { write(level.Debug(logger), event, pairs) }

// Info logs one event at info level.
func Info(logger Logger, event string, pairs ...any) { write(level.Info(logger), event, pairs) }

// Warn logs one event at warn level.
func Warn(logger Logger, event string, pairs ...any) { write(level.Warn(logger), event, pairs) }

// Error logs one event at error level.
func Error(logger Logger, event string, pairs ...any) { write(level.Error(logger), event, pairs) }

func write(logger Logger, event string, pairs []any) {
	// A log line that cannot be written has no better place to be reported.
	_ = logger.Log(append([]any{"event", event}, pairs...)...)
}

// kratosAdapter lets kratos log through go-kit.
type kratosAdapter struct{ logger Logger }

// Kratos returns logger as the interface that kratos expects.
func Kratos(logger Logger) kratoslog.Logger { return kratosAdapter{logger: logger} }

// Log implements kratos' Logger.
func (a kratosAdapter) Log(severity kratoslog.Level, pairs ...any) error {
	leveled := level.Info(a.logger)
	switch severity {
	case kratoslog.LevelDebug:
		leveled = level.Debug(a.logger)
	case kratoslog.LevelWarn:
		leveled = level.Warn(a.logger)
	case kratoslog.LevelError, kratoslog.LevelFatal:
		leveled = level.Error(a.logger)
	}
	return leveled.Log(append([]any{"event", "framework"}, pairs...)...)
}

// WithProcess returns the logger of one process, marked with its role and name.
func WithProcess(logger Logger, role, name string) Logger {
	return log.With(logger, "role", role, "process", name)
}
