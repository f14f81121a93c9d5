package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// computeSubject identifies the request across retries by its caller, which have other ids and may reach
// other nodes. Each message of a conversation but the last one, which belongs to the request itself, is a
// part of the prompt.
func (c *call) computeSubject() qlist.Subject {
	s := qlist.Subject{Content: qlist.FingerprintOf([]byte(c.parsed.workspace.Name), []byte(c.in.Method), []byte(c.in.Path), c.in.Body)}
	var messages []json.RawMessage
	if !c.parsed.chat || json.Unmarshal(c.parsed.fields["messages"], &messages) != nil {
		return s
	}
	shared := messages[:max(0, len(messages)-1)]
	for _, message := range shared[:min(len(shared), maxSharedMessages)] {
		s.Parts = append(s.Parts, qlist.PartFingerprint(c.parsed.pool, string(message)))
	}
	return s
}

// maxSharedMessages bounds the messages of a request that count as parts of its prompt. The first ones are
// those that requests share.
const maxSharedMessages = 16

// checkQuarantine reports whether the request may be sent to an endpoint; if not, an error
// response has been sent. It is called before each attempt, because the request may
// have been quarantined since the last one.
func (c *call) checkQuarantine(ctx context.Context) bool {
	c.g.crashDetector.AwaitProbe(ctx, c.subject, c.probeDone)
	record, allowed := c.g.options.Quarantine.Allowed(c.subject, time.Now())
	if allowed {
		return true
	}
	c.failQuarantined(record)
	return false
}

// beginAttempt registers the attempt with the quarantine. It reports whether the request
// may be sent; if not, an error response has been sent.
func (c *call) beginAttempt() bool {
	if c.g.options.Quarantine.BeginAttempt(c.subject, time.Now()) {
		return true
	}
	record, _ := c.g.options.Quarantine.Allowed(c.subject, time.Now())
	c.failQuarantined(record)
	return false
}

func (c *call) failQuarantined(record qlist.Record) {
	c.log.Info("quarantined request not sent", "content", c.subject.Content, "ends", len(record.Crashes), "tried", record.TrialUsed)
	c.fail(errorResponse{
		status:     http.StatusServiceUnavailable,
		kind:       "quarantined",
		message:    "requests like this one have ended the endpoints that ran them",
		outcome:    c.notRunOutcome(),
		retryAfter: qlist.TrialDelay,
	})
}

// progress returns for how long the endpoint has sent tokens of the last attempt.
func (c *call) progress() time.Duration {
	if c.firstTokenAt.IsZero() {
		return 0
	}
	return time.Since(c.firstTokenAt)
}

// reportBroken starts a probe for whether the endpoint crashed while it ran the request.
func (c *call) reportBroken(target routing.Target) {
	c.probeDone = c.g.crashDetector.ReportBroken(c.subject.InterruptedAfter(c.progress()), incarnationOf(target), c.attemptStarted, time.Now())
}

// recordSuccess records that the request ran without crashing its endpoint.
func (c *call) recordSuccess() {
	c.g.options.Quarantine.RecordSuccess(c.subject, time.Now())
}

// showsEndpointSurvived reports whether a complete plain response proves that its endpoint
// did not crash. A response that is delimited by the end of its connection does not: a crash
// ends it in the same way.
func showsEndpointSurvived(response *http.Response) bool {
	return isDelimited(response) && response.StatusCode < http.StatusInternalServerError
}

// isDelimited reports whether a length or chunks mark the end of a response.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// incarnationOf returns the incarnation of the endpoint that receives a target's requests.
func incarnationOf(t routing.Target) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: serving.EndpointID(t.Address), StartedAt: int64(t.Incarnation), Address: t.Address}
}

// replaced returns those of the given incarnations that a later one has replaced.
func (g *Gateway) replaced(incarnations []quarantine.Incarnation) []quarantine.Incarnation {
	latest := map[string]uint64{}
	for _, t := range g.snapshot.Load().Targets {
		latest[t.Address] = t.Incarnation
	}
	var out []quarantine.Incarnation
	for _, incarnation := range incarnations {
		if latest[incarnation.Address] > uint64(incarnation.StartedAt) {
			out = append(out, incarnation)
		}
	}
	return out
}
