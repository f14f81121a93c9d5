// Package configuration reads operators' templates and keeps the newest
// accepted revision of each.
//
// A template is INI text that an operator submits or revises. Parse checks
// it whole and reports every mistake with its place. Store holds what a node
// knows and never goes back to an older revision, whatever order the news
// comes in.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Bounds of a template's values.
const (
	// MinReplicaSize and MaxReplicaSize bound the instances of one group.
	MinReplicaSize = 4
	MaxReplicaSize = 32
	// MaxGroups bounds the groups of one template in one data centre.
	MaxGroups      = 4096
	maxWeight      = 1000
	maxShare       = 1000
	minutesPerHour = 60
	minutesPerDay  = 24 * minutesPerHour
	minKeyLength   = 8
)

// Template says what a set of workspaces needs.
type Template struct {
	Name     string   `json:"name"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Service names the plain service that the workspaces may call; a
	// template may have a model, a service or both.
	Service     string     `json:"service,omitempty"`
	Role        fleet.Role `json:"role"`
	ReplicaSize int        `json:"replica_size,omitempty"`
	// DataCentres lists where the template's groups run; empty is everywhere.
	DataCentres []fleet.DataCentre `json:"data_centres,omitempty"`
	// TimeZone is the IANA name of the zone that Capacity's hours are in.
	TimeZone string `json:"time_zone,omitempty"`
	// Capacity is the wanted number of groups in each data centre, from a
	// minute of the day on, in rising order.
	Capacity []Step `json:"capacity,omitempty"`
	// WeightDowntime and WeightStranded are the two weights of placement's
	// objective, per group-minute and per accelerator-hour.
	WeightDowntime float64     `json:"weight_downtime"`
	WeightStranded float64     `json:"weight_stranded"`
	Workspaces     []Workspace `json:"workspaces"`
}

// Step is one change of capacity during a day.
type Step struct {
	Minute int `json:"minute"`
	Groups int `json:"groups"`
}

// Workspace is one customer-facing tenant of a template.
type Workspace struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key, in hex. The key itself is
	// dropped while the template is read, so that no store or log has it.
	KeyHash string `json:"key_hash"`
	// Share is the workspace's weight when capacity is short.
	Share float64 `json:"share"`
	// MaxInFlight bounds the workspace's requests in one entry instance.
	MaxInFlight int `json:"max_in_flight"`
	// Deadline is how long a request may take when its caller does not say.
	Deadline time.Duration `json:"deadline"`
}

// WeightsName returns the name of the weights that the template's groups load.
func (t *Template) WeightsName() string {
	if t.Model == "" {
		return ""
	}
	name := t.Model + "@" + t.Version
	if len(t.Adapters) > 0 {
		name += "+" + strings.Join(t.Adapters, "+")
	}
	return name
}

// RunsIn reports whether the template's groups run in the data centre.
func (t *Template) RunsIn(dc fleet.DataCentre) bool {
	if len(t.DataCentres) == 0 {
		return true
	}
	for _, name := range t.DataCentres {
		if name == dc {
			return true
		}
	}
	return false
}

// GroupsAt returns the wanted number of groups in each data centre at a time.
func (t *Template) GroupsAt(at time.Time) int {
	if t.Model == "" || len(t.Capacity) == 0 {
		return 0
	}
	// The zone was checked when the template was read. A node whose zone
	// data lacks it falls back to UTC: capacity then changes at the wrong
	// hour, which costs less than refusing an accepted template would.
	zone, err := time.LoadLocation(t.TimeZone)
	if err != nil {
		zone = time.UTC
	}
	local := at.In(zone)
	minute := local.Hour()*minutesPerHour + local.Minute()
	// Before the day's first step the last step of the day before holds.
	groups := t.Capacity[len(t.Capacity)-1].Groups
	for _, step := range t.Capacity {
		if step.Minute > minute {
			break
		}
		groups = step.Groups
	}
	return groups
}

// Parse reads a template. The error holds every mistake of the text.
func Parse(file string, text []byte) (*Template, error) {
	f := inicheck.Parse(file, text)
	t := &Template{}
	t.readMain(f.Section("template"))
	t.readCapacity(f.Section("capacity"))
	for _, section := range f.Named("workspace") {
		t.readWorkspace(section)
	}
	if len(t.Workspaces) == 0 {
		f.Section("template").Reject("", "no workspace", "at least one [workspace NAME] section")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Template) readMain(s *inicheck.Section) {
	t.Name = s.Name("name")
	t.Model = s.String("model", "")
	t.Version = s.String("version", "1")
	t.Adapters = s.List("adapters")
	t.Service = s.String("service", "")
	// Only mixed groups are served so far; a template that asks for another
	// role is refused rather than served as something else.
	t.Role = fleet.Role(s.OneOf("role", string(fleet.RoleMixed), string(fleet.RoleMixed)))
	t.ReplicaSize = s.Int("replica_size", MinReplicaSize, MinReplicaSize, MaxReplicaSize)
	for _, name := range s.List("data_centres") {
		if !inicheck.IsName(name) {
			s.Reject("data_centres", name, "names of data centres, separated by commas")
		}
		t.DataCentres = append(t.DataCentres, fleet.DataCentre(name))
	}
	t.WeightDowntime = s.Float("weight_downtime", 1, 0, maxWeight)
	t.WeightStranded = s.Float("weight_stranded", 1, 0, maxWeight)
	if t.Model == "" && t.Service == "" {
		s.Reject("model", "", "a model, a service or both")
	}
	for _, name := range append([]string{t.Model, t.Version, t.Service}, t.Adapters...) {
		if name != "" && !inicheck.IsName(name) {
			s.Reject("model", name, "names of letters, digits, '.', '-' and '_' for model, version, adapters and service")
		}
	}
}

func (t *Template) readCapacity(s *inicheck.Section) {
	const allowed = "steps such as 00:00=1 06:30=3 22:00=1, in rising order"
	t.TimeZone = s.String("time_zone", "UTC")
	if _, err := time.LoadLocation(t.TimeZone); err != nil {
		s.Reject("time_zone", t.TimeZone, "an IANA time zone such as Asia/Kolkata or Europe/Madrid")
	}
	text := s.String("groups", "")
	if text == "" && t.Model != "" {
		s.Reject("groups", "", allowed)
	}
	last := -1
	for _, word := range strings.Fields(text) {
		step, err := parseStep(word)
		if err != nil || step.Minute <= last {
			s.Reject("groups", word, allowed)
			return
		}
		last = step.Minute
		t.Capacity = append(t.Capacity, step)
	}
}

func parseStep(word string) (Step, error) {
	clock, count, ok := strings.Cut(word, "=")
	if !ok {
		return Step{}, fmt.Errorf("no '=' in %q", word)
	}
	at, err := time.Parse("15:04", clock)
	if err != nil {
		return Step{}, err
	}
	groups, err := strconv.Atoi(count)
	if err != nil || groups < 0 || groups > MaxGroups {
		return Step{}, fmt.Errorf("bad count %q", count)
	}
	return Step{Minute: at.Hour()*minutesPerHour + at.Minute(), Groups: groups}, nil
}

func (t *Template) readWorkspace(s inicheck.NamedSection) {
	w := Workspace{Name: s.Name}
	if !inicheck.IsName(s.Name) {
		s.Reject("", s.Name, "a name of 1 to 63 letters, digits, '.', '-' and '_'")
	}
	for _, other := range t.Workspaces {
		if other.Name == w.Name {
			s.Reject("", w.Name, "each workspace once")
		}
	}
	key := s.Required("key", "the workspace's bearer key, 8 characters or more")
	if key != "" && len(key) < minKeyLength {
		s.Reject("key", "(hidden)", "the workspace's bearer key, 8 characters or more")
	}
	w.KeyHash = HashKey(key)
	w.Share = s.Float("share", 1, 0.01, maxShare)
	w.MaxInFlight = s.Int("max_in_flight", 1000, 1, 1_000_000)
	w.Deadline = s.Duration("deadline", 30*time.Second, 100*time.Millisecond, time.Hour)
	t.Workspaces = append(t.Workspaces, w)
}

// HashKey returns the form in which a workspace's key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
