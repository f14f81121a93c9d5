package entry

import "time"

// recordDial passes the result of a dial of an endpoint on to the monitor of the links.
func (e *Entry) recordDial(address string, took time.Duration, err error) {
	e.links.RecordDial(address, took, err)
}

// endpointAddresses returns the addresses of all listed endpoints.
func (e *Entry) endpointAddresses() []string {
	endpoints := e.directory.View().Endpoints
	out := make([]string, 0, len(endpoints))
	for _, ep := range endpoints {
		out = append(out, ep.Address)
	}
	return out
}

// setLinksLost updates what depends on whether the links to all endpoints are lost.
func (e *Entry) setLinksLost(lost bool) {
	value := 0.0
	if lost {
		value = 1
	}
	e.metrics.Set("endpoint_links_lost", value)
}
