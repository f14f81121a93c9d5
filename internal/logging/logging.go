// Package logging sets up structured logs with a fixed prefix for each part.
package logging

import (
	"fmt"
	"io"
	"log/slog"

	nbiolog "github.com/lesismal/nbio/logging"
)

// current is the level in force.
var current slog.LevelVar

// SetLevel changes the level while the process runs.
func SetLevel(level slog.Level) { current.Set(level) }

// Setup makes slog write to w and routes nbio's own log into it.
func Setup(w io.Writer, level slog.Level) {
	current.Set(level)
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: &current})
	slog.SetDefault(slog.New(handler))
	nbiolog.SetLogger(nbioLogger{For("nbio")})
}

// For returns the logger of one part; each of its lines begins with the
// part's name.
func For(part string) Logger { return Logger{prefix: part + ": "} }

// Logger writes short sentences with a fixed prefix. It looks the default
// logger up on each line, so that a part may be made before Setup.
type Logger struct {
	prefix string
	args   []any
}

// With returns a logger that adds the arguments to each line.
func (l Logger) With(args ...any) Logger {
	l.args = append(append([]any(nil), l.args...), args...)
	return l
}

func (l Logger) all(args []any) []any {
	out := append(append([]any(nil), l.args...), args...)
	for i, arg := range out {
		if err, ok := arg.(error); ok {
			// A line is for one fact; stacks are for a debugger.
			out[i] = err.Error()
		}
	}
	return out
}

// Debug writes a line for developers.
func (l Logger) Debug(text string, args ...any) {
	if current.Level() <= slog.LevelDebug {
		slog.Debug(l.prefix+text, l.all(args)...)
	}
}

// Info writes a line about a change that operators may want to know.
func (l Logger) Info(text string, args ...any) { slog.Info(l.prefix+text, l.all(args)...) }

// Warn writes a line about something that was wrong and was dealt with.
func (l Logger) Warn(text string, args ...any) { slog.Warn(l.prefix+text, l.all(args)...) }

// Error writes a line about something that needs an operator.
func (l Logger) Error(text string, args ...any) { slog.Error(l.prefix+text, l.all(args)...) }

// nbioLogger turns nbio's log into slog lines. Its errors are those of single
// connections, which are no concern of an operator.
type nbioLogger struct{ out Logger }

func (n nbioLogger) Debug(format string, v ...any) { n.out.Debug(fmt.Sprintf(format, v...)) }
func (n nbioLogger) Info(format string, v ...any)  { n.out.Debug(fmt.Sprintf(format, v...)) }
func (n nbioLogger) Warn(format string, v ...any)  { n.out.Debug(fmt.Sprintf(format, v...)) }
func (n nbioLogger) Error(format string, v ...any) { n.out.Debug(fmt.Sprintf(format, v...)) }
