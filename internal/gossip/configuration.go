package gossip

import "sync"

// compressedConfiguration caches the newest configuration in compressed form, so that it is
// compressed once and not for each peer. Uncompressed, one of 1,400 routes to sixty nodes fills a
// relay's link for seconds.
type compressedConfiguration struct {
	mu         sync.Mutex
	version    uint64
	compressed []byte
}

// compress returns a configuration in compressed form.
func (c *compressedConfiguration) compress(version uint64, value []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version < version {
		c.version, c.compressed = version, compress(value)
	}
	return c.compressed
}

// applyConfiguration applies a configuration from a peer.
func (g *Gossiper) applyConfiguration(compressed []byte, from string) {
	value, err := decompress(compressed)
	if err != nil {
		g.log.Error("failed to read a peer's configuration; keeping the current one", "peer", from, "error", err)
		return
	}
	g.directory.ApplyConfiguration(value, "peer "+from)
}
