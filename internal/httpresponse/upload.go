package httpresponse

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Upload is the write of a request, which may last longer than its response.
//
// A socket reports a reset once. If the writer of a request gets it, the reader sees an ordinary end, which completes a
// response without framing. Such an end counts only once the upload has succeeded.
type Upload struct {
	once sync.Once
	// done is closed once the upload has ended; err is set before.
	done chan struct{}
	err  error
}

// NewUpload returns an upload that has begun.
func NewUpload() *Upload { return &Upload{done: make(chan struct{})} }

// End ends the upload, unless it has ended already.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// Wait returns the error of the upload once it has ended.
func (u *Upload) Wait() error {
	<-u.done
	return u.err
}

// Succeeded reports whether all of the request is written.
func (u *Upload) Succeeded() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// conn is a connection whose reader sees the end only once the request on it is written. http.Transport stops an upload at
// the end of the response, so its callers cannot wait themselves.
type conn struct {
	net.Conn
	upload atomic.Pointer[Upload]
}

// begin returns the upload of the next request.
func (c *conn) begin() *Upload {
	next := NewUpload()
	if previous := c.upload.Swap(next); previous != nil {
		previous.End(nil)
	}
	return next
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	upload := c.upload.Load()
	if upload == nil || !errors.Is(err, io.EOF) {
		return n, err
	}
	if failed := upload.Wait(); failed != nil {
		return n, failed
	}
	return n, err
}

// Close closes the connection. An upload that has not begun to write never would.
func (c *conn) Close() error {
	if upload := c.upload.Load(); upload != nil {
		upload.End(net.ErrClosed)
	}
	return c.Conn.Close()
}
