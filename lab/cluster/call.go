package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/gateway"
	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
)

// Call is one request from a caller.
type Call struct {
	Key    string
	Path   string
	Body   string
	Header map[string]string
}

// Response is the response to a Call.
type Response struct {
	Status  int
	Outcome string
	Body    string
	// Text is the concatenated content of a chat response.
	Text string
	// Complete is set for a stream that ended with [DONE], and for any other
	// response that was read completely with status 200.
	Complete bool
	// ErrorEvent is set if the stream contained an error event.
	ErrorEvent bool
	RetryAfter string
	// Err is a transport error.
	Err error
}

// sendTimeout keeps a call without a response from blocking a test.
const sendTimeout = 60 * time.Second

// Chat returns a streaming chat completion call.
func Chat(key, prompt string, tokens int) Call {
	body := fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return Call{Key: key, Path: "/v1/chat/completions", Body: body}
}

// ExpectedText returns the complete text that the stand-in generates for Chat.
func ExpectedText(prompt string, tokens int) string {
	return enginestandin.Answer("user:"+prompt+"\n", tokens)
}

// Send sends a call to an entry instance and reads the complete response.
func (e *Entry) Send(call Call) Response { return e.SendContext(context.Background(), call, nil) }

// SendContext is Send with a context and an optional callback, which gets the
// text received so far after each token.
func (e *Entry) SendContext(ctx context.Context, call Call, progress func(string)) Response {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.CallerAddress+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Response{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+call.Key)
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	a := Response{
		Status:     response.StatusCode,
		Outcome:    response.Header.Get(gateway.HeaderOutcome),
		RetryAfter: response.Header.Get("Retry-After"),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(response.Body, progress)
		return a
	}
	text, err := io.ReadAll(response.Body)
	a.Body, a.Err = string(text), err
	a.Complete = err == nil && response.StatusCode == http.StatusOK
	return a
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (a *Response) readStream(body io.Reader, progress func(string)) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		a.Body += line + "\n"
		if line == "event: error" {
			a.ErrorEvent = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Complete = true
			continue
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			a.Text += c.Choices[0].Delta.Content
		}
		if progress != nil {
			progress(a.Text)
		}
	}
	a.Err = scanner.Err()
}
