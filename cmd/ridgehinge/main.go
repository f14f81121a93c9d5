// Command ridgehinge is the command-line tool for operators.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
)

// serverFlags are the global flags.
type serverFlags struct {
	server string
	key    string
}

// keyVariable is the environment variable with the operator's key, which keeps the
// key out of the process list.
const keyVariable = "RIDGEHINGE_OPERATOR_KEY"

func main() {
	var flags serverFlags
	flag.StringVar(&flags.server, "server", "127.0.0.1:7071", "the operator address of any entry instance")
	flag.StringVar(&flags.key, "key", os.Getenv(keyVariable), "the operator's key; prefer the environment variable "+keyVariable)
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&templateCommand{flags: &flags}, "")
	subcommands.Register(&statusCommand{flags: &flags}, "")
	subcommands.Register(&requestCommand{}, "")
	subcommands.Register(&explainCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}

func (f *serverFlags) client() *operatorapi.Client {
	return operatorapi.NewClient(f.server, f.key)
}

func printError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

func usageError(usage string) subcommands.ExitStatus {
	fmt.Fprint(os.Stderr, "usage: ridgehinge "+usage)
	return subcommands.ExitUsageError
}
