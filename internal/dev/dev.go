// Package dev runs a small whole in one process on loopback: three entry
// instances in two data centres, a platform stand-in, engine stand-ins and
// plain services. Its parts talk over real sockets.
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

// Keys of the small whole; they protect nothing.
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

// place is one entry instance of the whole.
type place struct{ name, dataCentre string }

var places = []place{{"entry-1", "north"}, {"entry-2", "north"}, {"entry-3", "south"}}

// Start starts the whole and submits the sample templates.
func Start() (*Cluster, error) {
	w := &Cluster{platform: platformstandin.New()}
	platformAddress, err := w.serve(w.platform.Handler())
	if err != nil {
		return nil, err
	}
	if err := w.startEndpoints(); err != nil {
		w.Stop()
		return nil, err
	}
	if err := w.startNodes(platformAddress); err != nil {
		w.Stop()
		return nil, err
	}
	if err := w.submitSamples(); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}

func (w *Cluster) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("dev").Wrap(err)
	}
	server := &http.Server{Handler: h}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (w *Cluster) startEndpoints() error {
	for _, centre := range []string{"north", "south"} {
		for i := range enginesPerCentre {
			id := fleet.InstanceID(fmt.Sprintf("%s-%s-%d", enginePrefix, centre, i+1))
			in := fleet.Instance{ID: id, Domain: centre + "-rack-1", Kind: fleet.KindEngine, Accelerators: 4}
			if err := w.startEndpoint(in, centre); err != nil {
				return err
			}
		}
		in := fleet.Instance{
			ID:      fleet.InstanceID("notices-" + centre),
			Kind:    fleet.KindService,
			Service: "notices",
		}
		if err := w.startEndpoint(in, centre); err != nil {
			return err
		}
	}
	return nil
}

func (w *Cluster) startEndpoint(in fleet.Instance, centre string) error {
	server := enginestandin.New(enginestandin.DefaultOptions(in.ID, uint64(time.Now().UnixNano())))
	address, err := w.serve(server.Handler())
	if err != nil {
		return err
	}
	in.DataCentre = fleet.DataCentre(centre)
	in.Address = address
	in.ChecksFences = in.Kind == fleet.KindEngine
	w.platform.PutInstance(in)
	return nil
}

func (w *Cluster) startNodes(platformAddress string) error {
	for _, p := range places {
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
		w.Nodes = append(w.Nodes, n)
		w.Settings = append(w.Settings, s)
		w.platform.PutInstance(fleet.Instance{
			ID:         fleet.InstanceID(p.name),
			DataCentre: s.DataCentre,
			Kind:       fleet.KindEntry,
			Address:    s.Peers,
		})
	}
	return nil
}

// The ports that FreeAddress gives out lie below those that the kernel takes
// for outgoing connections: a port from among the latter may be gone again
// before its listener starts.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portTries = 1_000
)

// portBlock is how many ports a process takes at a time. It listens on the first one of a
// block for as long as it lives, which keeps the others of the block from the processes that
// run beside it: one took the port of a stand-in that was down for a second and a half.
const portBlock = 128

// ports are those that this process gives out next, up to the end of its newest block.
var ports struct {
	mu        sync.Mutex
	next, end int
	marks     []net.Listener
}

// nextPort returns a port that no other call of any process is given, while there are blocks
// that nobody has.
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

// claimBlock takes the next block that nobody has; the caller holds the lock.
func claimBlock() error {
	blocks := (lastPort - firstPort) / portBlock
	for i := range blocks {
		first := firstPort + (os.Getpid()+len(ports.marks)+i)%blocks*portBlock
		mark, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			ports.marks = append(ports.marks, mark)
			ports.next, ports.end = first+1, first+portBlock
			return nil
		}
	}
	return oops.In("dev").Errorf("no free block of ports from %d to %d", firstPort, lastPort)
}

// FreeAddress returns an address of a loopback IP that nobody listens on. No
// two calls of a process return the same port.
func FreeAddress(ip string) (string, error) {
	listener, err := Listen(ip)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Listen listens on such an address. It can be listened on again later, since nobody else
// is given its port.
func Listen(ip string) (net.Listener, error) {
	for range portTries {
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

func (w *Cluster) submitSamples() error {
	client := operatorapi.NewClient(w.Settings[0].Operator, OperatorKey)
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

// WaitReady waits until every entry instance serves every sample.
func (w *Cluster) WaitReady() error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		if w.ready() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return oops.In("dev").Errorf("the sample templates are not served after %s", readyTimeout)
}

func (w *Cluster) ready() bool {
	for _, n := range w.Nodes {
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

// Describe prints the addresses and a request to paste.
func (w *Cluster) Describe(out io.Writer) {
	for _, s := range w.Settings {
		fmt.Fprintf(out, "%s in %s: callers http://%s, operators http://%s\n", s.Node, s.DataCentre, s.Callers, s.Operator)
	}
	fmt.Fprintf(out, "operator key: %s\n\nTry:\n", OperatorKey)
	fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer helpdesk-dev-key' "+
		"-d '{\"model\":\"savings-8b\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Where is my transfer?\"}]}'\n", w.Settings[0].Callers)
	fmt.Fprintf(out, "  go run ./cmd/ridgehinge -server %s -key %s status\n", w.Settings[0].Operator, OperatorKey)
}

// Stop stops the whole.
func (w *Cluster) Stop() {
	for _, n := range w.Nodes {
		n.Stop()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// Smoke sends one request for each sample workspace and prints the answers.
func (w *Cluster) Smoke(out io.Writer) error {
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
			name: "field-agents, whole", path: "/v1/chat/completions", key: "field-agents-dev-key",
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
		text, err := w.post(step.path, step.key, step.body, step.header)
		if err != nil {
			return oops.In("dev").Wrapf(err, "%s", step.name)
		}
		fmt.Fprintf(out, "--- %s\n%s\n", step.name, text)
		if !strings.Contains(text, step.want) {
			return oops.In("dev").Errorf("%s: the answer lacks %q", step.name, step.want)
		}
	}
	return nil
}

func (w *Cluster) post(path, key, body string, header map[string]string) (string, error) {
	target := url.URL{Scheme: "http", Host: w.Settings[0].Callers, Path: path}
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
