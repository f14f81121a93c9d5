// Package settings reads and checks the INI file of one entry instance.
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

// Settings of one entry instance.
type Settings struct {
	Node       string
	DataCentre fleet.DataCentre
	// Callers, Operator and Peers are the addresses to listen on. Connections
	// leave from the IP of Peers.
	Callers  string
	Operator string
	Peers    string
	// Advertised is the address under which other nodes find this one; empty
	// is Peers.
	Advertised string
	// PeerKey is shared by all entry instances, OperatorKey by operators.
	PeerKey     string
	OperatorKey string
	Platform    string
	// PlatformTimeout bounds one call of the platform.
	PlatformTimeout time.Duration
	MaxBody         int
	MaxRequests     int
	MaxAttempts     int
	RetryShare      float64
	// ClaimWindow is how long a claim waits for others to share its
	// transaction.
	ClaimWindow time.Duration
	// StopNotice is how long a stopping node goes on taking requests, so that
	// the balancer can notice; StopBound bounds the whole stop.
	StopNotice time.Duration
	StopBound  time.Duration
	LogLevel   slog.Level
	// FatalInvariants ends the process at the first violated invariant, for
	// tests.
	FatalInvariants bool
	Bootstrap       []membership.Node
	Intervals       control.Intervals
	// Membership has the times only; the node fills in the rest.
	Membership   membership.Options
	Placement    placement.Options
	LeaseTTL     time.Duration
	UnfencedWait time.Duration
	CallTimeout  time.Duration
}

// Bounds and defaults.
const (
	minKey             = 16
	defaultMaxBody     = 8 << 20
	maxMaxBody         = 15 << 20
	defaultMaxRequests = 4096
)

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
		if value != "" && len(value) < minKey {
			// The value itself is a secret, even a short one.
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
	const least, most = 10 * time.Millisecond, 5 * time.Minute
	s.Intervals.Poll = t.Duration("poll", s.Intervals.Poll, least, most)
	s.Intervals.Exchange = t.Duration("exchange", s.Intervals.Exchange, least, most)
	s.Intervals.Remote = t.Duration("remote", s.Intervals.Remote, least, most)
	s.Intervals.Head = t.Duration("head", s.Intervals.Head, least, most)
	s.Intervals.Instances = t.Duration("instances", s.Intervals.Instances, least, most)
	s.Intervals.Plan = t.Duration("plan", s.Intervals.Plan, least, most)
	s.Intervals.Publish = t.Duration("publish", s.Intervals.Publish, least, most)
	s.Intervals.Refresh = t.Duration("refresh", s.Intervals.Refresh, least, most)
	s.Membership.Watchers = t.Int("watchers", s.Membership.Watchers, 1, 5)
	s.Membership.OwnTTL = t.Duration("own_ttl", s.Membership.OwnTTL, least, most)
	s.Membership.VouchTTL = t.Duration("vouch_ttl", s.Membership.VouchTTL, least, most)
	s.Membership.PeerTTL = t.Duration("peer_ttl", s.Membership.PeerTTL, least, most)
	s.LeaseTTL = t.Duration("lease_ttl", s.LeaseTTL, 100*time.Millisecond, most)
	s.UnfencedWait = t.Duration("unfenced_wait", s.UnfencedWait, 0, most)
	s.CallTimeout = t.Duration("call_timeout", s.CallTimeout, least, most)
	if s.Membership.OwnTTL < 2*s.Intervals.Poll {
		t.Reject("own_ttl", s.Membership.OwnTTL.String(), "at least twice poll, or each poll that is late takes groups down")
	}
	if s.Membership.VouchTTL < 2*s.Intervals.Exchange {
		t.Reject("vouch_ttl", s.Membership.VouchTTL.String(), "at least twice exchange, or each exchange that is late takes groups down")
	}
}

func (s *Settings) readPlacement(p *inicheck.Section) {
	const most = 24 * time.Hour
	o := &s.Placement
	o.LostGrace = p.Duration("lost_grace", o.LostGrace, 0, most)
	o.WarmGrace = p.Duration("warm_grace", o.WarmGrace, 0, most)
	o.RestartGrace = p.Duration("restart_grace", o.RestartGrace, 0, most)
	o.Settle = p.Duration("settle", o.Settle, 0, most)
	o.ShrinkAfter = p.Duration("shrink_after", o.ShrinkAfter, 0, most)
	o.LoadBudget = p.Int("load_budget", o.LoadBudget, 1, 100_000)
	o.LoadTime = p.Duration("load_time", o.LoadTime, 0, most)
	o.DrainTime = p.Duration("drain_time", o.DrainTime, 0, most)
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

// Source returns the address that connections leave from: the IP that peers
// call, so that a firewall, or a test, can tell the nodes apart.
func (s *Settings) Source() net.Addr {
	address, err := netip.ParseAddrPort(s.Peers)
	if err != nil || address.Addr().IsUnspecified() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), 0))
}
