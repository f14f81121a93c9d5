package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	smallAnswer = 800
	largeAnswer = 300_000
	// Each unframedEvery-th answer of one of three workers has neither a length nor chunks, for
	// unframedTime.
	unframedEvery = 20
	unframedTime  = 5 * time.Second
	// framingTraffic is how long clients send requests, and framingCalm the part of it before the
	// disruption.
	framingTraffic = 15 * time.Second
	framingCalm    = 3 * time.Second
	framingClients = 36
	framingPause   = 20 * time.Millisecond
)

// caseFraming checks MIXED: each success has the whole body of the worker's answer to this request.
// A third of the clients get large answers, the others small ones.
func caseFraming(e *environment, trouble bool) (verdict, error) {
	var unframed atomic.Bool
	answers, sent := atomic.Int64{}, atomic.Int64{}
	handle := func(w *worker, r *http.Request, _ []byte) answer {
		id := r.Header.Get(headerID)
		a := answer{status: http.StatusOK, body: bodyOf(id, answerSize(r.URL.Path))}
		if w.id == e.workers[0].id && unframed.Load() && answers.Add(1)%unframedEvery == 0 {
			sent.Add(1)
			a.framing = framedByClose
		}
		return a
	}
	if err := e.startAll(len(zones), manySlots, handle, []route{shopRoute("order-page", "non_idempotent"), shopRoute("box-status", "idempotent")}); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.AfterFunc(framingCalm, func() {
			e.record("%s leaves each %dth of its answers without a length", e.workers[0].id, unframedEvery)
			unframed.Store(true)
		})
		time.AfterFunc(framingCalm+unframedTime, func() {
			unframed.Store(false)
			e.record("%s gives each answer a length again", e.workers[0].id)
		})
	}
	var mu sync.Mutex
	var v verdict
	kinds := map[string]int{}
	var running sync.WaitGroup
	until := time.Now().Add(framingTraffic)
	for i := range framingClients {
		running.Go(func() {
			c := newClient(e, fmt.Sprintf("c%d", i), e.machines[i%len(e.machines)], shopDeadline)
			method, path := "POST", "/order-page/1"
			if i/len(e.machines)%3 == 0 {
				method, path = "GET", largePath
			}
			for time.Now().Before(until) {
				r := c.send(method, path, nil)
				kind, isViolation := judgeAnswer(r, bodyOf(r.id, answerSize(path)))
				mu.Lock()
				kinds[kind]++
				if isViolation {
					v.violations = append(v.violations, fmt.Sprintf("%s (%s): %s: answer of %q, %d bytes, error %v", r.id, path, kind, r.answered, len(r.body), r.err))
				}
				mu.Unlock()
				time.Sleep(framingPause)
			}
		})
	}
	running.Wait()
	v.summary = fmt.Sprintf("%d of %d answers without a length; clients saw %v", sent.Load(), answers.Load(), kinds)
	return v, nil
}

const largePath = "/box-status/large"

func answerSize(path string) int {
	if path == largePath {
		return largeAnswer
	}
	return smallAnswer
}

// judgeAnswer says what a client got, and whether that breaks MIXED. An answer that was cut off, or that
// did not come, does not.
func judgeAnswer(r result, want []byte) (kind string, isViolation bool) {
	isSuccess := r.status >= 200 && r.status < 300
	switch {
	case r.err == nil && isSuccess && r.answered != r.id:
		return "the answer of another request", true
	case r.err == nil && isSuccess && r.signature == "":
		return "a success without a signature", true
	case r.err == nil && isSuccess && !bytes.Equal(r.body, want):
		return "a success with another body", true
	case r.err == nil && isSuccess:
		return "the whole answer", false
	case r.err == nil:
		return fmt.Sprintf("status %d", r.status), false
	case r.took >= shopDeadline:
		return "no end before the deadline", false
	case errors.Is(r.err, io.ErrUnexpectedEOF), errors.Is(r.err, io.EOF):
		return "a closed connection", false
	}
	return "bytes that are no answer", true
}

// bodyOf returns the body that a worker's answer to a request has: it consists of the request's ID.
func bodyOf(id string, size int) []byte {
	return []byte(strings.Repeat(id+"\n", size/(len(id)+1)+1))[:size]
}
