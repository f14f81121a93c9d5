package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// client is one client with a connection of its own, which it keeps.
type client struct {
	e      *environment
	name   string
	target *machine
	http   *http.Client
	sent   int
	// deadline is how long the client waits for an answer.
	deadline time.Duration
}

func newClient(e *environment, name string, target *machine, deadline time.Duration) *client {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &client{e: e, name: name, target: target, deadline: deadline, http: &http.Client{Transport: transport}}
}

// result is what a client saw of a request.
type result struct {
	id     string
	status int
	// answered is the X-Attempt-Id of the answer.
	answered  string
	signature string
	body      []byte
	// err is set if there was no answer or it did not end as HTTP/1.1 asks.
	err  error
	took time.Duration
}

// send sends one request and reads the whole answer.
func (c *client) send(method, path string, body []byte) result {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r := result{id: id}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.target.frontend+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	request.Host = host
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadline, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	c.e.record("send %s to %s: %s %s, %d bytes", id, c.target.zone, method, path, len(body))
	response, err := c.http.Do(request)
	if err == nil {
		r.status, r.answered, r.signature = response.StatusCode, response.Header.Get(headerID), response.Header.Get(headerSignature)
		r.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	r.err, r.took = err, time.Since(start)
	c.e.record("seen %s: status %d, id %q, signature %q, %d bytes, error %v, %.0f ms", id, r.status, r.answered, r.signature, len(r.body), r.err, float64(r.took.Microseconds())/1000)
	return r
}
