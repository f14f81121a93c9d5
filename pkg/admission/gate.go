package admission

import "math/rand/v2"

// maxSums bounds the memory of a gate. Beyond it, all running sums start anew.
const maxSums = 1024

// class identifies the requests that share a running sum.
type class struct {
	workspace uint32 // 0 for workspaces without a fraction of their own
	level     Level
	returning bool
	named     bool
}

// Gate applies a plan to individual requests by error diffusion. It is not safe
// for concurrent use.
type Gate struct {
	random *rand.Rand
	sums   map[class]float64
}

// NewGate returns a gate. Each node has one gate per pool.
func NewGate(random *rand.Rand) *Gate {
	return &Gate{random: random, sums: map[class]float64{}}
}

// Admit reports whether a request is admitted. It keeps a running sum of the
// fraction for each class and admits a request when the sum reaches 1. The sum
// starts at a random value, so that nodes with few requests don't all reject
// their first one.
func (g *Gate) Admit(p *Plan, level Level, workspace uint32, returning bool) bool {
	fraction, named := p.fraction(level, workspace, returning)
	if fraction >= 1 {
		return true
	}
	key := class{level: level, returning: returning, named: named}
	if named {
		key.workspace = workspace
	}
	sum := g.sum(key) + fraction
	admitted := sum >= 1
	if admitted {
		sum--
	}
	g.sums[key] = sum
	return admitted
}

func (g *Gate) sum(key class) float64 {
	if sum, ok := g.sums[key]; ok {
		return sum
	}
	if len(g.sums) >= maxSums {
		clear(g.sums)
	}
	return g.random.Float64()
}
