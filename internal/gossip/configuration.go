package gossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"
)

// maxConfiguration bounds a configuration from a peer once it is unpacked, in bytes:
// far more than the store takes in a row.
const maxConfiguration = 16 << 20

// compressedConfiguration keeps the newest configuration as it is sent to peers, so
// that it is packed once and not for each of them. One of 1,400 routes, sent unpacked by
// each controller to its sixty nodes, fills their links for seconds.
type compressedConfiguration struct {
	version uint64
	packed  []byte
}

// of returns a configuration packed.
func (c *compressedConfiguration) of(version uint64, value []byte) []byte {
	if c.version != version {
		c.version, c.packed = version, pack(value)
	}
	return c.packed
}

// pack compresses a text.
func pack(value []byte) []byte {
	var out bytes.Buffer
	// The level is a valid constant, and a buffer takes all that is written.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// unpack is the reverse of pack; the error says that the text is broken or larger
// than the bound.
func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfiguration+1))
	if err != nil {
		return nil, oops.In("peers").Wrapf(err, "unpack a configuration")
	}
	if len(value) > maxConfiguration {
		return nil, oops.In("peers").Errorf("a configuration of over %d bytes", maxConfiguration)
	}
	return value, nil
}

// takeConfiguration takes one that a peer sent.
func (g *Gossiper) takeConfiguration(packed []byte, from string) {
	value, err := unpack(packed)
	if err != nil {
		g.log.Error("a peer's configuration cannot be read; the last one stays in force", "peer", from, "error", err)
		return
	}
	g.directory.ApplyConfiguration(value, "peer "+from)
}
