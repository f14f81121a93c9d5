package admission

import (
	"math"
	"time"
)

const (
	// trendWindow is the time constant of the mean with which a rate is compared.
	trendWindow = 450 * time.Millisecond
	// maxTrendGap is the time between two updates after which the means say nothing about a rise. A plan
	// is updated only when a request arrives.
	maxTrendGap = time.Second
	// trendLead is by how much a rise above the mean is extrapolated. In the simulations of a
	// workspace at ten times its demand, 2 lost twice as many requests of the others in a pool at 0.8
	// of its capacity, and 4 made little difference.
	trendLead = 3
	// trendNoise is the number of standard deviations of a rate that are no rise.
	trendNoise = 3
	// rateWindow is the time constant of the measured rates in seconds, as arrivalWindow of the relay.
	rateWindow = 0.5
)

// trend extrapolates the demand of workspaces that rises faster than that of the
// rest of their level. Evidence lags a step of the demand by up to a second. Without
// it, a workspace at ten times its demand has too large a fraction for this time, and its
// queue takes another second to drain.
//
// A rise of a whole level is not extrapolated: it is a burst of one kind of request,
// or the evidence of nodes that have not been heard before.
type trend struct {
	previous, means []levelMeans
	demand          []LevelDemand
}

// levelMeans holds the mean rates of one level.
type levelMeans struct {
	level      Level
	requests   float64
	workspaces []WorkspaceDemand
}

// extrapolate returns the demand with rises extrapolated, given the time since the
// previous call. The result is valid until the next call.
func (t *trend) extrapolate(demand []LevelDemand, elapsed time.Duration) []LevelDemand {
	t.previous, t.means = t.means, t.previous[:0]
	if elapsed > maxTrendGap {
		t.previous = t.previous[:0]
	}
	t.demand = t.demand[:0]
	weight := smoothing(elapsed, trendWindow)
	for i := range demand {
		t.addLevel(&demand[i], weight)
	}
	return t.demand
}

func (t *trend) addLevel(d *LevelDemand, weight float64) {
	last := t.last(d)
	means, out := extend(&t.means), extend(&t.demand)
	means.level = d.Level
	means.requests = follow(last.requests, d.requests(), weight)
	means.workspaces = means.workspaces[:0]
	workspaces := out.Workspaces[:0]
	rise := 0.0
	for _, w := range d.Workspaces {
		mean := last.workspace(w)
		means.workspaces = append(means.workspaces, WorkspaceDemand{w.Workspace, follow(mean, w.Requests, weight)})
		lead := trendLead * riseOf(w.Requests, mean, d.requests(), last.requests)
		w.Requests += lead
		rise += lead
		workspaces = append(workspaces, w)
	}
	*out = *d
	out.Workspaces = workspaces
	out.Tokens *= ratio(d.requests()+rise, d.requests())
	out.New += rise
}

// last returns the means of a level, or its rates if it is new.
func (t *trend) last(d *LevelDemand) levelMeans {
	for i := range t.previous {
		if t.previous[i].level == d.Level {
			return t.previous[i]
		}
	}
	return levelMeans{requests: d.requests()}
}

// workspace returns the mean of a workspace, or its rate if it was not named.
func (l *levelMeans) workspace(w WorkspaceDemand) float64 {
	for i := range l.workspaces {
		if l.workspaces[i].Workspace == w.Workspace {
			return l.workspaces[i].Requests
		}
	}
	return w.Requests
}

// riseOf returns by how much the rate of a workspace exceeds its mean, beyond the
// growth of the rest of its level and the noise of a rate. It is at most the rise of
// the level: the rate of a workspace also rises when more nodes name it.
func riseOf(rate, mean, level, levelMean float64) float64 {
	rest, restMean := level-rate, levelMean-mean
	if rest <= 0 || restMean <= 0 {
		return 0
	}
	rise := min(rate-mean*max(1, rest/restMean), level-levelMean)
	if rise <= trendNoise*math.Sqrt(rate/(2*rateWindow)) {
		return 0
	}
	return rise
}

func follow(mean, rate, weight float64) float64 {
	return mean + weight*(rate-mean)
}

// extend extends a list by one element that keeps the memory of an earlier one.
func extend[T any](list *[]T) *T {
	n := len(*list)
	if n == cap(*list) {
		var zero T
		*list = append(*list, zero)
	}
	*list = (*list)[:n+1]
	return &(*list)[n]
}
