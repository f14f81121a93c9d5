package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/standin/streamlog"
	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

// StreamProfile is a deployment that serves streams on several routes.
type StreamProfile struct {
	Name string
	// Entries and Workers are the numbers of entry instances and model workers of each data centre.
	Entries, Workers int
	// Callers is the number of concurrent callers; a share of them reads slowly.
	Callers int
	Slow    float64
	// Routes are those of the streams.
	Routes []emulator.ModelRoute
	// Faults are those of the endpoints' answers.
	Faults emulator.StreamFaults
}

// StreamProfiles are the deployments of the rig.
var StreamProfiles = []StreamProfile{
	{Name: "small", Entries: 2, Workers: 10, Callers: 24, Slow: 0.3, Routes: streamRoutes(8, 6, 6),
		Faults: emulator.StreamFaults{Cut: 0.3, Spoilt: 0.15, Surplus: 0.15, Stalled: 0.03, MaxEventSize: 420}},
	{Name: "wide", Entries: 3, Workers: 10, Callers: 24, Slow: 0.3, Routes: streamRoutes(8, 5, 5),
		Faults: emulator.StreamFaults{Cut: 0.35, Spoilt: 0.15, Surplus: 0.15, Stalled: 0.04, MaxEventSize: 4000}},
	{Name: "large events", Entries: 2, Workers: 7, Callers: 16, Slow: 0.6, Routes: streamRoutes(8, 5, 5),
		Faults: emulator.StreamFaults{Cut: 0.3, Spoilt: 0.15, Surplus: 0.15, Stalled: 0.03, MaxEventSize: 21000}},
}

// streamRoutes returns routes with the given timeouts in seconds, the last of them without resumption.
func streamRoutes(drafts, chat, notes time.Duration) []emulator.ModelRoute {
	return []emulator.ModelRoute{
		{Host: "drafts.example", Priority: 1, Objective: 300 * time.Millisecond, Timeout: drafts * time.Second},
		{Host: "chat.example", Priority: 1, Objective: 200 * time.Millisecond, Timeout: chat * time.Second},
		{Host: "notes.example", Priority: 2, Objective: 500 * time.Millisecond, Timeout: notes * time.Second, Once: true},
	}
}

// SetStreamProfile configures the routes of a profile and its faults.
func (r *Run) SetStreamProfile(p StreamProfile) error {
	r.platform.SetModelRoutes(p.Routes...)
	r.platform.SetStreamFaults(p.Faults)
	r.configure()
	_, err := r.waitConfigured()
	return err
}

const (
	// eventPatience is how long callers wait for an event.
	eventPatience = 2 * time.Second
	// streamTries is the number of requests by which a caller tries to get a whole stream, and streamPause the time
	// between them.
	streamTries = 8
	streamPause = 100 * time.Millisecond
	// leaveShare is the share of requests that their callers leave in the middle.
	leaveShare = 0.1
)

// SendStreams calls streams from all callers of a profile until the context is done, and checks each of them.
func (r *Run) SendStreams(ctx context.Context, p StreamProfile) {
	var running sync.WaitGroup
	for i := range p.Callers {
		c := newStreamCaller(r, p, i)
		running.Go(func() {
			defer c.client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				c.call(n)
				time.Sleep(requestPause)
			}
		})
	}
	running.Wait()
}

// streamCaller calls one stream after another.
type streamCaller struct {
	run     *Run
	index   int
	routes  []emulator.ModelRoute
	random  *rand.Rand
	client  *http.Client
	isSlow  bool
	isFresh bool
}

func newStreamCaller(r *Run, p StreamProfile, index int) *streamCaller {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(400+index)))
	c := &streamCaller{run: r, index: index, routes: p.Routes, random: random, isSlow: random.Float64() < p.Slow, isFresh: random.IntN(3) == 0}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: c.isFresh}
	if c.isSlow {
		transport.DialContext = (&net.Dialer{Control: limitReceiveBuffer}).DialContext
	}
	c.client = &http.Client{Transport: transport}
	return c
}

// slowReceiveBuffer is the receive buffer of slow callers, so that the other side notices them.
const slowReceiveBuffer = 4 << 10

func limitReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
	})
	return errors.Join(err, setErr)
}

// streamRequest is one of the requests for a stream.
type streamRequest struct {
	id    string
	name  string
	route emulator.ModelRoute
	after int
	// leaveAfter is the number of bytes after which the caller leaves, or 0.
	leaveAfter int
}

// streamResult is what came of it.
type streamResult struct {
	// status is 0 if there was no response that is one to the request.
	status int
	body   string
	end    streamlog.End
}

