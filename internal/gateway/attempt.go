package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/continuation"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

const (
	stallCheckInterval = time.Second
	// stallTimeout ends a response without progress even if its group is complete.
	stallTimeout  = 60 * time.Second
	cancelTimeout = time.Second
	copyBuffer    = 16 << 10
)

// send checks the invariants immediately before sending the request.
func (c *call) send(ctx context.Context, target routing.Target, call engine.Call) (*http.Response, error) {
	now := time.Now()
	if !now.Before(target.Until) {
		// The target has expired since it was chosen, for example because the
		// process was paused.
		return nil, engine.ErrNotRun
	}
	invariant.Check(c.parsed.repeatable || !c.mayHaveRun, invariant.AtMostOnce, "request %s, attempt %s", c.id, call.Attempt)
	invariant.Check(now.Before(target.Until), invariant.GroupComplete, "request %s on group %s", c.id, target.Group)
	invariant.Check(!target.Draining, invariant.NoNewWork, "request %s on group %s", c.id, target.Group)
	c.attempts++
	response, err := c.g.options.Engine.Do(ctx, call)
	if !errors.Is(err, engine.ErrNotRun) {
		c.mayHaveRun = true
	}
	return response, err
}

// attemptChat has a group generate the response, or the rest of it after an
// earlier attempt failed.
func (c *call) attemptChat(ctx context.Context, cancel context.CancelCauseFunc, target routing.Target, attempt string) attemptResult {
	watchdog := c.startWatchdog(cancel, target)
	defer watchdog.stop()
	from := len(c.tokens)
	response, err := c.send(ctx, target, engine.Call{
		Method:     http.MethodPost,
		Address:    target.Address,
		Path:       engine.PathChat,
		Header:     c.forwardedHeader(),
		Body:       c.chatBody(),
		Attempt:    attempt,
		Group:      target.Group,
		Fence:      fleet.Fence{Epoch: target.Epoch, Generation: target.Generation},
		ResumeFrom: from,
		Priority:   int(c.parsed.priority),
		NoRetry:    !c.parsed.repeatable,
	})
	if err != nil {
		return c.attemptError(ctx, target, attempt, err)
	}
	defer response.Body.Close()
	position := continuation.Position{Begun: from > 0, MediaType: continuation.EventStream}
	if err := position.CheckHead(response.StatusCode, response.Header); err != nil {
		return c.attemptError(ctx, target, attempt, err)
	}
	if response.StatusCode != http.StatusOK {
		return c.handleEngineError(response)
	}
	stream := engine.NewStream(response.Body, attempt, from)
	for {
		event, err := stream.Read()
		if err != nil {
			return c.attemptError(ctx, target, attempt, err)
		}
		watchdog.reset()
		if event.Done {
			c.recordSuccess()
			c.finishChat()
			return attemptResponded
		}
		if len(event.Content) == 0 {
			continue
		}
		c.checkNext(stream.Next, attempt)
		if c.emit(event.Content) != nil {
			c.cancelAttempt(target, attempt)
			c.outcome = OutcomeCallerGone
			return attemptResponded
		}
	}
}

// checkNext asserts that a token is the next one of this response. The
// arguments are passed only on failure, to avoid an allocation per token.
func (c *call) checkNext(next int, attempt string) {
	if next == len(c.tokens)+1 {
		invariant.Check(true, invariant.OwnResponse, "")
		return
	}
	invariant.Check(false, invariant.OwnResponse, "request %s, attempt %s: token %d after %d", c.id, attempt, next, len(c.tokens))
}

// attemptError classifies a failed attempt and cancels it at the endpoint. A
// disconnected caller, an expired deadline or the stop of this node ends the request.
func (c *call) attemptError(ctx context.Context, target routing.Target, attempt string, err error) attemptResult {
	notRun := errors.Is(err, engine.ErrNotRun)
	if !notRun {
		c.cancelAttempt(target, attempt)
	}
	cause := context.Cause(ctx)
	if isOver(cause) || errors.Is(cause, context.DeadlineExceeded) {
		c.failContextDone(ctx)
		return attemptResponded
	}
	c.g.links.RecordTrouble(target.Address)
	c.log.Info("an attempt failed", "attempt", attempt, "group", string(target.Group), "error", err, "cause", cause)
	if notRun {
		return attemptNotRun
	}
	c.reportBroken(target)
	return attemptBroken
}

// cancelAttempt frees the endpoint's slot in the background.
func (c *call) cancelAttempt(target routing.Target, attempt string) {
	if !c.parsed.chat {
		return
	}
	client := c.g.options.Engine
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = client.Cancel(ctx, target.Address, attempt)
	}()
}

