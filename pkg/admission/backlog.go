package admission

import "time"

// backlogWindow is the time constant with which admitted tokens are forgotten. It is that of the
// measured rates, and about the time that an excessive backlog takes to process.
const backlogWindow = 500 * time.Millisecond

// backlog holds the prompt tokens per second that were admitted recently, by level. The unread
// prompts are known only as a sum; they are assumed to be distributed like these.
type backlog [MaxLevel + 1]float64

// ahead returns the fraction of the tokens that are at least as urgent as a level.
func (b *backlog) ahead(level Level) float64 {
	urgent, total := 0.0, 0.0
	for i, tokens := range b {
		total += tokens
		if Level(i) <= level {
			urgent += tokens
		}
	}
	return ratio(urgent, total)
}

// recordAdmitted adds what the plan in force admits of the demand.
func (p *Plan) recordAdmitted(s *PoolState) {
	weight := 1.0
	if s.Elapsed > 0 {
		weight = smoothing(s.Elapsed, backlogWindow)
	}
	for i := range p.backlog {
		p.backlog[i] *= 1 - weight
	}
	for i := range s.Demand {
		d := &s.Demand[i]
		p.backlog[min(d.Level, MaxLevel)] += weight * d.Tokens * p.admitted(d.Level)
	}
}

// admitted returns the fraction of a level's demand that is admitted.
func (p *Plan) admitted(level Level) float64 {
	for i := range p.levels {
		if l := &p.levels[i]; l.level == level {
			return l.admitted
		}
	}
	return 1
}

// Ahead returns the estimated fraction of the unread prompts that an engine processes before those
// of a level, because they are at least as urgent. It is 1 without evidence.
func (p *Plan) Ahead(level Level) float64 {
	return p.backlog.ahead(level)
}
