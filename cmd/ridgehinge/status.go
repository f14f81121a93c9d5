package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/control"
)

const statusUsage = "status [-json]\n"

// statusCommand prints the status of the server's data centre.
type statusCommand struct {
	flags  *serverFlags
	asJSON bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show entry instances, groups and instances" }
func (*statusCommand) Usage() string    { return statusUsage }

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.asJSON, "json", false, "print JSON for programs")
}

func (c *statusCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return usageError(statusUsage)
	}
	status, err := c.flags.client().Status()
	if err != nil {
		return printError(err)
	}
	if c.asJSON {
		return printJSON(status)
	}
	return printStatus(os.Stdout, status)
}

func printStatus(out io.Writer, s control.Status) subcommands.ExitStatus {
	fmt.Fprintf(out, "data centre %s, as %s sees it\n", s.DataCentre, s.Node)
	fmt.Fprintf(out, "configuration revision %d, groups revision %d\n", s.Configuration, s.Groups)
	fmt.Fprintf(out, "controller %s, epoch %d, table answered %.1f s ago\n\n", s.Controller, s.Epoch, s.PlatformAge)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY INSTANCE\tDATA CENTRE\tREACHABLE\tCONFIGURATION")
	for _, n := range s.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\n", n.ID, s.DataCentre, n.Alive, n.Configuration)
	}
	for _, r := range s.Remotes {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\n", r.ID, r.DataCentre, r.Reachable, r.Configuration)
	}
	fmt.Fprintln(w, "\nGROUP\tTEMPLATE\tWEIGHTS\tGENERATION\tMEMBERS\tSTATE")
	for _, g := range s.GroupList {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", g.ID, g.Template, g.Weights, g.Generation, len(g.Members), groupState(g))
	}
	fmt.Fprintln(w, "\nINSTANCE\tDOMAIN\tPHASE\tGROUP\tLEAVING")
	for _, in := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\n", in.ID, in.Domain, in.Phase, in.Group, in.Draining)
	}
	return flush(w)
}

func groupState(g control.GroupStatus) string {
	switch {
	case g.Draining:
		return "draining"
	case g.Serving:
		return "serving"
	default:
		return "not whole"
	}
}
