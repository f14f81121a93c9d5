package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/routing"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// fingerprint returns what the request is known by when its caller sends it again, with
// another id and at another node.
func (c *call) fingerprint() qlist.Fingerprint {
	return qlist.FingerprintOf([]byte(c.p.workspace.Name), []byte(c.in.Method), []byte(c.in.Path), c.in.Body)
}

// admitted reports whether the request may be sent to an endpoint; if not, its caller has
// the answer. It is asked before each attempt: others may have found meanwhile that the
// request ends those that run it.
func (c *call) admitted(ctx context.Context) bool {
	c.g.crashes.AwaitProbe(ctx, c.content, c.looked)
	known, admitted := c.g.options.Quarantine.Allowed(c.content, time.Now())
	if admitted {
		return true
	}
	c.failQuarantined(known)
	return false
}

// sending reports whether the request may be sent to the endpoint that was chosen; if not,
// its caller has the answer.
func (c *call) sending() bool {
	if c.g.options.Quarantine.BeginAttempt(c.content, time.Now()) {
		return true
	}
	known, _ := c.g.options.Quarantine.Allowed(c.content, time.Now())
	c.failQuarantined(known)
	return false
}

func (c *call) failQuarantined(known qlist.Record) {
	c.log.Info("quarantined request not sent", "content", c.content, "ends", len(known.Crashes), "tried", known.TrialUsed)
	c.fail(failure{
		status:     http.StatusServiceUnavailable,
		kind:       "quarantined",
		message:    "requests like this one have ended the endpoints that ran them",
		outcome:    c.notRunOutcome(),
		retryAfter: qlist.TrialDelay,
	})
}

// noteBroken has it found out whether an endpoint has ended while it ran the request.
func (c *call) noteBroken(target routing.Target) {
	c.looked = c.g.crashes.ReportBroken(c.content, lifeOf(target), c.attemptBegan, time.Now())
}

// noteServed notes that the request does not end the endpoints that run it.
func (c *call) noteServed() {
	c.g.options.Quarantine.RecordSuccess(c.content, time.Now())
}

// clears reports whether a plain answer shows that its endpoint lived on: one that ends with
// its connection ends like that also when the endpoint does.
func clears(response *http.Response) bool {
	marked := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return marked && response.StatusCode < http.StatusInternalServerError
}

// lifeOf names the life of the endpoint that takes a target's requests.
func lifeOf(t routing.Target) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: serving.EndpointID(t.Address), StartedAt: int64(t.Incarnation), Address: t.Address}
}

// replaced returns those of some lives that have a later one in their place.
func (g *Gateway) replaced(lives []quarantine.Incarnation) []quarantine.Incarnation {
	incarnations := map[string]uint64{}
	for _, t := range g.snapshot.Load().Targets {
		incarnations[t.Address] = t.Incarnation
	}
	var out []quarantine.Incarnation
	for _, life := range lives {
		if incarnations[life.Address] > uint64(life.StartedAt) {
			out = append(out, life)
		}
	}
	return out
}
