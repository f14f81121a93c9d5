// Command standin runs a stand-in for the platform, a model engine or a plain
// service.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&endpointCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}

func serve(ctx context.Context, address string, h http.Handler) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	server := &http.Server{Handler: h}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	_ = server.Serve(listener)
	return subcommands.ExitSuccess
}

type platformCommand struct{ listen string }

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "simulate the platform's store and instance list" }
func (*platformCommand) Usage() string    { return "platform -listen ADDRESS\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "listen address")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, platformstandin.New().Handler())
}

type endpointCommand struct {
	listen  string
	options enginestandin.Options
	id      string
}

func (*endpointCommand) Name() string     { return "endpoint" }
func (*endpointCommand) Synopsis() string { return "simulate a model engine or a plain service" }
func (*endpointCommand) Usage() string    { return "endpoint -listen ADDRESS -id NAME\n" }

func (c *endpointCommand) SetFlags(f *flag.FlagSet) {
	c.options = enginestandin.DefaultOptions("", uint64(time.Now().UnixNano()))
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "listen address")
	f.StringVar(&c.id, "id", "", "instance id")
	f.IntVar(&c.options.Slots, "slots", c.options.Slots, "concurrent requests")
	f.IntVar(&c.options.Tokens, "tokens", c.options.Tokens, "default tokens per response")
	f.DurationVar(&c.options.TokenTime, "token-time", c.options.TokenTime, "time between tokens")
	f.DurationVar(&c.options.Prefill, "prefill", c.options.Prefill, "time to the first token")
	f.DurationVar(&c.options.LoadTime, "load-time", c.options.LoadTime, "time to load weights")
	f.BoolVar(&c.options.ChecksFences, "checks-fences", c.options.ChecksFences, "reject lower fencing tokens")
}

func (c *endpointCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Instance = fleet.InstanceID(c.id)
	return serve(ctx, c.listen, enginestandin.New(c.options).Handler())
}
