package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// refusal is the failure that the failing worker answers with, unless STATUS names another one.
	refusal = http.StatusGone
	// spliceWorkers is the number of workers, one of which fails refusals of each refusalsOf requests.
	spliceWorkers = 8
	refusals      = 2
	refusalsOf    = 5
	// failingFor is how long that lasts.
	failingFor    = 6 * time.Second
	spliceStreams = 60
	// spliceSilence is when another worker falls silent for a second after the streams have begun.
	spliceSilence = time.Second
)

// manySlots are as many slots as any case has requests at once.
const manySlots = 60

// caseSplice checks ORDER and MIXED: a stream that ends as a complete answer has all its events and
// nothing else.
func caseSplice(e *environment, trouble bool) (verdict, error) {
	status := refusal
	if text := os.Getenv("STATUS"); text != "" {
		var err error
		if status, err = strconv.Atoi(text); err != nil {
			return verdict{}, err
		}
	}
	events := &stream{count: 25, pause: 120 * time.Millisecond}
	var mu sync.Mutex
	fails, failed, asked := false, 0, 0
	handle := func(w *worker, _ *http.Request, _ []byte) answer {
		mu.Lock()
		defer mu.Unlock()
		isFailing := w.id == e.workers[1].id && fails
		if isFailing {
			asked++
		}
		// The last ones of each series fail, so that never more than the share have failed.
		if isFailing && (asked-1)%refusalsOf >= refusalsOf-refusals {
			failed++
			return answer{status: status, body: []byte(`{"error":"no such letter"}` + "\n")}
		}
		return answer{status: http.StatusOK, stream: events}
	}
	if err := e.startAll(spliceWorkers, manySlots, handle, []route{letterRoute()}); err != nil {
		return verdict{}, err
	}
	time.Sleep(runtimeBeforeSilence)
	setFails := func(value bool) {
		mu.Lock()
		defer mu.Unlock()
		fails = value
		e.record("%s fails requests: %t", e.workers[1].id, value)
	}
	if trouble {
		setFails(true)
		time.AfterFunc(failingFor, func() { setFails(false) })
	}
	var v verdict
	seen := map[string]int{}
	var running sync.WaitGroup
	for i := range spliceStreams * len(e.machines) {
		running.Go(func() {
			c := newClient(e, fmt.Sprintf("c%d", i), e.machines[i%len(e.machines)], streamDeadline)
			r := c.send("POST", "/weekly-letter/1", []byte("a letter"))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.err != nil:
				seen["cut off"]++
			case r.status != http.StatusOK:
				seen[fmt.Sprintf("status %d", r.status)]++
			case bytes.Equal(r.body, events.body(r.id)):
				seen["the whole stream"]++
			default:
				seen["another stream that looks complete"]++
				v.violations = append(v.violations, fmt.Sprintf("%s: status %d, a complete answer that ends with %q", r.id, r.status, r.body[max(0, len(r.body)-70):]))
			}
		})
	}
	time.Sleep(spliceSilence)
	e.record("%s is silent for %s", e.workers[0].id, silence)
	e.workers[0].fallSilent(silence)
	running.Wait()
	v.summary = fmt.Sprintf("%d of %d requests at one of %d workers failed with %d; clients saw %v", failed, asked, spliceWorkers, status, seen)
	return v, nil
}

// body returns all events of the stream that answers a request.
func (s *stream) body(id string) []byte {
	var out bytes.Buffer
	for n := 1; n <= s.count; n++ {
		out.WriteString(eventOf(id, n))
	}
	return out.Bytes()
}
