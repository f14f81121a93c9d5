package entry

import (
	"context"
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

// Settings configure an entry instance.
type Settings struct {
	Node        string
	DataCentre  serving.DataCentre
	DataCentres int
	// DataCentreNames has the names of all data centres.
	DataCentreNames []serving.DataCentre
	// Regions has the region of each data centre, as far as known.
	Regions map[serving.DataCentre]serving.Region
	// Cores is the number of processor cores that the process may use.
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
	// RetryRatio, RetrySlack and RetryWindow define the retry budget of all nodes.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Nodes is the minimum number of nodes that share the retry budget's slack.
	Nodes      int
	StallAfter time.Duration
	// SilenceTolerance is how long an endpoint may be silent before its group is dissolved.
	SilenceTolerance time.Duration
	// Silence is how long a connection may receive nothing before it counts as broken.
	Silence  time.Duration
	LeaseTTL time.Duration
	// StopNotice is how long a stopping node keeps accepting requests, StopBound the time within
	// which the process ends.
	StopNotice time.Duration
	StopBound  time.Duration
	LogLevel   slog.Level
	// SuspensionFile emulates a suspended machine in tests, see clock.Emulated. If empty, the
	// machine's own clock is used.
	SuspensionFile string
	// DialEndpoints, if set, dials endpoints in place of the usual dialer with the given bounds. No
	// settings file has it.
	DialEndpoints func(bounds link.Bounds) DialFunc
	Policy        Policy
}

// DialFunc dials connections.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Bounds and defaults.
const (
	minKeyLength       = 16
	defaultMaxBody     = 4<<20 + 64<<10
	maxMaxBody         = 64 << 20
	defaultMaxRequests = 1024
	defaultMemoryMB    = 256
	defaultCores       = 1
	minCores           = 0.01
	maxCores           = 1024
)

// defaultSilenceTolerance exceeds the second for which sound endpoints pause at times.
const defaultSilenceTolerance = 1200 * time.Millisecond

// interfaceSection and interfaceKind identify settings for this package.
const (
	interfaceSection = "interface"
	interfaceKind    = "platform"
)

// IsFor reports whether settings select the platform's interface.
func IsFor(text []byte) bool {
	f := inicheck.Parse("", text)
	return f.Section(interfaceSection).String("kind", "") == interfaceKind
}

// Load reads settings from a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	return Parse(path, text)
}

// Parse parses settings. The error lists every mistake.
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
	s.Regions = readRegions(node)
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
	const minDuration, maxDuration = 50 * time.Millisecond, time.Minute
	s.StallAfter = timing.Duration("stall_after", 500*time.Millisecond, minDuration, maxDuration)
	s.SilenceTolerance = timing.Duration("silence_tolerance", defaultSilenceTolerance, 0, maxDuration)
	s.Silence = timing.Duration("silence", link.DefaultSilenceTimeout, time.Second, maxDuration)
	s.LeaseTTL = timing.Duration("lease_ttl", 2*time.Second, 300*time.Millisecond, maxDuration)
	s.StopNotice = timing.Duration("stop_notice", 3*time.Second, 0, maxDuration)
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
	if s.PeerKey != "" && len(s.PeerKey) < minKeyLength {
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

// firstReadDelayOneCore is how long a node with one core waits before it first reads the lease. It
// is divided by the cores: of nodes that start together, one with many cores acquires the lease. With
// 0.8 of a core it waits 0.12 s, with 0.2 half a second.
const firstReadDelayOneCore = 100 * time.Millisecond

const maxFirstReadDelay = 600 * time.Millisecond

// firstReadDelay returns how long this node waits before it first reads the lease.
func (s *Settings) firstReadDelay() time.Duration {
	return min(maxFirstReadDelay, time.Duration(float64(firstReadDelayOneCore)/s.Cores))
}

// source returns the source address of outgoing connections: the IP address of the peer
// listener, so that a firewall can identify the node.
func (s *Settings) source() net.Addr {
	address, err := netip.ParseAddrPort(s.Peers)
	if err != nil || address.Addr().IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
}

// gossipConfig returns the configuration of the Gossiper for one incarnation of the node.
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
		FullRateNodes:   s.Policy.FullRateNodes,
	}
}
