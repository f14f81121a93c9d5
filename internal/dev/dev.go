// Package dev runs a development cluster in one process on loopback: three entry
// instances in two data centres, a platform stand-in, engine stand-ins and plain
// services, connected by real sockets.
package dev

import (
	"embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/node"
	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
	"github.com/ridgehinge/ridgehinge/internal/settings"
	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

//go:embed samples/*.ini
var samples embed.FS

// Keys of the development cluster.
const (
	OperatorKey = "dev-operator-key-0000"
	peerKey     = "dev-peer-key-00000000"
)

const (
	enginesPerCentre = 6
	enginePrefix     = "engine"
	readyTimeout     = 30 * time.Second
	readyPoll        = 50 * time.Millisecond
)

// Cluster is a running development cluster with a stand-in of the platform.
type Cluster struct {
	Nodes    []*node.Node
	Settings []*settings.Settings
	servers  []*http.Server
	platform *platformstandin.Server
}

type nodeSpec struct{ name, dataCentre string }

var nodeSpecs = []nodeSpec{{"entry-1", "north"}, {"entry-2", "north"}, {"entry-3", "south"}}

// Start starts a cluster and submits the sample templates.
func Start() (*Cluster, error) {
	c := &Cluster{platform: platformstandin.New()}
	platformAddress, err := c.serve(c.platform.Handler())
	if err != nil {
		return nil, err
	}
	if err := c.startEndpoints(); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.startNodes(platformAddress); err != nil {
		c.Stop()
		return nil, err
	}
	if err := c.submitSamples(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("dev").Wrap(err)
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (c *Cluster) startEndpoints() error {
	for _, centre := range []string{"north", "south"} {
		for i := range enginesPerCentre {
			id := fleet.InstanceID(fmt.Sprintf("%s-%s-%d", enginePrefix, centre, i+1))
			in := fleet.Instance{ID: id, Domain: centre + "-rack-1", Kind: fleet.KindEngine, Accelerators: 4}
			if err := c.startEndpoint(in, centre); err != nil {
				return err
			}
		}
		in := fleet.Instance{
			ID:      fleet.InstanceID("notices-" + centre),
			Kind:    fleet.KindService,
			Service: "notices",
		}
		if err := c.startEndpoint(in, centre); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEndpoint(in fleet.Instance, centre string) error {
	server := enginestandin.New(enginestandin.DefaultOptions(in.ID, uint64(time.Now().UnixNano())))
	address, err := c.serve(server.Handler())
	if err != nil {
		return err
	}
	in.DataCentre = fleet.DataCentre(centre)
	in.Address = address
	in.ChecksFences = in.Kind == fleet.KindEngine
	c.platform.PutInstance(in)
	return nil
}

func (c *Cluster) startNodes(platformAddress string) error {
	for _, p := range nodeSpecs {
		s := settings.Defaults()
		s.Node = p.name
		s.DataCentre = fleet.DataCentre(p.dataCentre)
		s.PeerKey = peerKey
		s.OperatorKey = OperatorKey
		s.Platform = platformAddress
		s.StopNotice = 0
		s.StopBound = 10 * time.Second
		for _, address := range []*string{&s.Callers, &s.Operator, &s.Peers} {
			var err error
			if *address, err = FreeAddress("127.0.0.1"); err != nil {
				return err
			}
		}
		n, err := node.Start(s)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
		c.Settings = append(c.Settings, s)
		c.platform.PutInstance(fleet.Instance{
			ID:         fleet.InstanceID(p.name),
			DataCentre: s.DataCentre,
			Kind:       fleet.KindEntry,
			Address:    s.Peers,
		})
	}
	return nil
}

// FreeAddress returns ports below the kernel's ephemeral range: an ephemeral port
// may be in use by an outgoing connection before its listener starts.
const (
	firstPort      = 12_000
	lastPort       = 32_000
	listenAttempts = 1_000
)

// portBlockSize is the number of ports that a process reserves at a time. It listens on the
// first port of a block until it exits, which reserves the others: else a concurrent process
// could take the port of a stand-in that is stopped for a while.
const portBlockSize = 128

// ports are the remaining ports of the last reserved block.
var ports struct {
	mu           sync.Mutex
	next, end    int
	reservations []net.Listener
}

// nextPort returns a port that is returned to no other call in any process, as long as free
// blocks remain.
func nextPort() (int, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.next == ports.end {
		if err := claimBlock(); err != nil {
			return 0, err
		}
	}
	ports.next++
	return ports.next - 1, nil
}

// claimBlock reserves the next free block. The caller holds ports.mu.
func claimBlock() error {
	blocks := (lastPort - firstPort) / portBlockSize
	for i := range blocks {
		first := firstPort + (os.Getpid()+len(ports.reservations)+i)%blocks*portBlockSize
		reservation, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.reservations = append(ports.reservations, reservation)
			ports.next, ports.end = first+1, first+portBlockSize
			return nil
		}
	}
	return oops.In("dev").Errorf("no free block of ports from %d to %d", firstPort, lastPort)
}

// FreeAddress returns an unused address of a loopback IP. No two calls of a process
// return the same port.
func FreeAddress(ip string) (string, error) {
	listener, err := Listen(ip)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Listen listens on such an address. The address can be reused after the listener is
// closed, since no other call gets its port.
func Listen(ip string) (net.Listener, error) {
	for range listenAttempts {
		port, err := nextPort()
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, oops.In("dev").Errorf("no free port on %s from %d to %d", ip, firstPort, lastPort)
}

func (c *Cluster) submitSamples() error {
	client := operatorapi.NewClient(c.Settings[0].Operator, OperatorKey)
	entries, err := samples.ReadDir("samples")
	if err != nil {
		return oops.In("dev").Wrap(err)
	}
	for _, entry := range entries {
		text, err := samples.ReadFile("samples/" + entry.Name())
		if err != nil {
			return oops.In("dev").Wrap(err)
		}
		if _, err := client.Submit(entry.Name(), text, 0, ""); err != nil {
			return oops.In("dev").Wrapf(err, "submit %s", entry.Name())
		}
	}
	return nil
}

// WaitReady waits until every entry instance serves all sample templates.
func (c *Cluster) WaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return oops.In("dev").Errorf("the sample templates are not served after %s", readyTimeout)
}

func (c *Cluster) ready() bool {
	for _, n := range c.Nodes {
		s := n.Loop().Snapshot()
		pools := map[string]bool{}
		for _, t := range s.Targets {
			pools[t.Pool] = true
		}
		if !s.Ready || len(pools) < 2 {
			return false
		}
	}
	return true
}

// Describe prints the addresses and example commands.
func (c *Cluster) Describe(out io.Writer) {
	for _, s := range c.Settings {
		fmt.Fprintf(out, "%s in %s: callers http://%s, operators http://%s\n", s.Node, s.DataCentre, s.Callers, s.Operator)
	}
	fmt.Fprintf(out, "operator key: %s\n\nTry:\n", OperatorKey)
	fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer helpdesk-dev-key' "+
		"-d '{\"model\":\"savings-8b\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Where is my transfer?\"}]}'\n", c.Settings[0].Callers)
	fmt.Fprintf(out, "  go run ./cmd/ridgehinge -server %s -key %s status\n", c.Settings[0].Operator, OperatorKey)
}

// Stop stops the cluster.
func (c *Cluster) Stop() {
	for _, n := range c.Nodes {
		n.Stop()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// Smoke sends one request for each sample workspace and prints the responses.
func (c *Cluster) Smoke(out io.Writer) error {
	steps := []struct {
		name, path, key, body string
		header                map[string]string
		want                  string
	}{
		{
			name: "helpdesk, streamed", path: "/v1/chat/completions", key: "helpdesk-dev-key",
			body: `{"model":"savings-8b","stream":true,"messages":[{"role":"user","content":"Where is my transfer?"}]}`,
			want: "data: [DONE]",
		},
		{
			name: "field-agents, not streamed", path: "/v1/chat/completions", key: "field-agents-dev-key",
			body: `{"messages":[{"role":"user","content":"Read this bill."}]}`,
			want: `"finish_reason":"stop"`,
		},
		{
			name: "payouts, not repeatable", path: "/services/notices/send", key: "payouts-dev-key",
			body:   `{"to":"vendor-17"}`,
			header: map[string]string{"Ridgehinge-Repeatable": "false", "Idempotency-Key": "payout-0001"},
			want:   `"path":"/send"`,
		},
	}
	for _, step := range steps {
		text, err := c.post(step.path, step.key, step.body, step.header)
		if err != nil {
			return oops.In("dev").Wrapf(err, "%s", step.name)
		}
		fmt.Fprintf(out, "--- %s\n%s\n", step.name, text)
		if !strings.Contains(text, step.want) {
			return oops.In("dev").Errorf("%s: the response does not contain %q", step.name, step.want)
		}
	}
	return nil
}

func (c *Cluster) post(path, key, body string, header map[string]string) (string, error) {
	target := url.URL{Scheme: "http", Host: c.Settings[0].Callers, Path: path}
	request, err := http.NewRequest(http.MethodPost, target.String(), strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return string(text), nil
}
