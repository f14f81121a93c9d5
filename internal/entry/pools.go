package entry

import "github.com/ridgehinge/ridgehinge/internal/directory"

// Pool returns how many groups of a service's model this node knows to be open, and their slots.
func (e *Entry) Pool(service, model string) (groups, slots int) {
	heads := e.directory.View().Heads[directory.Pool{Service: service, Model: model}]
	for _, h := range heads {
		slots += h.Slots
	}
	return len(heads), slots
}

// Quarantined returns how many requests this node knows to be quarantined.
func (e *Entry) Quarantined() int {
	_, quarantined := e.gossip.Quarantine().Counts()
	return quarantined
}
