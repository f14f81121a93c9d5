package entry

// Kill ends this node without notice, as the end of its process does: the connections of callers
// break, peers are not told, and the lease remains until it expires.
func (e *Entry) Kill() { e.close() }

// HoldsLease reports whether this node controls the groups and so relays for its data centre.
func (e *Entry) HoldsLease() bool { return e.controller.HoldsLease() }
