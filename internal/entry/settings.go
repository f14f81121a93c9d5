package entry

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/gossip"
	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Settings of one entry instance whose endpoints keep their state in the
// platform's store.
type Settings struct {
	Node        string
	DataCentre  serving.DataCentre
	DataCentres int
	// DataCentreNames are all of them.
	DataCentreNames []serving.DataCentre
	// Cores is the part of a processor that the process may use.
	Cores float64
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// Callers, Ready, Peers and Metrics are the addresses to listen on.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// PeerKey is shared by all entry instances.
	PeerKey string
	// Seeds are addresses of peers that may be stale.
	Seeds []string
	Store string
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	MaxBody     int
	MaxRequests int
	// RetryRatio, RetrySlack and RetryWindow bound repeats over all nodes.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Nodes is how many nodes share the slack until more are heard of.
	Nodes      int
	StallAfter time.Duration
	// Silence is how long a connection may say nothing before it counts as broken.
	Silence  time.Duration
	LeaseTTL time.Duration
	// StopNotice is how long a stopping node goes on taking requests,
	// StopBound bounds the whole stop.
	StopNotice time.Duration
	StopBound  time.Duration
	LogLevel   slog.Level
	// SuspensionFile makes tests of suspended machines: see clock.Emulated. Empty for
	// the machine's own clock.
	SuspensionFile string
	Policy         Policy
}

// Bounds and defaults.
const (
	minKey             = 16
	defaultMaxBody     = 4<<20 + 64<<10
	maxMaxBody         = 64 << 20
	defaultMaxRequests = 1024
	defaultMemoryMB    = 256
	defaultCores       = 1
	minCores           = 0.01
	maxCores           = 1024
)

// interfaceSection and interfaceKind mark settings that this package reads.
const (
	interfaceSection = "interface"
	interfaceKind    = "platform"
)

// IsFor reports whether settings ask for the platform's interface.
func IsFor(text []byte) bool {
	f := inicheck.Parse("", text)
	return f.Section(interfaceSection).String("kind", "") == interfaceKind
}

// Load reads a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	return Parse(path, text)
}

// Parse reads settings. The error holds every mistake of the text.
func Parse(file string, text []byte) (*Settings, error) {
	f := inicheck.Parse(file, text)
	s := &Settings{}
	node := f.Section("node")
	s.Node = node.Name("name")
	s.DataCentre = serving.DataCentre(node.Name("data_centre"))
	for _, name := range node.List("data_centres") {
		s.DataCentreNames = append(s.DataCentreNames, serving.DataCentre(name))
	}
	s.DataCentres = max(1, len(s.DataCentreNames))
	s.FirstStart = node.Bool("first_start", false)
	listen := f.Section("listen")
	s.Callers = listen.Address("callers")
	s.Ready = listen.Address("ready")
	s.Peers = listen.Address("peers")
	s.Metrics = listen.Address("metrics")
	s.readPeers(f.Section("peers"))
	s.Store = f.Section("store").Address("address")
	s.readLimits(f.Section("limits"))
	s.readRetries(f.Section("retries"))
	timing := f.Section("timing")
	const least, most = 50 * time.Millisecond, time.Minute
	s.StallAfter = timing.Duration("stall_after", 500*time.Millisecond, least, most)
	s.Silence = timing.Duration("silence", link.DefaultSilence, time.Second, most)
	s.LeaseTTL = timing.Duration("lease_ttl", 2*time.Second, 300*time.Millisecond, most)
	s.StopNotice = timing.Duration("stop_notice", 3*time.Second, 0, most)
	s.StopBound = timing.Duration("stop_bound", 7*time.Second, 0, time.Hour)
	s.LogLevel = readLevel(f.Section("log"))
	s.SuspensionFile = f.Section("tests").String("suspension_file", "")
	s.Policy = readPolicy(f.Section("policy"))
	f.Section(interfaceSection).OneOf("kind", "", interfaceKind)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readPeers(p *inicheck.Section) {
	const allowed = "a secret of 16 characters or more"
	s.PeerKey = p.Required("key", allowed)
	if s.PeerKey != "" && len(s.PeerKey) < minKey {
		p.Reject("key", "(hidden)", allowed)
	}
	s.Seeds = p.List("seeds")
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			p.Reject("seeds", seed, "IP addresses with ports, with commas between")
		}
	}
}

func (s *Settings) readLimits(l *inicheck.Section) {
	s.MemoryBytes = int64(l.Int("memory_mb", defaultMemoryMB, 32, 1<<20)) << 20
	s.Cores = l.Float("cores", defaultCores, minCores, maxCores)
	s.MaxBody = l.Int("max_body_bytes", defaultMaxBody, 1<<10, maxMaxBody)
	s.MaxRequests = l.Int("max_requests", defaultMaxRequests, 1, 1<<16)
}

func (s *Settings) readRetries(r *inicheck.Section) {
	s.RetryRatio = r.Float("ratio", 0.1, 0, 10)
	s.RetrySlack = r.Float("slack", 10, 0, 1e6)
	s.RetryWindow = r.Duration("window", 10*time.Second, time.Second, time.Hour)
	s.Nodes = r.Int("nodes", 9, 1, 10_000)
}

func readLevel(l *inicheck.Section) slog.Level {
	switch l.OneOf("level", "info", "debug", "info", "warn", "error") {
	case "debug":
		return slog.LevelDebug
	case "warn":
		return slog.LevelWarn
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// firstLookUnit divided by its cores is how long a node waits before it first looks at
// the lease, so that of nodes that start together the one that takes it is one of the
// fastest: 0.12 s with 0.8 of a core, 0.5 s with 0.2.
const firstLookUnit = 100 * time.Millisecond

// firstLookMost bounds that wait.
const firstLookMost = 600 * time.Millisecond

// firstLook is how long this node waits before it first looks at the lease.
func (s *Settings) firstLook() time.Duration {
	return min(firstLookMost, time.Duration(float64(firstLookUnit)/s.Cores))
}

// source returns the address that connections leave from: that of the peers'
// listener, so that a firewall can tell the nodes apart.
func (s *Settings) source() net.Addr {
	address, err := netip.ParseAddrPort(s.Peers)
	if err != nil || address.Addr().IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
}

// gossipConfig is what the exchange between nodes takes of the settings, for one incarnation
// of the node.
func (s *Settings) gossipConfig(incarnation string) gossip.Config {
	return gossip.Config{
		Incarnation:     incarnation,
		Address:         s.Peers,
		Key:             s.PeerKey,
		Seeds:           s.Seeds,
		DataCentre:      s.DataCentre,
		DataCentreNames: s.DataCentreNames,
		Cores:           s.Cores,
		Nodes:           s.Nodes,
		FirstStart:      s.FirstStart,
		RetryWindow:     s.RetryWindow,
		FullRateNodes:   s.Policy.ShareNodes,
	}
}
