package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
)

const (
	// stallCheck is how often an answer without news is looked at.
	stallCheck = time.Second
	// stallLimit ends an answer without news even if its group is there.
	stallLimit    = 60 * time.Second
	cancelTimeout = time.Second
	copyBuffer    = 16 << 10
)

// send asserts what must hold at the last moment, and sends the request.
func (c *call) send(ctx context.Context, target routing.Target, call engine.Call) (*http.Response, error) {
	now := time.Now()
	if !now.Before(target.Until) {
		// The evidence ended between the choice and this line, as it does
		// when the process was paused here.
		return nil, engine.ErrNotRun
	}
	invariant.Check(c.p.repeatable || !c.mayHaveRun, invariant.AtMostOnce, "request %s, attempt %s", c.id, call.Attempt)
	invariant.Check(now.Before(target.Until), invariant.GroupWhole, "request %s on group %s", c.id, target.Group)
	invariant.Check(!target.Draining, invariant.NoNewWork, "request %s on group %s", c.id, target.Group)
	c.attempts++
	response, err := c.g.options.Engine.Do(ctx, call)
	if !errors.Is(err, engine.ErrNotRun) {
		c.mayHaveRun = true
	}
	return response, err
}

// attemptChat has a group generate the answer, or the rest of it.
func (c *call) attemptChat(ctx context.Context, cancel context.CancelCauseFunc, target routing.Target, attempt string) attemptResult {
	watchdog := c.watch(cancel, target)
	defer watchdog.stop()
	from := len(c.contents)
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
		Priority:   int(c.p.priority),
		Once:       !c.p.repeatable,
	})
	if err != nil {
		return c.attemptError(ctx, target, attempt, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return c.engineRefused(response)
	}
	stream := engine.NewStream(response.Body, attempt, from)
	for {
		event, err := stream.Read()
		if err != nil {
			return c.attemptError(ctx, target, attempt, err)
		}
		watchdog.news()
		if event.Done {
			c.noteServed()
			c.finishChat()
			return attemptAnswered
		}
		if len(event.Content) == 0 {
			continue
		}
		c.checkNext(stream.Next, attempt)
		if c.emit(event.Content) != nil {
			c.cancelAttempt(target, attempt)
			c.outcome = OutcomeClientGone
			return attemptAnswered
		}
	}
}

// checkNext asserts that a token is the next one of this answer. The details
// are passed only when it is not: they would be allocated for every token.
func (c *call) checkNext(next int, attempt string) {
	if next == len(c.contents)+1 {
		invariant.Check(true, invariant.OwnAnswer, "")
		return
	}
	invariant.Check(false, invariant.OwnAnswer, "request %s, attempt %s: token %d after %d", c.id, attempt, next, len(c.contents))
}

// attemptError classifies a try that failed. A caller that has gone, or a
// deadline, ends the request; the endpoint is told to stop.
func (c *call) attemptError(ctx context.Context, target routing.Target, attempt string, err error) attemptResult {
	notRun := errors.Is(err, engine.ErrNotRun)
	if !notRun {
		c.cancelAttempt(target, attempt)
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrClientGone) || errors.Is(cause, errDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		c.failEnded(ctx)
		return attemptAnswered
	}
	c.log.Info("an attempt failed", "attempt", attempt, "group", string(target.Group), "error", err, "cause", cause)
	if notRun {
		return attemptNotRun
	}
	c.noteBroken(target)
	return attemptBroken
}

// cancelAttempt frees the endpoint's slot without making the caller wait.
func (c *call) cancelAttempt(target routing.Target, attempt string) {
	if !c.p.chat {
		return
	}
	client := c.g.options.Engine
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = client.Cancel(ctx, target.Address, attempt)
	}()
}

// engineRefused handles an answer that is no stream. An engine that finds
// fault with the request itself is quoted; anything else is a failed try.
func (c *call) engineRefused(response *http.Response) attemptResult {
	if response.StatusCode < http.StatusBadRequest || response.StatusCode >= http.StatusInternalServerError {
		return attemptBroken
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, copyBuffer))
	c.fail(failure{response.StatusCode, "engine", string(text), OutcomeRan, 0})
	return attemptAnswered
}

// forwardedHeader is what endpoints get of the caller's header: neither the
// workspace's key nor anything about the connection.
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

// chatBody always asks for a stream, and for the rest of an answer that was
// begun elsewhere.
func (c *call) chatBody() []byte {
	fields := make(map[string]json.RawMessage, len(c.p.fields)+2)
	for name, value := range c.p.fields {
		fields[name] = value
	}
	fields["stream"] = json.RawMessage("true")
	if len(c.contents) > 0 {
		text, _ := json.Marshal(engine.Join(c.contents))
		fields["ridgehinge_text_so_far"] = text
	}
	// Raw messages that were decoded from JSON always encode again.
	body, _ := json.Marshal(fields)
	return body
}