// handleEngineError handles a response that is not a stream. A 4xx response
// is passed on to the caller; anything else is a failed attempt.
func (c *call) handleEngineError(response *http.Response) attemptResult {
	if response.StatusCode < http.StatusBadRequest || response.StatusCode >= http.StatusInternalServerError {
		return attemptBroken
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, copyBuffer))
	c.fail(errorResponse{response.StatusCode, "engine", string(text), OutcomeRan, 0})
	return attemptResponded
}

// forwardedHeader returns the caller's headers that are passed on to
// endpoints. The workspace's key is not among them.
func (c *call) forwardedHeader() http.Header {
	h := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", HeaderKey} {
		if value := c.in.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	h.Set(HeaderRequestID, c.id)
	return h
}

// chatBody always requests a stream, and passes the text so far when it
// resumes a response that another endpoint started.
func (c *call) chatBody() []byte {
	fields := make(map[string]json.RawMessage, len(c.parsed.fields)+2)
	for name, value := range c.parsed.fields {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage("true")
	if len(c.tokens) > 0 {
		text, _ := json.Marshal(engine.Join(c.tokens))
		fields["ridgehinge_text_so_far"] = text
	}
	// Raw messages decoded from JSON always encode.
	body, _ := json.Marshal(fields)
	return body
}

// emit records the next token and writes it if the caller asked for a stream.
func (c *call) emit(content json.RawMessage) error {
	now := time.Now()
	if len(c.tokens) == 0 {
		c.class.FirstToken.RecordDuration(now.Sub(c.start))
	} else {
		c.class.BetweenTokens.RecordDuration(now.Sub(c.lastToken))
	}
	c.lastToken = now
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = now
	}
	c.tokens = append(c.tokens, content)
	if !c.parsed.stream {
		return nil
	}
	c.beginStream()
	return c.out.Write(c.chunk(content, ""))
}

func (c *call) beginStream() {
	if c.headerSent {
		return
	}
	c.headerSent = true
	header := http.Header{}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequestID, c.id)
	c.out.Begin(http.StatusOK, header)
}

// chunk returns one event of the caller's stream. It is built by hand because
// it runs for every token. Neither the id nor the model needs escaping: both
// are validated names.
func (c *call) chunk(content json.RawMessage, finish string) []byte {
	b := make([]byte, 0, 192+len(content))
	b = append(b, `data: {"id":"`...)
	b = append(b, c.id...)
	b = append(b, `","object":"chat.completion.chunk","model":"`...)
	b = append(b, c.parsed.model...)
	b = append(b, `","choices":[{"index":0,"delta":{`...)
	if content != nil && len(c.tokens) == 1 {
		// Client libraries read the role from the first event only.
		b = append(b, `"role":"assistant",`...)
	}
	if content != nil {
		b = append(b, `"content":`...)
		b = append(b, content...)
	}
	b = append(b, `},"finish_reason":`...)
	if finish == "" {
		b = append(b, "null"...)
	} else {
		b = strconv.AppendQuote(b, finish)
	}
	return append(b, "}]}\n\n"...)
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const finishStop = "stop"

// finishChat ends a response that the endpoint has marked as complete.
func (c *call) finishChat() {
	c.outcome = OutcomeServed
	if c.parsed.stream {
		c.beginStream()
		_ = c.out.Write(append(c.chunk(nil, finishStop), "data: [DONE]\n\n"...))
		c.out.End()
		return
	}
	body, _ := json.Marshal(completion{
		ID:     c.id,
		Object: "chat.completion",
		Model:  c.parsed.model,
		Choices: []completionChoice{{
			Message:      message{Role: "assistant", Content: engine.Join(c.tokens)},
			FinishReason: finishStop,
		}},
		Usage: usage{len(c.tokens)},
	})
	body = append(body, '\n')
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequestID, c.id)
	c.headerSent = true
	c.out.Begin(http.StatusOK, header)
	_ = c.out.Write(body)
	c.out.End()
}

// attemptPlain sends the request to a plain service and passes its response
// on unchanged.
func (c *call) attemptPlain(ctx context.Context, target routing.Target, attempt string) attemptResult {
	response, err := c.send(ctx, target, engine.Call{
		Method:   c.in.Method,
		Address:  target.Address,
		Path:     c.parsed.path,
		Header:   c.forwardedHeader(),
		Body:     c.in.Body,
		Attempt:  attempt,
		Priority: int(c.parsed.priority),
		NoRetry:  !c.parsed.repeatable,
	})
	if err != nil {
		return c.attemptError(ctx, target, attempt, err)
	}
	defer response.Body.Close()
	c.g.lastEvent.Store(time.Now().UnixNano())
	if !httpserver.IsKnownStatus(response.StatusCode) {
		c.fail(errorResponse{http.StatusBadGateway, "status", fmt.Sprintf("the endpoint responded with status %d, which cannot be passed on", response.StatusCode), OutcomeRan, 0})
		return attemptResponded
	}
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Length", "Location", "Cache-Control", "Etag"} {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(HeaderRequestID, c.id)
	header.Set(HeaderOutcome, string(OutcomeRan))
	c.class.FirstToken.RecordDuration(time.Since(c.start))
	c.headerSent = true
	c.out.Begin(response.StatusCode, header)
	return c.copyPlain(response, target)
}

