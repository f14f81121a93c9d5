package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/zeebo/xxh3"
)

// Fingerprint identifies a request by its content; all attempts of a request share it.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request's parts, such as caller, path and
// body. Parts are length-prefixed, so that "ab", "c" and "a", "bc" differ.
func FingerprintOf(parts ...[]byte) Fingerprint {
	var hash xxh3.Hasher
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:]) // Writing to a hash never fails.
		_, _ = hash.Write(part)
	}
	return hash.Sum128().Bytes()
}

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(len(f)) {
		return f, fmt.Errorf("fingerprint %q: want %d hexadecimal digits", text, hex.EncodedLen(len(f)))
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return f, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	return f, nil
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
