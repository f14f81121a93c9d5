package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines buffered for a slow writer.
	queueCapacity = 1024
	// maxLinesPerSecond bounds the rate of lines, so that logging many failures
	// does not slow down requests.
	maxLinesPerSecond = 400
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// Bounded is a writer that never blocks its callers: lines beyond its queue or
// its rate are dropped, counted and reported.
type Bounded struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	second  int64
	lines   int
	dropped uint64
	total   uint64
}

// NewBounded returns a bounded writer to out; Close stops it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; each call must write one line.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	if now := time.Now().Unix(); now != b.second {
		b.second, b.lines = now, 0
	}
	b.lines++
	if b.lines > maxLinesPerSecond {
		b.drop()
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *Bounded) drop() {
	b.dropped++
	b.total++
	totalDropped.Add(1)
}

// totalDropped counts the dropped lines of all writers.
var totalDropped atomic.Uint64

// Dropped returns the number of lines that all writers have dropped.
func Dropped() uint64 { return totalDropped.Load() }

// Dropped returns the number of lines that this writer has dropped.
func (b *Bounded) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes the queued lines and stops the writer. It does not wait for a
// blocked underlying writer.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.queue)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(dropReportInterval):
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	next := time.Now().Add(dropReportInterval)
	for line := range b.queue {
		_, _ = b.out.Write(line)
		if now := time.Now(); now.After(next) {
			next = now.Add(dropReportInterval)
			b.reportDropped()
		}
	}
	b.reportDropped()
}

func (b *Bounded) reportDropped() {
	b.mu.Lock()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(b.out, "level=WARN msg=\"logging: lines were dropped\" lines=%d\n", dropped)
	}
}
