// Package delta tracks which versions of a kind of state two nodes have exchanged, so that
// each sends only what the other lacks.
package delta

// Cursor is what this node and one incarnation of a peer have exchanged. The zero value is for
// a peer with which nothing was exchanged yet.
type Cursor struct {
	// received is the version up to which the peer has sent its state, acked that up to which
	// it has received this node's.
	received uint64
	acked    uint64
}

// Acked returns the version up to which the peer has this node's state.
func (c *Cursor) Acked() uint64 { return c.acked }

// Received returns the version up to which this node has the peer's state.
func (c *Cursor) Received() uint64 { return c.received }

// Advance applies a message of the peer, which holds its state up to a version and
// acknowledges this node's.
func (c *Cursor) Advance(version, acked uint64) { c.received, c.acked = version, acked }
