package relay

const (
	// minConnections is the least number of connections that a node may open to one endpoint.
	minConnections = 4
	// connectionShare is the part of an endpoint's connections that the nodes share. The rest is
	// for nodes that are not yet counted, and for probes.
	connectionShare = 0.9
)

// demandShare is the part of an endpoint's connections that the nodes share by their requests in flight.
// The nodes' bounds add up to no more than connectionShare and this.
const demandShare = 0.5

// connectionBound returns how many connections one node may have open to one endpoint, given the
// service's bound for all nodes and the node's part of all requests in flight; 0 means no bound. The
// platform may hand most new connections of callers to one node for a while, which then needs more than an
// even part.
func connectionBound(maxConnections, nodes int, part float64) int {
	if maxConnections <= 0 {
		return 0
	}
	even := connectionShare * float64(maxConnections) / float64(max(1, nodes))
	byDemand := demandShare * float64(maxConnections) * part
	return max(minConnections, int(max(even, byDemand)))
}

// connectionBound returns this node's bound of connections to an endpoint of a service, or 0.
func (b *Balancer) connectionBound(maxConnections int) int {
	if !b.weights.ConnectionBound {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	part := float64(b.running) / float64(max(1, b.running+b.peersRunning))
	return connectionBound(maxConnections, b.nodes, part)
}

// SetNodes sets the number of nodes that share the connections to an endpoint. The number never
// falls: a node that is unreachable may still have connections open.
func (b *Balancer) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(b.nodes, n)
}
