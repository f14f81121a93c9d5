// Package settings reads and validates the INI file of one entry instance.
package settings

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Settings are the settings of one entry instance.
type Settings struct {
	Node       string
	DataCentre fleet.DataCentre
	// Callers, Operator and Peers are the addresses to listen on. Outgoing
	// connections use the IP of Peers.
	Callers  string
	Operator string
	Peers    string
	// Advertised is the address at which peers reach this node; empty means Peers.
	Advertised string
	// PeerKey authenticates entry instances to each other, OperatorKey operators.
	PeerKey     string
	OperatorKey string
	Platform    string
	// PlatformTimeout bounds one call to the platform.
	PlatformTimeout time.Duration
	MaxBody         int
	MaxRequests     int
	MaxAttempts     int
	RetryShare      float64
	// ClaimWindow is how long a claim waits to be batched with others into one
	// transaction.
	ClaimWindow time.Duration
	// StopNotice is how long a stopping node keeps accepting requests, until the
	// load balancer has removed it. StopBound is how long it then waits for requests
	// in flight.
	StopNotice time.Duration
	StopBound  time.Duration
	LogLevel   slog.Level
	// FatalInvariants makes a violated invariant panic, for tests.
	FatalInvariants bool
	Bootstrap       []membership.Node
	Intervals       control.Intervals
	// Membership has only the TTLs and the number of watchers; the node sets the rest.
	Membership   membership.Options
	Placement    placement.Options
	LeaseTTL     time.Duration
	UnfencedWait time.Duration
	CallTimeout  time.Duration
}

const (
	minKeyLength       = 16
	defaultMaxBody     = 8 << 20
	maxMaxBody         = 15 << 20
	defaultMaxRequests = 4096
)

// Load reads and parses a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	return Parse(path, text)
}

