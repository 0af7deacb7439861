// Package logging writes one line of key=value pairs per event with go-kit/log, and adapts that
// logger to the interface that kratos expects.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	kratoslog "github.com/go-kratos/kratos/v2/log"
)

// Logger is the type of logger that all packages use.
type Logger = log.Logger

// New returns a logger that writes events from the minimum level on to output in logfmt. Levels are
// debug, info, warn and error; an unknown level means info. Writes are serialized.
func New(output io.Writer, minimum string) Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(output))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// NewAsync returns a logger like that of New, but a separate goroutine writes the lines, so that a
// slow output never blocks a caller. If too many lines are queued for the output, further lines are
// dropped, and an extra line reports their number. Flush writes the queued lines; call it before
// the process exits.
func NewAsync(output io.Writer, minimum string) (logger Logger, flush func()) {
	writer := newAsyncWriter(output)
	return New(writer, minimum), writer.Flush
}

// Discard returns a logger that discards all events.
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
	// The error is ignored: the only place to report it would be this log.
	_ = logger.Log(append([]any{"event", event}, pairs...)...)
}

// kratosAdapter implements kratos' Logger with a go-kit logger.
type kratosAdapter struct{ logger Logger }

// Kratos adapts logger to the interface that kratos expects.
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

// WithProcess returns a logger that adds the role and the name of a process to each line.
func WithProcess(logger Logger, role, name string) Logger {
	return log.With(logger, "role", role, "process", name)
}