// call gets a stream, by several requests if it has to, and checks it.
func (c *streamCaller) call(n int) {
	route := c.routes[c.random.IntN(len(c.routes))]
	stream := streamlog.Stream{Name: fmt.Sprintf("s-%d-%d", c.index, n)}
	stream.Total = emulator.StreamTotal(stream.Name)
	var attempts []streamlog.Attempt
	var logged []string
	outcome := "out of tries"
	after := 0
	for try := range streamTries {
		request := streamRequest{id: fmt.Sprintf("%s-%d", stream.Name, try), name: stream.Name, route: route, after: after}
		if c.random.Float64() < leaveShare {
			request.leaveAfter = 1 + c.random.IntN(4000)
		}
		p := c.run.entries[c.random.IntN(len(c.run.entries))]
		result := c.send(p, request)
		c.run.count("stream attempts")
		if after > 0 {
			c.run.count("stream resumptions")
		}
		logged = append(logged, fmt.Sprintf("%s at %s after %d: status %d, end %d, %d bytes", request.id, p.name, after, result.status, result.end, len(result.body)))
		if result.status == http.StatusOK {
			attempts = append(attempts, streamlog.Attempt{After: after, Body: result.body, End: result.end})
			after = streamlog.LastID(after, result.body)
			if result.end == streamlog.Complete {
				outcome = "whole"
				break
			}
			if route.Once {
				outcome = "broken on a route without resumption"
				break
			}
		} else if route.Once && result.status != http.StatusServiceUnavailable && result.status != http.StatusTooManyRequests {
			outcome = "failed on a route without resumption"
			break
		}
		if result.end == streamlog.Left && request.leaveAfter > 0 && c.random.IntN(2) == 0 {
			outcome = "left"
			break
		}
		time.Sleep(streamPause)
	}
	c.run.count("streams " + outcome)
	for _, v := range streamlog.Check(stream, attempts) {
		c.run.count("violation: " + string(v.Kind))
		c.run.recordViolation("stream %s of %s (%d events): %s; %q", stream.Name, route.Host, stream.Total, v, logged)
	}
}

// send sends one request for a stream and reads the response as the caller does.
func (c *streamCaller) send(p *process, s streamRequest) streamResult {
	request, err := emulator.NewRequest(p.callerAddress, s.route.Host, s.id, s.route.Timeout, emulator.StreamBody(s.name, !s.route.Once))
	if err != nil {
		c.run.recordViolation("test harness: %v", err)
		return streamResult{}
	}
	emulator.SetParts(request, firstPart, s.name)
	if s.after > 0 {
		emulator.SetLastEvent(request, s.after)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.route.Timeout)
	defer cancel()
	patience := time.AfterFunc(eventPatience, cancel)
	defer patience.Stop()
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		c.run.count("stream without a response")
		return streamResult{}
	}
	defer response.Body.Close()
	result := streamResult{status: response.StatusCode}
	c.run.count(fmt.Sprint("stream status ", result.status))
	if !c.run.isStreamStatus(response) {
		c.run.recordViolation("stream request %s got status %d", s.id, result.status)
	}
	if result.status != http.StatusOK {
		return result
	}
	if echo := emulator.RequestID(response.Header); echo != s.id {
		c.run.count("violation: head of another request")
		c.run.recordViolation("stream request %s got the response to %q", s.id, echo)
	}
	if kind := response.Header.Get("Content-Type"); kind != emulator.StreamType {
		// Its end would end the stream as complete.
		c.run.count("violation: success that is no stream")
		c.run.recordViolation("stream request %s after event %d got a success of type %q", s.id, s.after, kind)
		result.status = 0
		return result
	}
	result.body, result.end = c.read(response.Body, s.leaveAfter, func() { patience.Reset(eventPatience) })
	if result.end != streamlog.Complete && ctx.Err() != nil {
		result.end = streamlog.Left
		c.run.count("stream given up")
	}
	if result.end == streamlog.Left && ctx.Err() == nil {
		c.run.count("stream left in the middle")
	}
	if result.end == streamlog.Broken {
		c.run.count("stream broken")
	}
	return result
}

// isStreamStatus reports whether a response has a status that a valid request may get.
func (r *Run) isStreamStatus(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	}
	// A failure of a disturbed endpoint is passed on if the request is not retried.
	return r.platform.Disturbed() > 0 && emulator.IsSigned(response.Header)
}

// read reads a response. It calls progress after each event.
func (c *streamCaller) read(from io.Reader, leaveAfter int, progress func()) (string, streamlog.End) {
	var body []byte
	size := 32 << 10
	if c.isSlow {
		size = 512
	}
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		body = append(body, buffer[:n]...)
		if bytes.Contains(body[max(0, len(body)-n-1):], []byte("\n\n")) {
			progress()
		}
		switch {
		case errors.Is(err, io.EOF):
			return string(body), streamlog.Complete
		case err != nil:
			return string(body), streamlog.Broken
		case leaveAfter > 0 && len(body) >= leaveAfter:
			return string(body), streamlog.Left
		}
		if c.isSlow {
			time.Sleep(time.Duration(1+c.random.IntN(6)) * time.Millisecond)
		}
	}
}

// StreamSummary returns the counts of callers and endpoints, in order.
func (r *Run) StreamSummary() []string {
	var lines []string
	for what, n := range r.platform.StreamCounts() {
		lines = append(lines, fmt.Sprintf("endpoints: %s: %d", what, n))
	}
	for what, n := range r.Counts() {
		lines = append(lines, fmt.Sprintf("callers: %s: %d", what, n))
	}
	slices.Sort(lines)
	return lines
}
