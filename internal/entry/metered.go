package entry

import (
	"context"
	"errors"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/metrics"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// meteredStore counts the calls to a store by kind and outcome, and reports its responses.
type meteredStore struct {
	table.Store
	metrics *metrics.Metrics
	// onResponse is called when the store has responded, even with an error.
	onResponse func(now time.Time)
}

func (s *meteredStore) count(kind string, err error) {
	outcome := outcomeOf(err)
	s.metrics.Inc("store_calls", map[string]string{"kind": kind, "outcome": outcome})
	if err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrHistoryGone) {
		s.onResponse(time.Now())
	}
}

// outcomeOf returns the metrics label for an error of a store or an endpoint.
func outcomeOf(err error) string {
	for known, name := range map[error]string{
		table.ErrUnavailable:             "unavailable",
		table.ErrConflict:                "conflict",
		table.ErrHistoryGone:             "history_gone",
		groupcontrol.ErrFenced:           "fenced",
		groupcontrol.ErrRejected:         "refused",
		groupcontrol.ErrOtherIncarnation: "other_life",
	} {
		if errors.Is(err, known) {
			return name
		}
	}
	if err != nil {
		return "no_answer"
	}
	return "ok"
}

// Read implements table.Store.
func (s *meteredStore) Read(ctx context.Context, name, partition string) (table.Page, error) {
	page, err := s.Store.Read(ctx, name, partition)
	s.count("read", err)
	return page, err
}

// Watch implements table.Store.
func (s *meteredStore) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	page, err := s.Store.Watch(ctx, name, since, wait)
	s.count("watch", err)
	return page, err
}

// Commit implements table.Store.
func (s *meteredStore) Commit(ctx context.Context, c table.Change) (uint64, error) {
	version, err := s.Store.Commit(ctx, c)
	s.count("commit", err)
	return version, err
}

// meteredEndpoints counts reports and orders by kind and outcome.
type meteredEndpoints struct {
	groupcontrol.Endpoints
	metrics *metrics.Metrics
}

// Report implements groupcontrol.Endpoints.
func (e meteredEndpoints) Report(ctx context.Context, address string, id serving.EndpointID) (serving.Report, error) {
	report, err := e.Endpoints.Report(ctx, address, id)
	e.metrics.Inc("endpoint_reports", map[string]string{"outcome": outcomeOf(err)})
	return report, err
}

// Order implements groupcontrol.Endpoints.
func (e meteredEndpoints) Order(ctx context.Context, address string, id serving.EndpointID, o serving.Order) (bool, error) {
	done, err := e.Endpoints.Order(ctx, address, id, o)
	e.metrics.Inc("endpoint_orders", map[string]string{"kind": o.Kind.String(), "outcome": outcomeOf(err)})
	return done, err
}
