// Command ridgehinged runs an entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/dev"
	"github.com/ridgehinge/ridgehinge/internal/entry"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/node"
	"github.com/ridgehinge/ridgehinge/internal/settings"
	"github.com/ridgehinge/ridgehinge/platform"
	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&devCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}

func printError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

// loadSettings reads the file given by -settings.
func loadSettings(path string) (*settings.Settings, subcommands.ExitStatus) {
	if path == "" {
		fmt.Fprintln(os.Stderr, "missing settings file: use -settings FILE")
		return nil, subcommands.ExitUsageError
	}
	s, err := settings.Load(path)
	if err != nil {
		return nil, printError(err)
	}
	return s, subcommands.ExitSuccess
}

type serveCommand struct{ path string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry instance" }
func (*serveCommand) Usage() string    { return "serve -settings FILE\n" }

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "the INI file of this instance")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if onPlatform(c.path) {
		return c.servePlatform(ctx)
	}
	s, status := loadSettings(c.path)
	if s == nil {
		return status
	}
	logging.Setup(os.Stdout, s.LogLevel)
	n, err := node.Start(s)
	if err != nil {
		return printError(err)
	}
	<-ctx.Done()
	n.Stop()
	return subcommands.ExitSuccess
}

// onPlatform reports whether a settings file is for the platform's interface.
func onPlatform(path string) bool {
	text, err := os.ReadFile(path)
	return err == nil && entry.IsFor(text)
}

// servePlatform runs an entry instance for the platform's interface.
func (c *serveCommand) servePlatform(ctx context.Context) subcommands.ExitStatus {
	s, err := entry.Load(c.path)
	if err != nil {
		return printError(err)
	}
	out := logging.NewBounded(os.Stdout)
	defer out.Close()
	logging.Setup(out, s.LogLevel)
	// Without a handler SIGHUP would terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	injectFaults(s)
	e, err := entry.Start(s, platform.Adapter())
	if err != nil {
		return printError(err)
	}
	for {
		select {
		case <-hangups:
			e.Reload(c.path)
			continue
		case <-ctx.Done():
		}
		break
	}
	e.Stop()
	return subcommands.ExitSuccess
}

type checkCommand struct{ path string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file and report every mistake" }
func (*checkCommand) Usage() string    { return "check -settings FILE\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "the INI file to check")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if onPlatform(c.path) {
		s, err := entry.Load(c.path)
		if err != nil {
			return printError(err)
		}
		fmt.Printf("%s: the settings of %s in %s are right\n", c.path, s.Node, s.DataCentre)
		return subcommands.ExitSuccess
	}
	s, status := loadSettings(c.path)
	if s == nil {
		return status
	}
	fmt.Printf("%s: the settings of %s in %s are right\n", c.path, s.Node, s.DataCentre)
	return subcommands.ExitSuccess
}

type devCommand struct {
	smoke    bool
	verbose  bool
	platform bool
}

// devCluster is a development cluster in one process.
type devCluster interface {
	Describe(io.Writer)
	WaitReady() error
	Smoke(io.Writer) error
	Stop()
}

// start starts a cluster with the chosen interface.
func (c *devCommand) start() (devCluster, error) {
	if c.platform {
		return emulator.Start()
	}
	return dev.Start()
}

func (*devCommand) Name() string { return "dev" }
func (*devCommand) Synopsis() string {
	return "run a development cluster in one process, with stand-ins"
}
func (*devCommand) Usage() string { return "dev [-smoke] [-verbose] [-platform]\n" }

func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.smoke, "smoke", false, "send one request for each sample workspace and stop")
	f.BoolVar(&c.platform, "platform", false, "use the interface of the users' platform")
	f.BoolVar(&c.verbose, "verbose", false, "log everything")
}

func (c *devCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level := slog.LevelWarn
	if c.verbose {
		level = slog.LevelDebug
	}
	logging.Setup(os.Stderr, level)
	cluster, err := c.start()
	if err != nil {
		return printError(err)
	}
	defer cluster.Stop()
	cluster.Describe(os.Stdout)
	if err := cluster.WaitReady(); err != nil {
		return printError(err)
	}
	if c.smoke {
		if err := cluster.Smoke(os.Stdout); err != nil {
			return printError(err)
		}
		return subcommands.ExitSuccess
	}
	fmt.Println("\nThe samples are served. Stop with Ctrl-C.")
	<-ctx.Done()
	return subcommands.ExitSuccess
}
