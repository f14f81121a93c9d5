package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait for a slow reader at most.
	queueLines = 1024
	// linesPerSecond bounds the lines written, so that a flood of failures
	// does not cost the time that serving needs.
	linesPerSecond = 400
	// droppedEvery is the time between two lines about lines dropped.
	droppedEvery = time.Second
)

// Bounded is a writer that never blocks its callers: lines beyond its queue or
// its rate are dropped, counted, and told of.
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

// NewBounded returns a writer before another one; Close ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; it takes one line.
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
	if b.lines > linesPerSecond {
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
	droppedLines.Add(1)
}

// droppedLines counts over all writers of the process.
var droppedLines atomic.Uint64

// Dropped returns how many lines this process has dropped.
func Dropped() uint64 { return droppedLines.Load() }

// Dropped returns how many lines were dropped so far.
func (b *Bounded) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes what is queued and ends the writer. It does not wait for a
// reader that stands still.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.queue)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(droppedEvery):
	}
}

func (b *Bounded) run() {
	defer close(b.done)
	next := time.Now().Add(droppedEvery)
	for line := range b.queue {
		_, _ = b.out.Write(line)
		if now := time.Now(); now.After(next) {
			next = now.Add(droppedEvery)
			b.tellDropped()
		}
	}
	b.tellDropped()
}

func (b *Bounded) tellDropped() {
	b.mu.Lock()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		_, _ = fmt.Fprintf(b.out, "level=WARN msg=\"logging: lines were dropped\" lines=%d\n", dropped)
	}
}
