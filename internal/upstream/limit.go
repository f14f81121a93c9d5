package upstream

import "io"

// unlimited is the limit of a limitedReader that has none.
const unlimited = -1

// limitedReader reads from a connection. Unlike an io.LimitedReader it fails beyond its limit, and the limit
// changes with what is read.
type limitedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read, or unlimited.
	left int
}

// swap sets the limit, and returns what was left of the previous one.
func (l *limitedReader) swap(limit int) (left int) {
	left, l.left = l.left, limit
	return left
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	switch {
	case l.left == unlimited:
		return l.source.Read(p)
	case l.left == 0:
		return 0, ErrTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
