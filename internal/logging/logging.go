// Package logging sets up structured logs with a prefix for each component.
package logging

import (
	"fmt"
	"io"
	"log/slog"

	nbiolog "github.com/lesismal/nbio/logging"
)

var current slog.LevelVar

// SetLevel changes the log level at run time.
func SetLevel(level slog.Level) { current.Set(level) }

// Setup makes slog and nbio's logger write to w.
func Setup(w io.Writer, level slog.Level) {
	current.Set(level)
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: &current})
	slog.SetDefault(slog.New(handler))
	nbiolog.SetLogger(nbioLogger{For("nbio")})
}

// For returns the logger of a component; its messages begin with the component's
// name.
func For(component string) Logger { return Logger{prefix: component + ": "} }

// Logger writes messages with a prefix. It looks up the default logger for each
// line, so that it may be created before Setup.
type Logger struct {
	prefix string
	args   []any
}

// With returns a logger that adds the arguments to each line.
func (l Logger) With(args ...any) Logger {
	l.args = append(append([]any(nil), l.args...), args...)
	return l
}

func (l Logger) allArgs(args []any) []any {
	out := append(append([]any(nil), l.args...), args...)
	for i, arg := range out {
		if err, ok := arg.(error); ok {
			// Omits the stack trace that oops errors carry.
			out[i] = err.Error()
		}
	}
	return out
}

// Debug logs a message for developers.
func (l Logger) Debug(text string, args ...any) {
	if current.Level() <= slog.LevelDebug {
		slog.Debug(l.prefix+text, l.allArgs(args)...)
	}
}

// Info logs a change that may interest operators.
func (l Logger) Info(text string, args ...any) { slog.Info(l.prefix+text, l.allArgs(args)...) }

// Warn logs a fault that was handled.
func (l Logger) Warn(text string, args ...any) { slog.Warn(l.prefix+text, l.allArgs(args)...) }

// Error logs a fault that requires an operator.
func (l Logger) Error(text string, args ...any) { slog.Error(l.prefix+text, l.allArgs(args)...) }

// nbioLogger passes nbio's messages to slog at level debug: its errors are about
// single connections.
type nbioLogger struct{ out Logger }

func (n nbioLogger) Debug(format string, v ...any) { n.out.Debug(fmt.Sprintf(format, v...)) }
func (n nbioLogger) Info(format string, v ...any)  { n.out.Debug(fmt.Sprintf(format, v...)) }
func (n nbioLogger) Warn(format string, v ...any)  { n.out.Debug(fmt.Sprintf(format, v...)) }
func (n nbioLogger) Error(format string, v ...any) { n.out.Debug(fmt.Sprintf(format, v...)) }
