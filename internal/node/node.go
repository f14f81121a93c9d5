// Package node assembles and runs one entry instance.
package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/claims"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/gateway"
	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/quarantinetable"
	"github.com/ridgehinge/ridgehinge/internal/settings"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

const (
	maxClaimBatch       = 64
	maxOperatorRequests = 64
	leaveTimeout        = 2 * time.Second
	// maxSnapshotAge is the age of the control snapshot beyond which the node
	// reports itself unhealthy.
	maxSnapshotAge = 5 * time.Second
)

// Node is one running entry instance.
type Node struct {
	settings       *settings.Settings
	log            logging.Logger
	platform       *platform.Client
	engine         *engine.Client
	peers          *peers.Client
	metrics        *metrics.Metrics
	claims         *claims.Store
	gateway        *gateway.Gateway
	loop           *control.Loop
	peerServer     *peers.Server
	callerServer   *gateway.Server
	operatorServer *httpserver.Server
	cancel         context.CancelFunc
	running        sync.WaitGroup
}

// peerHandler serves the calls of peers.
type peerHandler struct {
	loop    *control.Loop
	gateway *gateway.Gateway
}

func (h peerHandler) Exchange(ctx context.Context, m *peers.Message) (*peers.Message, error) {
	return h.loop.Exchange(ctx, m)
}

func (h peerHandler) Forward(q *forwardpb.Request, out peers.ForwardStream) error {
	return h.gateway.ServeForwarded(q, out)
}

// Start starts an entry instance.
func Start(s *settings.Settings) (*Node, error) {
	if s.Advertised == "" {
		s.Advertised = s.Peers
	}
	invariant.SetFatal(s.FatalInvariants)
	source := s.Source()
	n := &Node{
		settings: s,
		log:      logging.For("node").With("node", s.Node),
		platform: platform.New(platform.Options{Address: s.Platform, Timeout: s.PlatformTimeout, Source: source}),
		engine:   engine.New(source),
		peers:    peers.NewClient([]byte(s.PeerKey), link.New(source)),
		metrics:  metrics.New(s.Node, string(s.DataCentre)),
	}
	n.claims = claims.New(claims.Options{
		Node:     s.Node,
		Table:    n.platform,
		Window:   s.ClaimWindow,
		MaxBatch: maxClaimBatch,
		Timeout:  s.CallTimeout,
	})
	// Only the controller of a data centre sends the trial of a quarantined request.
	requestQuarantine := quarantine.NewQuarantine(func() bool { return n.loop.Snapshot().IsController })
	n.gateway = gateway.New(gateway.Options{
		Node:        s.Node,
		Engine:      n.engine,
		Peers:       n.peers,
		Claims:      n.claims,
		Quarantine:  requestQuarantine,
		Metrics:     n.metrics,
		MaxBody:     s.MaxBody,
		MaxAttempts: s.MaxAttempts,
		RetryShare:  s.RetryShare,
	})
	n.loop = control.New(control.Options{
		Self:         membership.Node{ID: membership.NodeID(s.Node), DataCentre: s.DataCentre, Address: s.Advertised},
		Incarnation:  uint64(time.Now().UnixNano()),
		Intervals:    s.Intervals,
		Membership:   s.Membership,
		Placement:    s.Placement,
		LeaseTTL:     s.LeaseTTL,
		UnfencedWait: s.UnfencedWait,
		CallTimeout:  s.CallTimeout,
		Bootstrap:    s.Bootstrap,
		Platform:     n.platform,
		Engine:       n.engine,
		Peers:        n.peers,
		Quarantine:   requestQuarantine,
		Load:         n.gateway.Load,
		Publish:      n.gateway.Publish,
	})
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	n.metrics.AddByteCounter("platform", n.platform.Bytes())
	n.metrics.AddByteCounter("endpoints", n.engine.ControlBytes())
	n.metrics.AddByteCounter("peers_opened", n.peers.Bytes())
	n.metrics.AddByteCounter("peers_accepted", n.peerServer.Bytes())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Go(func() { n.loop.Run(ctx) })
	n.running.Go(func() { n.gateway.Run(ctx) })
	quarantineTable := quarantinetable.New(requestQuarantine, quarantineStore{n.platform})
	n.running.Go(func() { n.runQuarantine(ctx, quarantineTable) })
	n.log.Info("serving", "callers", s.Callers, "operator", s.Operator, "peers", s.Peers)
	return n, nil
}

func (n *Node) listen() error {
	var err error
	n.peerServer, err = peers.Listen(n.settings.Peers, []byte(n.settings.PeerKey), link.New(n.settings.Source()), peerHandler{n.loop, n.gateway})
	if err != nil {
		return err
	}
	api := operatorapi.New(operatorapi.Options{
		Node:  n.settings.Node,
		Key:   n.settings.OperatorKey,
		Table: n.platform,
		Loop:  n.loop,
	})
	n.operatorServer, err = httpserver.Serve(httpserver.Options{
		Address:     n.settings.Operator,
		MaxBody:     n.settings.MaxBody,
		MaxRequests: maxOperatorRequests,
		Handler:     api.Handler(),
	})
	if err != nil {
		return oops.In("node").Wrapf(err, "listen on %s", n.settings.Operator)
	}
	n.callerServer, err = gateway.Serve(gateway.ServerOptions{
		Address:     n.settings.Callers,
		MaxBody:     n.settings.MaxBody,
		MaxRequests: n.settings.MaxRequests,
		Handler:     n.healthHandler(),
		Gateway:     n.gateway,
	})
	return err
}

// healthHandler serves the health, readiness and metrics pages on the callers' port.
func (n *Node) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", n.healthz)
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.Handle("GET /metrics", n.metrics.Handler())
	return mux
}

func (n *Node) healthz(w http.ResponseWriter, _ *http.Request) {
	age := time.Since(n.loop.Snapshot().CreatedAt)
	if age > maxSnapshotAge {
		http.Error(w, fmt.Sprintf("the control state is %s old", age), http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.loop.Snapshot().Ready {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// Loop returns the node's control state.
func (n *Node) Loop() *control.Loop { return n.loop }

// Stop shuts the node down gracefully: it reports that it is not ready, accepts
// requests for StopNotice, then waits up to StopBound for those in flight, and ends
// those that are left with a response.
func (n *Node) Stop() {
	n.log.Info("stopping")
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	n.loop.Leave(leave)
	cancelLeave()
	time.Sleep(n.settings.StopNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopBound)
	defer cancel()
	if ended := n.callerServer.Drain(ctx); ended > 0 {
		n.log.Warn("ended the requests in flight", "requests", ended)
	}
	n.close()
	n.log.Info("stopped")
}

func (n *Node) close() {
	if n.callerServer != nil {
		n.callerServer.Close()
	}
	if n.operatorServer != nil {
		n.operatorServer.Stop()
	}
	if n.cancel != nil {
		n.cancel()
	}
	n.running.Wait()
	if n.peerServer != nil {
		n.peerServer.Close()
	}
	n.claims.Close()
	n.peers.Close()
	n.engine.Close()
	n.platform.Close()
	n.metrics.Close()
}