func (c *call) copyPlain(response *http.Response, target routing.Target) attemptResult {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && c.out.Write(buffer[:n]) != nil {
			c.outcome = OutcomeCallerGone
			c.out.Abort()
			return attemptResponded
		}
		if errors.Is(err, io.EOF) && !c.crashedAtUnmarkedEnd(response, target) {
			if showsEndpointSurvived(response) {
				c.recordSuccess()
			}
			c.outcome = OutcomeServed
			c.out.End()
			return attemptResponded
		}
		if err != nil {
			// The status has been sent already, so closing the connection is
			// the only way to mark the response as incomplete.
			c.reportBroken(target)
			c.outcome = OutcomeUnknown
			c.out.Abort()
			return attemptResponded
		}
	}
}

// unmarkedEndProbe bounds the dial that tells a finished response from that of a crashed endpoint.
const unmarkedEndProbe = time.Second

// crashedAtUnmarkedEnd reports whether a response ended with its connection only, and nothing listens at its
// endpoint's address any more: a crash closes connections too. An endpoint that is leaving may have stopped listening, and a
// node whose links are lost is refused by all.
func (c *call) crashedAtUnmarkedEnd(response *http.Response, target routing.Target) bool {
	if isDelimited(response) || c.in.Method == http.MethodHead || !c.g.isTarget(target.Address) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), unmarkedEndProbe)
	defer cancel()
	refused := errors.Is(c.g.dialEndpoint(ctx, target.Address), syscall.ECONNREFUSED)
	crashed := refused && c.g.links.Confirm(ctx, target.Address)
	if crashed {
		c.log.Info("the endpoint has crashed at the unmarked end of its response", "endpoint", target.Address)
	}
	return crashed
}

// watchdog cancels an attempt when its group is no longer complete or its response stalls, once another group has
// a place for the response: the group may still go on. A frozen instance keeps its connections open, so connection
// errors alone don't reveal it.
type watchdog struct {
	gateway *Gateway
	timer   *time.Timer
	// lastEvent is when the last event arrived, in Unix nanoseconds.
	lastEvent atomic.Int64
}

func (c *call) startWatchdog(cancel context.CancelCauseFunc, target routing.Target) *watchdog {
	w := &watchdog{gateway: c.g}
	w.lastEvent.Store(time.Now().UnixNano())
	// The timer starts only after w.timer is set, because its function uses
	// that field.
	w.timer = time.AfterFunc(time.Hour, func() {
		sinceLastEvent := time.Since(time.Unix(0, w.lastEvent.Load()))
		stalled := sinceLastEvent > stallTimeout || !groupComplete(c.g.snapshot.Load(), target)
		if stalled && c.reserveNext(target) {
			cancel(errStalled)
			return
		}
		w.timer.Reset(stallCheckInterval)
	})
	w.timer.Reset(stallCheckInterval)
	return w
}

// reserveNext reserves a place in another group, and the retry, before an attempt is given up.
func (c *call) reserveNext(current routing.Target) bool {
	if !c.parsed.repeatable || c.attempts >= c.g.options.MaxAttempts {
		return false
	}
	failed := append(slices.Clone(c.failed), failureOf(current))
	next, ok := c.g.choose(c.parsed.pool, c.parsed.prefix, failed)
	if !ok {
		return false
	}
	if !c.g.acquireRetry() {
		c.g.recordUnused(next.Group)
		return false
	}
	c.next.Store(&next)
	return true
}

// failureOf excludes a target from the following attempts.
func failureOf(t routing.Target) routing.Failure {
	return routing.Failure{Group: t.Group, Generation: t.Generation, At: time.Now()}
}

// reset postpones the check after an event.
func (w *watchdog) reset() {
	now := time.Now().UnixNano()
	w.lastEvent.Store(now)
	w.gateway.lastEvent.Store(now)
	w.timer.Reset(stallCheckInterval)
}

func (w *watchdog) stop() { w.timer.Stop() }

// groupComplete reports whether all members of the target's group are still
// present. A draining group is no longer a target but finishes its requests.
func groupComplete(s *control.Snapshot, target routing.Target) bool {
	complete, ok := s.Complete[target.Group]
	return ok && complete.Generation == target.Generation && time.Now().Before(complete.Until)
}
