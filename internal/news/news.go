// Package news counts what two nodes have told each other of one kind of news, so that each
// tells the other only what that has not heard yet.
package news

// Link is what this node and one life of a peer have told each other. The zero value is for a
// peer that has told and heard nothing.
type Link struct {
	// heard is the version up to which the peer has told its news, told that up to which it
	// has heard this node's.
	heard uint64
	told  uint64
}

// Told returns the version up to which the peer has heard this node's news.
func (l *Link) Told() uint64 { return l.told }

// Heard returns the version up to which this node has heard the peer's.
func (l *Link) Heard() uint64 { return l.heard }

// Take notes a message of the peer, which tells its news up to a version and what it has seen
// of this node's.
func (l *Link) Take(version, seen uint64) { l.heard, l.told = version, seen }
