// Package configuration parses operators' templates and stores the newest
// accepted revision of each.
//
// A template is an INI file that an operator submits. Parse reports all its
// mistakes with their positions. Store has a node's templates and never
// replaces one by an older revision, whatever the order of the deltas.
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
	// MinReplicaSize and MaxReplicaSize bound the members of a group.
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

// Template is the configuration of a set of workspaces.
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
	// DataCentres lists where the template's groups run; empty means all.
	DataCentres []fleet.DataCentre `json:"data_centres,omitempty"`
	// TimeZone is the IANA time zone of Capacity.
	TimeZone string `json:"time_zone,omitempty"`
	// Capacity is the desired number of groups in each data centre, as steps
	// sorted by time of day.
	Capacity []CapacityStep `json:"capacity,omitempty"`
	// WeightDowntime, per group-minute, and WeightStranded, per
	// accelerator-hour, are the weights of the placement objective.
	WeightDowntime float64     `json:"weight_downtime"`
	WeightStranded float64     `json:"weight_stranded"`
	Workspaces     []Workspace `json:"workspaces"`
}

// CapacityStep is one change of capacity during a day.
type CapacityStep struct {
	Minute int `json:"minute"`
	Groups int `json:"groups"`
}

// Workspace is one customer-facing tenant of a template.
type Workspace struct {
	Name string `json:"name"`
	// KeyHash is the SHA-256 of the bearer key, in hex. The key itself is not
	// stored.
	KeyHash string `json:"key_hash"`
	// Share is the workspace's weight when capacity is scarce.
	Share float64 `json:"share"`
	// MaxInFlight bounds the workspace's requests in one entry instance.
	MaxInFlight int `json:"max_in_flight"`
	// Deadline is the default time limit of a request.
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

// GroupsAt returns the desired number of groups in each data centre at a time.
func (t *Template) GroupsAt(at time.Time) int {
	if t.Model == "" || len(t.Capacity) == 0 {
		return 0
	}
	// The zone was validated when the template was parsed. A node whose zone
	// database lacks it uses UTC: capacity then changes at the wrong hour,
	// which is better than rejecting an accepted template.
	zone, err := time.LoadLocation(t.TimeZone)
	if err != nil {
		zone = time.UTC
	}
	local := at.In(zone)
	minute := local.Hour()*minutesPerHour + local.Minute()
	// Before the first step of the day, the last one of the day before applies.
	groups := t.Capacity[len(t.Capacity)-1].Groups
	for _, step := range t.Capacity {
		if step.Minute > minute {
			break
		}
		groups = step.Groups
	}
	return groups
}

// Parse parses a template. The error lists all mistakes.
func Parse(file string, text []byte) (*Template, error) {
	f := inicheck.Parse(file, text)
	t := &Template{}
	t.parseMain(f.Section("template"))
	t.parseCapacity(f.Section("capacity"))
	for _, section := range f.Named("workspace") {
		t.parseWorkspace(section)
	}
	if len(t.Workspaces) == 0 {
		f.Section("template").Reject("", "no workspace", "at least one [workspace NAME] section")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Template) parseMain(s *inicheck.Section) {
	t.Name = s.Name("name")
	t.Model = s.String("model", "")
	t.Version = s.String("version", "1")
	t.Adapters = s.List("adapters")
	t.Service = s.String("service", "")
	// Only mixed groups are supported; templates with another role are
	// rejected.
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

func (t *Template) parseCapacity(s *inicheck.Section) {
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
		step, err := parseCapacityStep(word)
		if err != nil || step.Minute <= last {
			s.Reject("groups", word, allowed)
			return
		}
		last = step.Minute
		t.Capacity = append(t.Capacity, step)
	}
}

func parseCapacityStep(word string) (CapacityStep, error) {
	timeOfDay, count, ok := strings.Cut(word, "=")
	if !ok {
		return CapacityStep{}, fmt.Errorf("no '=' in capacity step %q", word)
	}
	at, err := time.Parse("15:04", timeOfDay)
	if err != nil {
		return CapacityStep{}, err
	}
	groups, err := strconv.Atoi(count)
	if err != nil || groups < 0 || groups > MaxGroups {
		return CapacityStep{}, fmt.Errorf("invalid number of groups %q", count)
	}
	return CapacityStep{Minute: at.Hour()*minutesPerHour + at.Minute(), Groups: groups}, nil
}

func (t *Template) parseWorkspace(s inicheck.NamedSection) {
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

// HashKey returns the hash of a workspace's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
