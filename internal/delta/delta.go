// Package delta tracks which versions of a kind of state two nodes have exchanged, so that
// each sends only what the other lacks.
package delta

// Cursor holds the versions that this node and one incarnation of a peer have exchanged. The
// zero value is for a peer with which nothing was exchanged yet.
type Cursor struct {
	// received is the version of the peer's state that this node has, acked the version of
	// this node's state that the peer has.
	received uint64
	acked    uint64
}

// Acked returns the version of this node's state that the peer has acknowledged.
func (c *Cursor) Acked() uint64 { return c.acked }

// Received returns the version of the peer's state that this node has.
func (c *Cursor) Received() uint64 { return c.received }

// Advance records a message with the peer's state up to a version and its acknowledgement of
// this node's state.
func (c *Cursor) Advance(version, acked uint64) { c.received, c.acked = version, acked }
