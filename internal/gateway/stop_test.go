package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/engine"
)

// Guards against a response that is cut off because the node closes the connection while its caller is still reading.
func TestStop_FinishesWritingResponses(t *testing.T) {
	const size = 8 << 20
	sent := make(chan struct{}, 1)
	b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
		sent <- struct{}{}
	}))
	request, err := http.NewRequest(http.MethodPost, "http://"+b.address+"/services/s/x", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		b.server.Drain(ctx)
		b.close()
	}()
	time.Sleep(200 * time.Millisecond)
	received := int64(0)
	for b.gateway.inFlight.Load() > 0 {
		n, err := io.CopyN(io.Discard, response.Body, 4<<10)
		require.NoError(t, err)
		received += n
	}
	// The last part of the response is still on its way to the kernel.
	time.Sleep(200 * time.Millisecond)
	rest, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, received+rest)
	<-sent
	<-stopped
}

// Guards against requests whose connections are closed without a response when the node stops.
func TestStop_AnswersRequestsInFlight(t *testing.T) {
	for _, test := range []struct {
		name, path, body string
		// begin is what the endpoint sends before it falls silent.
		begin  func(w http.ResponseWriter, attempt string)
		status int
		text   string
		// fails is set if the response breaks off.
		fails bool
	}{
		{"plain", "/services/s/x", "", nil, 502, "may have run", false},
		{"chat", engine.PathChat, chatBody, nil, 502, "may have run", false},
		{"chat as a stream", engine.PathChat, `{"stream":true,"messages":[]}`, nil, 502, "may have run", false},
		{"stream begun", engine.PathChat, `{"stream":true,"messages":[]}`, func(w http.ResponseWriter, attempt string) {
			_, _ = io.WriteString(w, event(attempt, 0, "begin"))
		}, 200, "event: error", false},
		{"chat begun", engine.PathChat, chatBody, func(w http.ResponseWriter, attempt string) {
			_, _ = io.WriteString(w, event(attempt, 0, "begin"))
		}, 502, "may have run", false},
		{"plain begun", "/services/s/x", "", func(w http.ResponseWriter, _ string) { _, _ = io.WriteString(w, "part") }, 200, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			received := make(chan struct{}, 1)
			b := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == engine.PathCancel {
					return
				}
				if test.begin != nil {
					w.Header().Set("Content-Type", "text/event-stream")
					test.begin(w, r.Header.Get(engine.HeaderAttempt))
					w.(http.Flusher).Flush()
				}
				received <- struct{}{}
				<-r.Context().Done()
			}))
			request, err := http.NewRequest(http.MethodPost, "http://"+b.address+test.path, strings.NewReader(test.body))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+testKey)
			stopped := make(chan int64, 1)
			go func() {
				<-received
				time.Sleep(50 * time.Millisecond) // What the endpoint has sent is relayed before.
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				stopped <- b.server.Drain(ctx)
				b.close()
			}()
			client := &http.Client{Transport: &http.Transport{}}
			response, err := client.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			require.EqualValues(t, 1, <-stopped)
			require.Equal(t, test.status, response.StatusCode, string(text))
			if test.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Contains(t, string(text), test.text)
			require.NotContains(t, string(text), "[DONE]")
			if test.status == http.StatusBadGateway {
				require.Equal(t, string(OutcomeUnknown), response.Header.Get(HeaderOutcome))
			}
		})
	}
}
