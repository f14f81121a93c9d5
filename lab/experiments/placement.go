package experiments

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/placement"
)

// Objective weights of the two users, per group-minute of downtime and per
// stranded accelerator-hour.
const (
	walletDowntime, walletStranded   = 1000, 0.01
	roasterDowntime, roasterStranded = 1, 10
)

// groupsByHour returns all groups from 7 to 22 h and half of them at night.
func groupsByHour(hour float64, want int) int {
	ofDay := math.Mod(hour, 24)
	if ofDay < 7 || ofDay >= 22 {
		return (want + 1) / 2
	}
	return want
}

// newTrace returns a trace of one data centre: 17 instances in domains of 9 and 8,
// and two models with three groups of four in the day.
func newTrace(seed uint64, downtime, stranded float64) PlacementTrace {
	demand := func(name string, want int) placement.Demand {
		return placement.Demand{
			Template: name, Weights: name + "@1", Role: fleet.RoleMixed, Size: 4, Want: want,
			WeightDowntime: downtime, WeightStranded: stranded,
		}
	}
	return PlacementTrace{
		Seed: seed, Days: 7, Domains: []int{9, 8},
		// Higher than expected in production, so that a week on 17 instances has enough
		// failures to compare.
		FailuresPerDay: 0.2, RestartsPerDay: 0.6, RepairTime: 40 * time.Minute,
		RackFailureInterval: 5 * 24 * time.Hour, RackRepairTime: 30 * time.Minute,
		OutageStart: 13 * time.Hour, OutageDuration: 30 * time.Minute,
		LoadTime:  90 * time.Second,
		Templates: []placement.Demand{demand("large", 2), demand("small", 1)},
		GroupsAt:  groupsByHour,
	}
}

type user struct {
	name               string
	downtime, stranded float64
}

var users = []user{
	{"wallet", walletDowntime, walletStranded},
	{"roaster", roasterDowntime, roasterStranded},
}

// placementSeeds is the number of one-week traces for each policy.
const placementSeeds = 4

func policies(seed uint64) map[string]Policy {
	options := placement.DefaultOptions()
	options.FailuresPerHour = 0.8 / 24
	return map[string]Policy{
		"ridgehinge":   placement.New(options),
		"fixed spares": FixedSpares{Spares: 1},
		"full resolve": FullResolve{Random: rand.New(rand.NewPCG(seed, 3))},
	}
}

var policyOrder = []string{"ridgehinge", "fixed spares", "full resolve"}

// Placement runs all policies over the traces of both users and prints the mean
// results of a week.
func Placement(out io.Writer) map[string]map[string]PlacementResult {
	all := map[string]map[string]PlacementResult{}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "user\tpolicy\tdowntime group-min\tstranded accel-h\tloads\twasted\tmoves\t")
	for _, u := range users {
		all[u.name] = map[string]PlacementResult{}
		for _, name := range policyOrder {
			var sum PlacementResult
			for seed := range uint64(placementSeeds) {
				r := RunPlacement(newTrace(seed, u.downtime, u.stranded), policies(seed)[name])
				sum.Downtime += r.Downtime / placementSeeds
				sum.Stranded += r.Stranded / placementSeeds
				sum.Loads += r.Loads
				sum.WastedLoads += r.WastedLoads
				sum.Moves += r.Moves
			}
			all[u.name][name] = sum
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%d\t%d\t%d\t\n", u.name, name, sum.Downtime, sum.Stranded,
				sum.Loads/placementSeeds, sum.WastedLoads/placementSeeds, sum.Moves/placementSeeds)
		}
	}
	_ = w.Flush()
	return all
}
