package entry

import (
	"context"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/gossip"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
)

// shareHandler serves the calls of peers.
type shareHandler struct {
	*gossip.Gossiper
	relay *relay.Relay
}

// Forward implements peers.ShareHandler.
func (h shareHandler) Forward(q *forwardpb.Request, out peers.ForwardStream) error {
	return h.relay.ServeForwarded(out.Context(), q, out)
}

// sendForwarded sends a request to another node.
func (e *Entry) sendForwarded(ctx context.Context, address string, q *forwardpb.Request) (relay.ForwardedCall, error) {
	return e.forwardClient.ForwardShare(ctx, address, q)
}

// recordDial passes the result of a dial of an endpoint on to the monitor of the links.
func (e *Entry) recordDial(address string, took time.Duration, err error) {
	e.links.RecordDial(address, took, err)
}

// recordResponse passes a response on a new connection on to the monitor of the links.
func (e *Entry) recordResponse() { e.links.RecordResponse() }

// endpointAddresses returns the addresses of the listed endpoints of the own data centre and of the others.
func (e *Entry) endpointAddresses() (local, remote []string) {
	for _, ep := range e.directory.View().Endpoints {
		if ep.DataCentre == e.settings.DataCentre {
			local = append(local, ep.Address)
		} else {
			remote = append(remote, ep.Address)
		}
	}
	return local, remote
}

// controllerLinks returns what the controller knows of this node's links.
func (e *Entry) controllerLinks() *groupcontrol.Links {
	return &groupcontrol.Links{
		LostSince:        e.links.LostSince,
		Confirm:          e.links.Confirm,
		NeighbourReaches: e.gossip.LocalNeighbourReaches,
	}
}

// setLinksLost updates what depends on whether the links to all endpoints are lost.
func (e *Entry) setLinksLost(lost bool) {
	value := 0.0
	if lost {
		value = 1
	}
	e.metrics.Set("endpoint_links_lost", value)
	e.balancer.SetLinksLost(lost)
	e.gossip.AnnounceLinks()
}
