package admission

// levelPlan holds the fractions of one level.
type levelPlan struct {
	level Level
	// admitted is the fraction of the level's demand that is admitted.
	admitted float64
	// precedence is the fraction of the returning requests that are admitted
	// before the workspaces' shares are computed.
	precedence float64
	named      []workspaceFraction
	unnamed    float64 // the fraction of all other workspaces
}

type workspaceFraction struct {
	workspace uint32
	fraction  float64
}

func (l *levelPlan) fraction(workspace uint32, returning bool) (fraction float64, named bool) {
	fraction = l.unnamed
	for i := range l.named {
		if l.named[i].workspace == workspace {
			fraction, named = l.named[i].fraction, true
			break
		}
	}
	if returning {
		fraction = l.precedence + (1-l.precedence)*fraction
	}
	return fraction, named
}

// limits are the fractions of the arrivals by which the levels are limited, in
// units of the scarcer resource.
type limits struct {
	reserved    limit   // of relaxed levels; the others have Plan.limits
	sustainable float64 // what the pool can start in the long run
	draining    float64 // see sustainableRate.drainingFraction
}

// grant is what a level gets, as fractions of its demand.
type grant struct {
	now, sustainable, draining float64
}

// allocate divides the admissible rate among the levels. Each level first gets
// its minimum; the rest is allocated in order of urgency. Relaxed levels share
// only what the reserved limit leaves: their prompts would otherwise make the
// requests late that have the tightest objective.
func (p *Plan) allocate(demand []LevelDemand, policy Policy, l limits) {
	reserved := l.reserved
	total, minimums := 0.0, 0.0
	for i := range demand {
		total += demandOf(&demand[i], reserved.byTokens)
	}
	minimum := reserved.fraction * total * min(policy.MinShare, 1/float64(len(demand)))
	for i := range demand {
		minimums += min(demandOf(&demand[i], reserved.byTokens), minimum)
	}
	used, sustainableRest, drainingRest := 0.0, l.sustainable*total, l.draining*total
	for i := range demand {
		limit := p.limits[min(demand[i].Level, MaxLevel)]
		rest := limit.fraction*total - minimums - used
		wanted := demandOf(&demand[i], reserved.byTokens)
		granted := min(wanted, minimum)
		extra := min(wanted-granted, max(rest, 0))
		used += extra
		sustainable := min(wanted, sustainableRest)
		sustainableRest -= sustainable
		draining := min(sustainable, drainingRest)
		drainingRest -= draining
		p.addLevel(&demand[i], grant{ratio(granted+extra, wanted), ratio(sustainable, wanted), ratio(draining, wanted)}, policy)
	}
}

// demandOf returns the demand of a level in units of the scarcer resource.
func demandOf(d *LevelDemand, byTokens bool) float64 {
	if byTokens {
		return d.Tokens
	}
	return d.requests()
}

// addLevel appends the fractions of a level that gets the given fractions of its
// demand. Returning requests have precedence in a part of it.
func (p *Plan) addLevel(d *LevelDemand, g grant, policy Policy) {
	l := p.nextLevel()
	l.level, l.admitted = d.Level, min(g.now, 1)
	granted := g.now * d.requests()
	preferred := min(d.Returning, policy.ReturnShare*granted)
	l.precedence = ratio(preferred, d.Returning)
	// The evidence doesn't separate a workspace's returning requests, so the
	// preferred ones are deducted from all workspaces in proportion.
	remaining := ratio(d.requests()-preferred, d.requests())
	p.claims = appendClaims(p.claims[:0], d, remaining)
	s := divide(p.claims, granted-preferred, g.sustainable*d.requests()-preferred, g.draining*d.requests()-preferred)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		l.named = append(l.named, workspaceFraction{w.Workspace, s.fraction(w.Requests * remaining)})
	}
	l.unnamed = g.now
	if len(p.claims) > 0 {
		l.unnamed = s.fraction(p.claims[0].demand)
	}
}

// nextLevel extends the levels by one that keeps the memory of an earlier plan.
func (p *Plan) nextLevel() *levelPlan {
	l := extend(&p.levels)
	l.named = l.named[:0]
	return l
}

// ratio returns part/whole, or 1 if there is no whole.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}