// emit takes the next token: into the stream, or to the others.
func (c *call) emit(content json.RawMessage) error {
	now := time.Now()
	if len(c.contents) == 0 {
		c.class.FirstToken.RecordDuration(now.Sub(c.start))
	} else {
		c.class.Between.RecordDuration(now.Sub(c.last))
	}
	c.last = now
	c.contents = append(c.contents, content)
	if !c.p.stream {
		return nil
	}
	c.beginStream()
	return c.out.Write(c.chunk(content, ""))
}

func (c *call) beginStream() {
	if c.begun {
		return
	}
	c.begun = true
	header := http.Header{}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequestID, c.id)
	c.out.Begin(http.StatusOK, header)
}

// chunk is one event of the caller's stream, built by hand because it is
// made for every token. Neither the id nor the model needs escaping: both
// are checked names.
func (c *call) chunk(content json.RawMessage, finish string) []byte {
	b := make([]byte, 0, 192+len(content))
	b = append(b, `data: {"id":"`...)
	b = append(b, c.id...)
	b = append(b, `","object":"chat.completion.chunk","model":"`...)
	b = append(b, c.p.model...)
	b = append(b, `","choices":[{"index":0,"delta":{`...)
	if content != nil && len(c.contents) == 1 {
		// Callers' libraries take the role from the first event alone.
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

// finishChat ends an answer that the endpoint has said to be whole.
func (c *call) finishChat() {
	c.outcome = OutcomeServed
	if c.p.stream {
		c.beginStream()
		_ = c.out.Write(append(c.chunk(nil, finishStop), "data: [DONE]\n\n"...))
		c.out.End()
		return
	}
	body, _ := json.Marshal(completion{
		ID:     c.id,
		Object: "chat.completion",
		Model:  c.p.model,
		Choices: []completionChoice{{
			Message:      message{Role: "assistant", Content: engine.Join(c.contents)},
			FinishReason: finishStop,
		}},
		Usage: usage{len(c.contents)},
	})
	body = append(body, '\n')
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequestID, c.id)
	c.begun = true
	c.out.Begin(http.StatusOK, header)
	_ = c.out.Write(body)
	c.out.End()
}

// attemptPlain has a plain service answer; its answer is passed on as it is.
func (c *call) attemptPlain(ctx context.Context, target routing.Target, attempt string) attemptResult {
	response, err := c.send(ctx, target, engine.Call{
		Method:   c.in.Method,
		Address:  target.Address,
		Path:     c.p.path,
		Header:   c.forwardedHeader(),
		Body:     c.in.Body,
		Attempt:  attempt,
		Priority: int(c.p.priority),
		Once:     !c.p.repeatable,
	})
	if err != nil {
		return c.attemptError(ctx, target, attempt, err)
	}
	defer response.Body.Close()
	header := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Length", "Location", "Cache-Control", "Etag"} {
		if value := response.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(HeaderRequestID, c.id)
	header.Set(HeaderOutcome, string(OutcomeRan))
	c.class.FirstToken.RecordDuration(time.Since(c.start))
	c.begun = true
	c.out.Begin(response.StatusCode, header)
	return c.copyPlain(response, target)
}

func (c *call) copyPlain(response *http.Response, target routing.Target) attemptResult {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 && c.out.Write(buffer[:n]) != nil {
			c.outcome = OutcomeClientGone
			c.out.Abort()
			return attemptAnswered
		}
		if errors.Is(err, io.EOF) {
			if clears(response) {
				c.noteServed()
			}
			c.outcome = OutcomeServed
			c.out.End()
			return attemptAnswered
		}
		if err != nil {
			// The status has gone out already: cutting the connection is the
			// only way left to say that the answer is not whole.
			c.noteBroken(target)
			c.outcome = OutcomeUnknown
			c.out.Abort()
			return attemptAnswered
		}
	}
}

// watchdog ends a try whose group has gone while it answers. A frozen
// instance closes no connection, so only the evidence tells.
type watchdog struct {
	timer *time.Timer
	// last is when news last came, in nanoseconds of Unix time.
	last atomic.Int64
}

func (c *call) watch(cancel context.CancelCauseFunc, target routing.Target) *watchdog {
	w := &watchdog{}
	w.last.Store(time.Now().UnixNano())
	// The timer is made idle and then set, so that its function never runs
	// before the field is.
	w.timer = time.AfterFunc(time.Hour, func() {
		quiet := time.Since(time.Unix(0, w.last.Load()))
		if quiet > stallLimit || !serves(c.g.snapshot.Load(), target) {
			cancel(errStalled)
			return
		}
		w.timer.Reset(stallCheck)
	})
	w.timer.Reset(stallCheck)
	return w
}

// news puts the check off: tokens are better evidence than polls.
func (w *watchdog) news() {
	w.last.Store(time.Now().UnixNano())
	w.timer.Reset(stallCheck)
}

func (w *watchdog) stop() { w.timer.Stop() }

// serves reports whether the target is still all there, by evidence. A group
// that drains is no target any more, but goes on with what it has.
func serves(s *control.Snapshot, target routing.Target) bool {
	whole, ok := s.Complete[target.Group]
	return ok && whole.Generation == target.Generation && time.Now().Before(whole.Until)
}
