package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"
)

const requestUsage = `request -gateway ADDRESS -workspace-key KEY [-stream=false] PROMPT
request -gateway ADDRESS -workspace-key KEY -path /services/NAME/... [-idempotency-key KEY] BODY
`

// requestCommand sends one request to an entry instance.
type requestCommand struct {
	gateway        string
	key            string
	path           string
	stream         bool
	idempotencyKey string
	timeout        int
}

func (*requestCommand) Name() string { return "request" }
func (*requestCommand) Synopsis() string {
	return "send one request and print the response as it arrives"
}
func (*requestCommand) Usage() string { return requestUsage }

func (c *requestCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateway, "gateway", "127.0.0.1:7070", "the callers' address of an entry instance")
	f.StringVar(&c.key, "workspace-key", "", "the workspace's key")
	f.StringVar(&c.path, "path", "", "the path of a plain service")
	f.BoolVar(&c.stream, "stream", true, "stream the response")
	f.StringVar(&c.idempotencyKey, "idempotency-key", "", "run at most once under this key")
	f.IntVar(&c.timeout, "timeout-ms", 0, "the deadline in milliseconds; 0 is the workspace's")
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

func (c *requestCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.key == "" {
		return usageError(requestUsage)
	}
	path, body := c.path, []byte(f.Arg(0))
	if path == "" {
		path = "/v1/chat/completions"
		body, _ = json.Marshal(chatBody{c.stream, []chatMessage{{"user", f.Arg(0)}}})
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway+path, bytes.NewReader(body))
	if err != nil {
		return printError(err)
	}
	c.setHeaders(request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return printError(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return printError(fmt.Errorf("the response ended early: %w", err))
	}
	if response.StatusCode >= http.StatusBadRequest {
		return printError(fmt.Errorf("status %d, outcome %s, retry after %s s", response.StatusCode,
			response.Header.Get("Ridgehinge-Outcome"), response.Header.Get("Retry-After")))
	}
	return subcommands.ExitSuccess
}

func (c *requestCommand) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer "+c.key)
	h.Set("Content-Type", "application/json")
	if c.idempotencyKey != "" {
		h.Set("Idempotency-Key", c.idempotencyKey)
		h.Set("Ridgehinge-Repeatable", "false")
	}
	if c.timeout > 0 {
		h.Set("Ridgehinge-Timeout-Ms", fmt.Sprint(c.timeout))
	}
}
