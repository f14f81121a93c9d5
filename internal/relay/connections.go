package relay

const (
	// minConnections is the least number of connections that a node may open to one endpoint.
	minConnections = 4
	// connectionShare is the part of an endpoint's connections that the nodes share. The rest is
	// for nodes that are not yet counted, and for probes.
	connectionShare = 0.9
)

// connectionBound returns how many connections one node may have open to one endpoint, given the
// service's bound for all nodes; 0 means no bound.
func connectionBound(maxConnections, nodes int) int {
	if maxConnections <= 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(maxConnections)/float64(max(1, nodes))))
}

// connectionBound returns this node's bound of connections to an endpoint of a service, or 0.
func (b *Balancer) connectionBound(maxConnections int) int {
	if !b.weights.ConnectionBound {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return connectionBound(maxConnections, b.nodes)
}

// SetNodes sets the number of nodes that share the connections to an endpoint. The number never
// falls: a node that is unreachable may still have connections open.
func (b *Balancer) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(b.nodes, n)
}
