package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// priorityWire also sends the priority.
type priorityWire struct{ testWire }

func (w priorityWire) Outgoing(h http.Header, s OutgoingAttempt) http.Header {
	out := w.testWire.Outgoing(h, s)
	if s.Priority != nil {
		out.Set("Priority", string('0'+rune(*s.Priority)))
	}
	return out
}

// Guards against a level beyond the last place in an endpoint's queue.
func TestUrgencyLevel_Bounded(t *testing.T) {
	fx := newFixture(t, nil, nil)
	c := &call{Relay: fx.relay, view: fx.view, service: "llm"}
	routes := &fx.view.Configuration.Routes
	for i := range 12 {
		*routes = append(*routes, serving.Route{Host: "many", Splits: []serving.Split{{Service: "llm", Weight: 1}}, Priority: 10 + 20*i})
	}
	fx.view.Configuration.Index()
	c.route = &(*routes)[len(*routes)-1]
	require.Equal(t, admission.Level(9), c.urgencyLevel(serving.Workspace{}))
	require.Zero(t, c.urgencyLevel(serving.Workspace{Priority: -1, HasPriority: true}))
}

// Guards against an order at the engine that puts a level before a more urgent one or a retry behind
// new work, and against an order of requests that are all equally urgent.
func TestPriority(t *testing.T) {
	for name, test := range map[string]struct {
		levels, enabled bool
		level           admission.Level
		attempts        int
		lastEvent       string
		want            int
	}{
		"off":                    {true, false, 1, 0, "", -1},
		"equally urgent":         {false, true, 1, 0, "", -1},
		"retry, equally urgent":  {false, true, 1, 1, "", -1},
		"most urgent":            {true, true, 0, 0, "", 1},
		"most urgent, retry":     {true, true, 0, 1, "", 0},
		"new work":               {true, true, 2, 0, "", 5},
		"retry":                  {true, true, 2, 1, "", 4},
		"resumed by the caller":  {true, true, 2, 0, "7", 4},
		"resumed after an event": {true, true, 2, 1, "7", 4},
		"last with a place":      {true, true, 4, 0, "", 9},
		"bounded":                {true, true, 9, 0, "", 9},
		"retry, bounded":         {true, true, 9, 1, "", 9},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, nil, nil)
			fx.setLevels(test.levels)
			if test.enabled {
				fx.enableOverload()
			}
			c := &call{Relay: fx.relay, view: fx.view, service: "llm", level: test.level, attempts: test.attempts, lastEvent: test.lastEvent}
			got := c.priority()
			if test.want < 0 {
				require.Nil(t, got)
				return
			}
			require.NotNil(t, got)
			require.Equal(t, admission.Level(test.want), *got)
			c.service = "shop"
			require.Nil(t, c.priority())
		})
	}
}

// setLevels gives the routes of streams different priorities or the same one.
func (fx *fixture) setLevels(different bool) {
	for i := range fx.view.Configuration.Routes {
		r := &fx.view.Configuration.Routes[i]
		r.Priority = 2
		if different && r.Host == hostSingle {
			r.Priority = 0
		}
	}
	fx.view.Configuration.Index()
}

// Guards against a priority that is computed and not sent, or that is sent for another attempt.
func TestServe_SendsPriority(t *testing.T) {
	first, second := newEndpoint(t, events(1, 3, breakStream)), newEndpoint(t, events(4, 5, endStream))
	fx := newFixture(t, nil, []*endpoint{first, second})
	fx.relay.options.Wire = priorityWire{}
	fx.setLevels(true)
	fx.enableOverload()
	out := fx.serve(request(hostStream))
	require.Equal(t, eventsText(1, 5), out.body.String())
	require.Equal(t, "3", first.requests()[0].Header.Get("Priority"))
	require.Equal(t, "2", second.requests()[0].Header.Get("Priority"))
}

// Guards against levels that an endpoint does not tell apart, or a retry behind new work of its level.
func TestQueuePlace(t *testing.T) {
	for _, urgencies := range []int{2, 5, 6, 9} {
		before := admission.Level(0)
		for level := range urgencies {
			fresh := queuePlace(admission.Level(level), urgencies, false)
			retry := queuePlace(admission.Level(level), urgencies, true)
			require.LessOrEqual(t, retry, fresh)
			require.LessOrEqual(t, fresh, admission.Level(lowestPriority))
			if level > 0 {
				require.Greater(t, fresh, before, "level %d of %d", level, urgencies)
			}
			before = fresh
		}
	}
}
