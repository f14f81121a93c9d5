package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/explain"
)

type explainCommand struct{}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "show the log lines about a request, endpoint or group"
}
func (*explainCommand) Usage() string {
	return "explain ID [FILE...]\nReads the logs of any number of nodes, or standard input.\n"
}

func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "missing argument: the id of a request, endpoint or group")
		return subcommands.ExitUsageError
	}
	lines, err := readLogs(f.Args()[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	selected := explain.Select(lines, f.Arg(0))
	explain.Print(os.Stdout, selected, f.Arg(0))
	if len(selected) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read("", os.Stdin)
	}
	var out []explain.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readLog(name string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func(c io.Closer) { _ = c.Close() }(file)
	return explain.Read(name, file)
}
