package continuation

import "sync"

// numbering is how the events of a service's streams are numbered.
type numbering uint8

const (
	_ numbering = iota
	// oneByOne: whole streams were numbered 1, 2, 3.
	oneByOne
	// inSteps: two responses have left the same ids out.
	inSteps
)

// minConfirmed is how many unmarked ends of a service must have been confirmed, and none been a cut, until others are
// trusted. With fewer, a service of which a tenth of such ends are cuts would be trusted at times.
const minConfirmed = 40

// Observations has what the streams of each service have shown so far. It is safe for concurrent use.
type Observations struct {
	mu        sync.Mutex
	byService map[string]observation
}

type observation struct {
	numbering numbering
	// confirmed counts the unmarked ends that were those of their streams since the last that was not.
	confirmed int
}

// NewObservations returns Observations of nothing.
func NewObservations() *Observations { return &Observations{byService: map[string]observation{}} }

// RecordCut records that an unmarked end was not the end of a stream.
func (o *Observations) RecordCut(service string) {
	o.update(service, func(seen *observation) { seen.confirmed = 0 })
}

// RecordConfirmed records that an unmarked end was the end of a stream.
func (o *Observations) RecordConfirmed(service string) {
	o.update(service, func(seen *observation) { seen.confirmed++ })
}

// TrustsEnds reports whether the last unmarked ends of a service were all those of their streams.
func (o *Observations) TrustsEnds(service string) bool {
	return o.get(service).confirmed >= minConfirmed
}

func (o *Observations) numbering(service string) numbering { return o.get(service).numbering }

func (o *Observations) recordNumbering(service string, found numbering) {
	o.update(service, func(seen *observation) { seen.numbering = found })
}

func (o *Observations) get(service string) observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byService[service]
}

func (o *Observations) update(service string, change func(*observation)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.byService[service]
	change(&seen)
	o.byService[service] = seen
}
