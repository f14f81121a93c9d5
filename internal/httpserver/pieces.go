package httpserver

import (
	"net/http"
	"strconv"

	"github.com/lesismal/nbio/nbhttp"
)

// nbhttp collects a response without a length in a buffer from a pool. If a write makes it reach 64 KiB, nbhttp returns
// the buffer to the pool and goes on to use it (Response.writeChunk of nbio v1.6.8, the newest version): other
// connections then get each other's responses.

const (
	// maxBuffered is the most that nbhttp may collect, with the head and the next piece.
	maxBuffered = 48 << 10
	// maxPiece bounds the bytes of one write.
	maxPiece = 16 << 10
	// chunkOverhead is at least the bytes that a chunk has beside its data.
	chunkOverhead = 16
	// statusLineBytes is at least the size of a status line with the headers that nbhttp adds.
	statusLineBytes = 256
)

// pieceWriter writes a response so that nbhttp never collects 64 KiB of it.
type pieceWriter struct {
	response     *nbhttp.Response
	begun, sized bool
	// head is set for a response to HEAD, whose body is counted and dropped: nbhttp would send it.
	head    bool
	dropped int
	// noChunks is set if the response cannot be sent in chunks: HTTP/1.0 has none, and nbhttp would send the last one
	// after a response to HEAD.
	noChunks bool
	// buffered is at least what nbhttp has collected.
	buffered int
}

// writeInPieces makes a handler's responses go through a pieceWriter.
func writeInPieces(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, ok := w.(*nbhttp.Response)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		head := r.Method == http.MethodHead
		p := &pieceWriter{response: response, head: head, noChunks: head || !r.ProtoAtLeast(1, 1)}
		defer closeAfterPanic(response)
		h.ServeHTTP(p, r)
		p.end()
	})
}

// closeAfterPanic closes the connection of a handler that panics: nbio goes on with the next request, and its response
// would be read as the rest of this one.
func closeAfterPanic(response *nbhttp.Response) {
	if cause := recover(); cause != nil {
		_ = unwrap(response.Parser.Conn).Close()
		panic(cause)
	}
}

// responseOf returns nbhttp's response of one that a handler gets, or nil.
func responseOf(w http.ResponseWriter) *nbhttp.Response {
	switch w := w.(type) {
	case *pieceWriter:
		return w.response
	case *nbhttp.Response:
		return w
	}
	return nil
}

// lacksChunks reports whether a response without a length cannot be sent in chunks.
func lacksChunks(w http.ResponseWriter) bool {
	p, ok := w.(*pieceWriter)
	return ok && p.noChunks
}

// Header implements http.ResponseWriter.
func (p *pieceWriter) Header() http.Header { return p.response.Header() }

// WriteHeader implements http.ResponseWriter.
func (p *pieceWriter) WriteHeader(status int) { p.response.WriteHeader(status) }

// Write implements http.ResponseWriter.
func (p *pieceWriter) Write(b []byte) (int, error) {
	if p.head {
		p.dropped += len(b)
		return len(b), nil
	}
	p.begin()
	if p.sized {
		// The number that nbhttp returns includes earlier writes.
		if _, err := p.response.Write(b); err != nil {
			return 0, err
		}
		return len(b), nil
	}
	done := 0
	for done < len(b) {
		piece := b[done:min(len(b), done+maxPiece)]
		if p.buffered+len(piece)+chunkOverhead > maxBuffered {
			p.Flush()
		}
		if _, err := p.response.Write(piece); err != nil {
			return done, err
		}
		done += len(piece)
		p.buffered += len(piece) + chunkOverhead
	}
	return done, nil
}

// WriteString implements io.StringWriter.
func (p *pieceWriter) WriteString(s string) (int, error) { return p.Write([]byte(s)) }

// begin counts the head, which nbhttp collects too.
func (p *pieceWriter) begin() {
	if p.begun {
		return
	}
	p.begun = true
	p.sized = p.Header().Get("Content-Length") != ""
	p.buffered = statusLineBytes
	for name, values := range p.Header() {
		for _, value := range values {
			p.buffered += len(name) + len(value) + len(": \r\n")
		}
	}
}

// Flush implements http.Flusher.
func (p *pieceWriter) Flush() {
	if p.head {
		return
	}
	p.begin()
	p.response.Flush()
	p.buffered = 0
}

// end is called when the handler has returned. It gives a response to HEAD the length that keeps nbhttp from chunks.
func (p *pieceWriter) end() {
	if p.head && p.Header().Get("Content-Length") == "" {
		p.Header().Set("Content-Length", strconv.Itoa(p.dropped))
	}
}
