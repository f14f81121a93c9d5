package httpserver

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

// unmarkedWriter writes a response with neither a length nor chunks. It uses the connection in place of nbhttp, which
// gives each response one of them.
type unmarkedWriter struct{ conn net.Conn }

// newUnmarkedWriter takes the connection of a response over from nbhttp, or returns nil if it is not nbhttp's.
func newUnmarkedWriter(w http.ResponseWriter) *unmarkedWriter {
	response := responseOf(w)
	if response == nil || response.Parser == nil || response.Parser.Conn == nil {
		return nil
	}
	conn, _, err := response.Hijack()
	if err != nil {
		return nil
	}
	// Any close but that of end must not look like the end of the response, also if this process is killed.
	link.ResetOnClose(unwrap(conn), true)
	return &unmarkedWriter{conn}
}

// writeHead sends the status and the header.
func (u *unmarkedWriter) writeHead(status int, header http.Header) error {
	header = header.Clone()
	header.Del("Content-Length")
	header.Del("Transfer-Encoding")
	header.Set("Connection", "close")
	header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if err := header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	return u.write(head.Bytes())
}

// write returns once the bytes have been passed on or wait for the caller.
func (u *unmarkedWriter) write(p []byte) error {
	_, err := u.conn.Write(p)
	return err
}

// end closes the connection once the caller has read the response, and resets it if the caller has stopped reading.
func (u *unmarkedWriter) end() {
	if limited, ok := u.conn.(*limitedConn); ok && !limited.state.writes.awaitDrained() {
		u.abort()
		return
	}
	link.ResetOnClose(unwrap(u.conn), false)
	_ = u.conn.Close()
}

// abort resets the connection, since a close would look like the end of the response.
func (u *unmarkedWriter) abort() { _ = unwrap(u.conn).Close() }
