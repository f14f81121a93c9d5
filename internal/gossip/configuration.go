package gossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/samber/oops"
)

// maxConfigurationBytes bounds a decompressed configuration from a peer; it exceeds what the
// store accepts in a row.
const maxConfigurationBytes = 16 << 20

// compressedConfiguration caches the newest configuration in compressed form, so that it is
// compressed once and not for each peer. Uncompressed, a large one would saturate the links.
type compressedConfiguration struct {
	version uint64
	packed  []byte
}

// compress returns a configuration in compressed form.
func (c *compressedConfiguration) compress(version uint64, value []byte) []byte {
	if c.version != version {
		c.version, c.packed = version, pack(value)
	}
	return c.packed
}

func pack(value []byte) []byte {
	var out bytes.Buffer
	// The level is valid, and writing to a buffer never fails.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// unpack is the reverse of pack. It rejects corrupt data and configurations larger than
// maxConfigurationBytes.
func unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfigurationBytes+1))
	if err != nil {
		return nil, oops.In("peers").Wrapf(err, "decompress a configuration")
	}
	if len(value) > maxConfigurationBytes {
		return nil, oops.In("peers").Errorf("configuration exceeds %d bytes", maxConfigurationBytes)
	}
	return value, nil
}

// applyConfiguration applies a configuration from a peer.
func (g *Gossiper) applyConfiguration(packed []byte, from string) {
	value, err := unpack(packed)
	if err != nil {
		g.log.Error("failed to read a peer's configuration; keeping the current one", "peer", from, "error", err)
		return
	}
	g.directory.ApplyConfiguration(value, "peer "+from)
}
