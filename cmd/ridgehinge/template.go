package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

const templateUsage = `template submit [-request-id ID] FILE
template revise -base REVISION [-request-id ID] FILE
template list
template show NAME
template history NAME
template diff NAME FROM TO
template check FILE
`

// templateCommand has the subcommands for templates.
type templateCommand struct{ flags *serverFlags }

func (*templateCommand) Name() string           { return "template" }
func (*templateCommand) Synopsis() string       { return "submit, revise and show templates" }
func (*templateCommand) Usage() string          { return templateUsage }
func (*templateCommand) SetFlags(*flag.FlagSet) {}

func (c *templateCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sub := flag.NewFlagSet("template", flag.ContinueOnError)
	commander := subcommands.NewCommander(sub, "ridgehinge template")
	commander.Register(&submitCommand{flags: c.flags}, "")
	commander.Register(&submitCommand{flags: c.flags, revise: true}, "")
	commander.Register(&listCommand{flags: c.flags}, "")
	commander.Register(&showCommand{flags: c.flags}, "")
	commander.Register(&historyCommand{flags: c.flags}, "")
	commander.Register(&diffCommand{flags: c.flags}, "")
	commander.Register(&checkCommand{}, "")
	if err := sub.Parse(f.Args()); err != nil || sub.NArg() == 0 {
		return usageError(templateUsage)
	}
	return commander.Execute(ctx)
}

// submitCommand submits a new template or, with revise set, a change to one.
type submitCommand struct {
	flags     *serverFlags
	revise    bool
	base      uint64
	requestID string
}

func (c *submitCommand) Name() string {
	if c.revise {
		return "revise"
	}
	return "submit"
}

func (c *submitCommand) Synopsis() string {
	if c.revise {
		return "change a template, based on one of its revisions"
	}
	return "submit a new template"
}

func (c *submitCommand) Usage() string { return templateUsage }

func (c *submitCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.requestID, "request-id", "", "idempotency key of the submission; use the same one to retry")
	if c.revise {
		f.Uint64Var(&c.base, "base", 0, "the revision that the change is based on")
	}
}

func (c *submitCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.revise && c.base == 0 {
		return usageError(templateUsage)
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return printError(err)
	}
	accepted, err := c.flags.client().Submit(f.Arg(0), text, configuration.Revision(c.base), c.requestID)
	if err != nil {
		return printError(err)
	}
	if accepted.Repeated {
		fmt.Printf("accepted before as revision %d\n", accepted.Revision)
		return subcommands.ExitSuccess
	}
	fmt.Printf("accepted as revision %d\n", accepted.Revision)
	return subcommands.ExitSuccess
}

type listCommand struct{ flags *serverFlags }

func (*listCommand) Name() string           { return "list" }
func (*listCommand) Synopsis() string       { return "list all templates" }
func (*listCommand) Usage() string          { return templateUsage }
func (*listCommand) SetFlags(*flag.FlagSet) {}

func (c *listCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return usageError(templateUsage)
	}
	body, err := c.flags.client().List()
	if err != nil {
		return printError(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "TEMPLATE\tREVISION\tWEIGHTS\tSERVICE\tWORKSPACES")
	for _, e := range body.Entries {
		if e.Template != nil {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\n", e.Name, e.Revision, e.Template.WeightsName(), e.Template.Service, len(e.Template.Workspaces))
		}
	}
	return flush(w)
}

func flush(w *tabwriter.Writer) subcommands.ExitStatus {
	if err := w.Flush(); err != nil {
		return printError(err)
	}
	return subcommands.ExitSuccess
}

type showCommand struct{ flags *serverFlags }

func (*showCommand) Name() string           { return "show" }
func (*showCommand) Synopsis() string       { return "print the current revision of a template" }
func (*showCommand) Usage() string          { return templateUsage }
func (*showCommand) SetFlags(*flag.FlagSet) {}

func (c *showCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(templateUsage)
	}
	entry, err := c.flags.client().Show(f.Arg(0))
	if err != nil {
		return printError(err)
	}
	return printJSON(entry)
}

func printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return printError(err)
	}
	return subcommands.ExitSuccess
}

type historyCommand struct{ flags *serverFlags }

func (*historyCommand) Name() string           { return "history" }
func (*historyCommand) Synopsis() string       { return "list the accepted changes of a template" }
func (*historyCommand) Usage() string          { return templateUsage }
func (*historyCommand) SetFlags(*flag.FlagSet) {}

func (c *historyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(templateUsage)
	}
	body, err := c.flags.client().History(f.Arg(0))
	if err != nil {
		return printError(err)
	}
	var before *configuration.Template
	for _, change := range body.Changes {
		fmt.Printf("revision %d at %s, based on %d\n", change.Entry.Revision, change.At.Format(time.RFC3339), change.Base)
		printDifferences(configuration.Diff(before, change.Entry.Template))
		before = change.Entry.Template
	}
	return subcommands.ExitSuccess
}

func printDifferences(list []configuration.Difference) {
	for _, d := range list {
		fmt.Printf("  %s\n    - %s\n    + %s\n", d.Field, d.Left, d.Right)
	}
}

type diffCommand struct{ flags *serverFlags }

func (*diffCommand) Name() string           { return "diff" }
func (*diffCommand) Synopsis() string       { return "compare two revisions of a template" }
func (*diffCommand) Usage() string          { return templateUsage }
func (*diffCommand) SetFlags(*flag.FlagSet) {}

func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var from, to configuration.Revision
	if f.NArg() != 3 {
		return usageError(templateUsage)
	}
	if _, err := fmt.Sscan(f.Arg(1)+" "+f.Arg(2), &from, &to); err != nil {
		return usageError(templateUsage)
	}
	body, err := c.flags.client().Diff(f.Arg(0), from, to)
	if err != nil {
		return printError(err)
	}
	printDifferences(body.Differences)
	return subcommands.ExitSuccess
}

// checkCommand validates a template file without a server.
type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "check a template file and report every mistake" }
func (*checkCommand) Usage() string          { return templateUsage }
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(templateUsage)
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return printError(err)
	}
	t, err := configuration.Parse(f.Arg(0), text)
	if err != nil {
		return printError(err)
	}
	fmt.Printf("%s: template %s is right\n", f.Arg(0), t.Name)
	return subcommands.ExitSuccess
}
