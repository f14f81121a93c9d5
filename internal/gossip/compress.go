package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/samber/oops"
)

// maxDecompressedBytes bounds what is decompressed from a peer; it exceeds a configuration that the
// store accepts and the endpoint table.
const maxDecompressedBytes = 16 << 20

// compressors has unused writers, which are large.
var compressors = sync.Pool{New: func() any {
	// The level is valid.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

func compress(value []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// Writing to a buffer never fails.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// decompress is the reverse of compress. It rejects corrupt data and more than maxDecompressedBytes.
func decompress(compressed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, oops.In("peers").Wrapf(err, "decompress a part of a message")
	}
	if len(value) > maxDecompressedBytes {
		return nil, oops.In("peers").Errorf("a part of a message exceeds %d bytes", maxDecompressedBytes)
	}
	return value, nil
}