// Parse parses settings. The error contains all mistakes.
func Parse(file string, text []byte) (*Settings, error) {
	f := inicheck.Parse(file, text)
	s := Defaults()
	node := f.Section("node")
	s.Node = node.Name("name")
	s.DataCentre = fleet.DataCentre(node.Name("data_centre"))
	listen := f.Section("listen")
	s.Callers = listen.Address("callers")
	s.Operator = listen.Address("operator")
	s.Peers = listen.Address("peers")
	if text := listen.String("peers_advertised", ""); text != "" {
		s.Advertised = listen.Address("peers_advertised")
	}
	s.readKeys(f.Section("keys"))
	platform := f.Section("platform")
	s.Platform = platform.Address("address")
	s.PlatformTimeout = platform.Duration("timeout", s.PlatformTimeout, 10*time.Millisecond, 10*time.Second)
	s.readLimits(f.Section("limits"))
	s.readTuning(f.Section("tuning"))
	s.readPlacement(f.Section("placement"))
	stop := f.Section("stop")
	s.StopNotice = stop.Duration("notice", s.StopNotice, 0, time.Minute)
	s.StopBound = stop.Duration("bound", s.StopBound, 0, time.Hour)
	s.readLog(f.Section("log"))
	for _, section := range f.Named("peer") {
		s.Bootstrap = append(s.Bootstrap, membership.Node{
			ID:         membership.NodeID(section.Name),
			DataCentre: fleet.DataCentre(section.Section.Name("data_centre")),
			Address:    section.Address("address"),
		})
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Defaults returns settings without names, addresses and keys.
func Defaults() *Settings {
	return &Settings{
		PlatformTimeout: 400 * time.Millisecond,
		MaxBody:         defaultMaxBody,
		MaxRequests:     defaultMaxRequests,
		MaxAttempts:     3,
		RetryShare:      0.1,
		ClaimWindow:     2 * time.Millisecond,
		StopNotice:      2 * time.Second,
		StopBound:       5 * time.Minute,
		LogLevel:        slog.LevelInfo,
		Intervals:       control.DefaultIntervals(),
		Membership:      membership.DefaultOptions(membership.Node{}, 0, time.Time{}),
		Placement:       placement.DefaultOptions(),
		LeaseTTL:        4 * time.Second,
		UnfencedWait:    3 * time.Second,
		CallTimeout:     time.Second,
	}
}

func (s *Settings) readKeys(keys *inicheck.Section) {
	const allowed = "a secret of 16 characters or more"
	s.PeerKey = keys.Required("peers", allowed)
	s.OperatorKey = keys.Required("operator", allowed)
	for name, value := range map[string]string{"peers": s.PeerKey, "operator": s.OperatorKey} {
		if value != "" && len(value) < minKeyLength {
			// A short key is still a secret.
			keys.Reject(name, "(hidden)", allowed)
		}
	}
}

func (s *Settings) readLimits(l *inicheck.Section) {
	s.MaxBody = l.Int("max_body_bytes", s.MaxBody, 1<<10, maxMaxBody)
	s.MaxRequests = l.Int("max_requests", s.MaxRequests, 1, 1<<16)
	s.MaxAttempts = l.Int("max_attempts", s.MaxAttempts, 1, 10)
	s.RetryShare = l.Float("retry_share", s.RetryShare, 0, 1)
	s.ClaimWindow = l.Duration("claim_window", s.ClaimWindow, 0, time.Second)
}

func (s *Settings) readTuning(t *inicheck.Section) {
	const minimum, maximum = 10 * time.Millisecond, 5 * time.Minute
	s.Intervals.Poll = t.Duration("poll", s.Intervals.Poll, minimum, maximum)
	s.Intervals.Exchange = t.Duration("exchange", s.Intervals.Exchange, minimum, maximum)
	s.Intervals.Remote = t.Duration("remote", s.Intervals.Remote, minimum, maximum)
	s.Intervals.Head = t.Duration("head", s.Intervals.Head, minimum, maximum)
	s.Intervals.Instances = t.Duration("instances", s.Intervals.Instances, minimum, maximum)
	s.Intervals.Plan = t.Duration("plan", s.Intervals.Plan, minimum, maximum)
	s.Intervals.Publish = t.Duration("publish", s.Intervals.Publish, minimum, maximum)
	s.Intervals.Refresh = t.Duration("refresh", s.Intervals.Refresh, minimum, maximum)
	s.Membership.Watchers = t.Int("watchers", s.Membership.Watchers, 1, 5)
	s.Membership.OwnTTL = t.Duration("own_ttl", s.Membership.OwnTTL, minimum, maximum)
	s.Membership.VouchTTL = t.Duration("vouch_ttl", s.Membership.VouchTTL, minimum, maximum)
	s.Membership.PeerTTL = t.Duration("peer_ttl", s.Membership.PeerTTL, minimum, maximum)
	s.LeaseTTL = t.Duration("lease_ttl", s.LeaseTTL, 100*time.Millisecond, maximum)
	s.UnfencedWait = t.Duration("unfenced_wait", s.UnfencedWait, 0, maximum)
	s.CallTimeout = t.Duration("call_timeout", s.CallTimeout, minimum, maximum)
	if s.Membership.OwnTTL < 2*s.Intervals.Poll {
		t.Reject("own_ttl", s.Membership.OwnTTL.String(), "at least twice poll, or one late poll makes groups unavailable")
	}
	if s.Membership.VouchTTL < 2*s.Intervals.Exchange {
		t.Reject("vouch_ttl", s.Membership.VouchTTL.String(), "at least twice exchange, or one late exchange makes groups unavailable")
	}
}

func (s *Settings) readPlacement(p *inicheck.Section) {
	const maximum = 24 * time.Hour
	o := &s.Placement
	o.LostGrace = p.Duration("lost_grace", o.LostGrace, 0, maximum)
	o.WarmGrace = p.Duration("warm_grace", o.WarmGrace, 0, maximum)
	o.RestartGrace = p.Duration("restart_grace", o.RestartGrace, 0, maximum)
	o.SettleTime = p.Duration("settle", o.SettleTime, 0, maximum)
	o.ShrinkAfter = p.Duration("shrink_after", o.ShrinkAfter, 0, maximum)
	o.LoadBudget = p.Int("load_budget", o.LoadBudget, 1, 100_000)
	o.LoadTime = p.Duration("load_time", o.LoadTime, 0, maximum)
	o.DrainTime = p.Duration("drain_time", o.DrainTime, 0, maximum)
	o.FailuresPerHour = p.Float("failures_per_hour", o.FailuresPerHour, 0, 100)
}

func (s *Settings) readLog(l *inicheck.Section) {
	s.FatalInvariants = l.Bool("fatal_invariants", false)
	switch l.OneOf("level", "info", "debug", "info", "warn", "error") {
	case "debug":
		s.LogLevel = slog.LevelDebug
	case "warn":
		s.LogLevel = slog.LevelWarn
	case "error":
		s.LogLevel = slog.LevelError
	}
}

// Source returns the local address of outgoing connections: the IP of Peers, so that
// firewalls and tests can identify the node. It is nil if that is unspecified.
func (s *Settings) Source() net.Addr {
	address, err := netip.ParseAddrPort(s.Peers)
	if err != nil || address.Addr().IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
}
